// Package watch follows tables of the platform that other programs write. In each dispatch domain one host reads the
// platform and passes changes on; the others ask it, read the platform themselves when it is behind, and ask any peer when
// the platform turns them away.
package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// readerKey is the rendezvous key whose owner reads the platform for its dispatch domain.
	readerKey = "watch/reader"
	// askInterval is the time between two questions to the reader.
	askInterval = 300 * time.Millisecond
	// staleSlack is added to the time between two reads of the reader for the age from which on a host reads the platform
	// itself. It covers a question to the reader and the delay of both processes.
	staleSlack = 900 * time.Millisecond
	// readTimeout limits a read without a wait.
	readTimeout = time.Second
	// waitSlack is added to the wait of a read for its time limit.
	waitSlack = time.Second
	// firstRetry is the pause after a failed read; it doubles up to maxRetry.
	firstRetry = 200 * time.Millisecond
	maxRetry   = time.Second
	// outageAfter is how long reads must fail before rows that are missing afterwards count as lapsed for a while.
	outageAfter = 500 * time.Millisecond
	// lapseGrace is how long after its return the platform may miss rows of programs that are alive.
	lapseGrace = 2 * time.Second
	// peerTimeout limits a call to a peer in the own dispatch domain or another one.
	peerTimeout = 500 * time.Millisecond

	methodAsk  = "watch.ask"
	methodPush = "watch.push"
)

// TableOptions describe a table to follow.
type TableOptions struct {
	Name string
	// Wait is how long a read waits for a change; Interval is the pause between two reads.
	Wait     time.Duration
	Interval time.Duration
	// Equivalent reports whether two values of a row mean the same.
	Equivalent func(a, b []byte) bool
}

// Options are the dependencies of a Follower.
type Options struct {
	Feed      store.Feed
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	Scope     tally.Scope
}

// Follower keeps tables up to date.
type Follower struct {
	opts   Options
	tables []*followed
}

type followed struct {
	TableOptions
	*Table
	// failingSince is when reads of the platform began to fail, or zero. Only the task that reads uses it.
	failingSince time.Time
	retry        time.Duration
	// age shows for how many seconds nothing was heard of the table.
	age tally.Gauge
}

// NewFollower registers the control calls. Add tables before Run.
func NewFollower(o Options) *Follower {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("watch")
	f := &Follower{opts: o}
	o.Registrar.Handle(methodAsk, f.handleAsk)
	o.Registrar.Handle(methodPush, f.handlePush)
	return f
}

// Add follows a table once Run is called.
func (f *Follower) Add(o TableOptions) *Table {
	t := newTable(o.Name, o.Equivalent)
	age := f.opts.Scope.Tagged(map[string]string{"table": o.Name}).Gauge("age_seconds")
	f.tables = append(f.tables, &followed{TableOptions: o, Table: t, age: age})
	return t
}

// Run keeps the tables up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { f.askLoop(ctx) })
	for _, t := range f.tables {
		tasks.Go(func() { f.readLoop(ctx, t) })
	}
}

// reader returns the host that reads the platform for this dispatch domain.
func (f *Follower) reader() (membership.Member, bool) {
	self := f.opts.View.Self()
	members := f.opts.View.Domain(self.FailureDomain)
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Host
	}
	owner := rendezvous.Owner(readerKey, names)
	if owner == "" || owner == self.Host {
		return self, false
	}
	m, ok := f.opts.View.Lookup(owner)
	return m, ok
}

// readLoop reads a table from the platform while that is this host's task or the reader is behind.
func (f *Follower) readLoop(ctx context.Context, t *followed) {
	for ctx.Err() == nil {
		if !f.mustRead(t) {
			sleep.For(ctx, askInterval/4)
			continue
		}
		if err := f.read(ctx, t); err != nil {
			f.readFailed(ctx, t, err)
			continue
		}
		f.readSucceeded(t)
		sleep.For(ctx, t.Interval)
	}
}

func (f *Follower) mustRead(t *followed) bool {
	if _, other := f.reader(); !other {
		return true
	}
	age, loaded := t.Age(time.Now())
	return !loaded || age > max(t.Wait, t.Interval)+staleSlack
}

// read brings a table up to date from the platform.
func (f *Follower) read(ctx context.Context, t *followed) error {
	f.opts.Scope.Counter("reads").Inc(1)
	after := t.position()
	wait := t.Wait
	if !t.failingSince.IsZero() {
		wait = 0 // the first read after a failure tells whether the platform answers
	}
	ctx, cancel := context.WithTimeout(ctx, max(readTimeout, wait+waitSlack))
	defer cancel()
	u := update{}
	var err error
	if after > 0 {
		u.rows, u.version, err = f.opts.Feed.Changes(ctx, t.name, after, wait)
	}
	if after == 0 || errors.Is(err, store.ErrHistoryLost) {
		u.full = true
		u.rows, u.version, err = f.opts.Feed.List(ctx, t.name)
	}
	if err != nil {
		return steperr.Wrap(err, "read table "+t.name, "")
	}
	now := time.Now()
	if !t.failingSince.IsZero() && now.Sub(t.failingSince) > outageAfter {
		u.returned = time.Millisecond
	}
	if changed := t.merge(u, now); len(changed) > 0 {
		f.push(ctx, t, changed)
	}
	return nil
}

func (f *Follower) readFailed(ctx context.Context, t *followed, err error) {
	f.opts.Scope.Counter("read_failures").Inc(1)
	now := time.Now()
	if t.failingSince.IsZero() {
		t.failingSince = now
		t.retry = firstRetry
		log.Warn().Err(err).Str("step", "watch").Str("table", t.name).Uint64("version", t.position()).Msg("table cannot be read")
	}
	f.askAnyone(ctx)
	sleep.For(ctx, t.retry)
	t.retry = min(2*t.retry, maxRetry)
}

func (f *Follower) readSucceeded(t *followed) {
	if t.failingSince.IsZero() {
		return
	}
	log.Info().Str("step", "watch").Str("table", t.name).Uint64("version", t.position()).
		Dur("failed_for", time.Since(t.failingSince)).Msg("table can be read again")
	t.failingSince = time.Time{}
}

// push passes changes on to the hosts of the dispatch domain. One that misses them asks soon after.
func (f *Follower) push(ctx context.Context, t *followed, changed []store.WatchedRow) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
	defer cancel()
	m := t.news(changed, time.Now())
	self := f.opts.View.Self()
	var calls conc.WaitGroup
	for _, member := range f.opts.View.Domain(self.FailureDomain) {
		if member.Host == self.Host {
			continue
		}
		calls.Go(func() {
			err := f.opts.Caller.Call(ctx, member.Address(), methodPush, &peerv1.WatchedPush{Table: m}, &peerv1.WatchedPushResponse{})
			if err != nil {
				f.opts.Scope.Counter("push_failures").Inc(1)
			}
		})
	}
	calls.Wait()
}

// askLoop asks the reader for what it has read.
func (f *Follower) askLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if reader, other := f.reader(); other {
			f.ask(ctx, reader)
		}
		f.reportAges(time.Now())
		sleep.For(ctx, askInterval)
	}
}

func (f *Follower) reportAges(now time.Time) {
	for _, t := range f.tables {
		if age, ok := t.Age(now); ok {
			t.age.Update(age.Seconds())
		}
	}
}

// askAnyone asks a random host, because the platform may turn away some hosts and serve others.
func (f *Follower) askAnyone(ctx context.Context) {
	self := f.opts.View.Self()
	var others []membership.Member
	for _, m := range f.opts.View.All() {
		if m.Host != self.Host && m.State != membership.StateSuspect {
			others = append(others, m)
		}
	}
	if len(others) > 0 {
		f.ask(ctx, others[rand.IntN(len(others))])
	}
}

func (f *Follower) ask(ctx context.Context, host membership.Member) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req := &peerv1.WatchedTablesRequest{}
	for _, t := range f.tables {
		req.Positions = append(req.Positions, &peerv1.WatchedPosition{Table: t.name, Version: t.position()})
	}
	resp := &peerv1.WatchedTablesResponse{}
	if err := f.opts.Caller.Call(ctx, host.Address(), methodAsk, req, resp); err != nil {
		f.opts.Scope.Counter("ask_failures").Inc(1)
		return
	}
	now := time.Now()
	for _, m := range resp.GetTables() {
		if t := f.table(m.GetTable()); t != nil && m.GetVersion() > 0 {
			t.merge(updateOf(m), now)
		}
	}
}

func (f *Follower) table(name string) *followed {
	for _, t := range f.tables {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (f *Follower) handleAsk(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.WatchedTablesRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, steperr.Wrap(err, "decode question for tables", from.Host)
	}
	resp := &peerv1.WatchedTablesResponse{}
	now := time.Now()
	for _, p := range req.GetPositions() {
		if t := f.table(p.GetTable()); t != nil {
			resp.Tables = append(resp.Tables, t.since(p.GetVersion(), now))
		}
	}
	return resp, nil
}

func (f *Follower) handlePush(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	push := &peerv1.WatchedPush{}
	if err := proto.Unmarshal(payload, push); err != nil {
		return nil, steperr.Wrap(err, "decode pushed rows", from.Host)
	}
	if t := f.table(push.GetTable().GetTable()); t != nil {
		t.merge(updateOf(push.GetTable()), time.Now())
	}
	return &peerv1.WatchedPushResponse{}, nil
}
