// Package watch maintains local copies of platform tables that other programs write. In each dispatch domain one host, the
// reader, reads the changefeed of the platform and pushes changes to the others. These also poll it, read the
// platform themselves if their copy is stale, and fetch from a random peer if the platform refuses their reads. Where several places
// share a dispatch domain, one host of each place, its place reader, polls the reader, gets the pushes and passes them on; the other
// hosts poll that one, because messages between places are expensive.
package watch

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// readerKey is the key by which the reader of a dispatch domain, and the place reader of each place, are ranked. The reader ranks first
	// of all hosts and is therefore the place reader of its own place.
	readerKey = "watch/reader"
	// fetchInterval is the time between two polls of the reader or the place reader.
	fetchInterval = 300 * time.Millisecond
	// staleMargin is added to the reader's time between two reads to get the age above which a host reads the platform
	// itself. It allows for a poll of the reader, one of the place reader, and for delays in the processes.
	staleMargin = 900 * time.Millisecond
	// readTimeout is the minimum timeout of a read, which applies if the read does not wait for a change.
	readTimeout = time.Second
	// waitMargin is added to the wait of a long poll to get its timeout.
	waitMargin = time.Second
	// minRetryDelay is the delay after the first failed read; it doubles up to maxRetryDelay.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// minOutage is how long the reads of all hosts must fail to count as an outage, after which deleted rows get a grace period.
	minOutage = 500 * time.Millisecond
	// maxAskedHosts is the number of hosts that a host asks for what they know, one after the other, before it takes itself for cut off.
	maxAskedHosts = 3
	// expiryGrace is how long after an outage the rows of live programs that expired during it may be missing.
	expiryGrace = 2 * time.Second
	// peerTimeout limits a call to a peer in any dispatch domain.
	peerTimeout = 500 * time.Millisecond
	// firstFetchTimeout limits a call that asks for whole tables. Many hosts that start together may ask one host for them.
	firstFetchTimeout = 2 * time.Second
	// maxPushes is the number of changes of a table that may be on their way to the dispatch domain at the same time. A host that does not
	// answer keeps each of them there for twice peerTimeout, and must not keep the reader from reading the next one.
	maxPushes = 8

	methodFetch = "watch.ask"
	methodPush  = "watch.push"
)

// TableOptions describe a table to follow.
type TableOptions struct {
	Name string
	// Wait is how long a read waits for a change (long poll); Interval is the pause between two reads.
	Wait     time.Duration
	Interval time.Duration
	// Equivalent reports whether a change of a row from one value to the other can be ignored.
	Equivalent func(a, b []byte) bool
	// Order returns the order of a value among all that are written to its row; the result is false if the content does not tell it. Nil means
	// that no content does.
	Order func(value []byte) (Order, bool)
	// Expiry is the time without a write after which the platform deletes a row. Zero means that rows do not expire.
	Expiry time.Duration
	// DeleteAfter is a table of which the copy must have all changes up to the deletion of a row before the deletion is in force: until
	// then, for maxDeletionDelay at most, the row stays present. Nil means that deletions are in force at once.
	DeleteAfter *Table
}

// Options are the dependencies of a Follower.
type Options struct {
	Feed      store.Feed
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	Scope     tally.Scope
}

// Follower keeps the local copies of tables up to date.
type Follower struct {
	opts   Options
	tables []*followedTable
	// pushing holds the tasks that push changes; Run waits for them.
	pushing conc.WaitGroup
	// hasHeard is set once another host has answered.
	hasHeard atomic.Bool
}

// followedTable is a table with the state of its reads from the platform.
type followedTable struct {
	TableOptions
	*Table
	// failingSince is when reads of the platform began to fail, or zero, and failedAt when the first of them was sent. Only readLoop uses it.
	failingSince, failedAt time.Time
	retryDelay             time.Duration
	// listAgainAt is when the table must be listed again after the platform was restored from a copy, or zero. Only readLoop uses it.
	listAgainAt time.Time
	// age is the age of the copy in seconds.
	age tally.Gauge
	// pushes holds an entry for each change that is on its way to the dispatch domain.
	pushes chan struct{}
}

// NewFollower registers the RPC handlers. Add tables before Run.
func NewFollower(o Options) *Follower {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.Scope = o.Scope.SubScope("watch")
	f := &Follower{opts: o}
	o.Registrar.Handle(methodFetch, f.handleFetch)
	o.Registrar.Handle(methodPush, f.handlePush)
	return f
}

// Add registers a table and returns its copy, which is empty until Run has read it.
func (f *Follower) Add(o TableOptions) *Table {
	t := newTable(o.Name, o.Equivalent)
	if o.Order != nil {
		t.order = o.Order
	}
	if o.Expiry > 0 { // the last write may be read later by an interval than the deletion
		t.minSilence, t.maxReadGap = max(o.Expiry-o.Interval, 1), 2*o.Interval
	}
	t.deleteAfter = o.DeleteAfter
	age := f.opts.Scope.Tagged(map[string]string{"table": o.Name}).Gauge("age_seconds")
	f.tables = append(f.tables, &followedTable{
		TableOptions: o, Table: t, age: age, pushes: make(chan struct{}, maxPushes),
	})
	return t
}

// Run keeps the tables up to date until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var tasks conc.WaitGroup
	defer f.pushing.Wait()
	defer tasks.Wait()
	tasks.Go(func() { f.fetchLoop(ctx) })
	for _, t := range f.tables {
		tasks.Go(func() { f.readLoop(ctx, t) })
	}
}

// reader returns the reader of this dispatch domain; the result is false if that is this host or there is none.
func (f *Follower) reader() (membership.Member, bool) {
	self := f.opts.View.Self()
	reader, ok := ownerOf(f.opts.View.Domain(self.FailureDomain))
	return reader, ok && reader.Host != self.Host
}

// source returns the host that this one polls: its place reader or, if that is this host, the reader, or the host that would be the reader
// without this one. The reader polls too, because the platform tells only the last write of each row: a reader that starts, or was cut off,
// learns from another host which of them are outdated. The result is false if there is none.
func (f *Follower) source() (membership.Member, bool) {
	self := f.opts.View.Self()
	domain := f.opts.View.Domain(self.FailureDomain)
	near, ok := ownerOf(membersByPlace(domain)[self.Place])
	if ok && near.Host != self.Host {
		return near, true
	}
	if reader, other := f.reader(); other {
		return reader, true
	}
	return ownerOf(slices.DeleteFunc(slices.Clone(domain), func(m membership.Member) bool { return m.Host == self.Host }))
}

// ownerOf returns the host that ranks first for readerKey; ok is false if there is none.
func ownerOf(members []membership.Member) (owner membership.Member, ok bool) {
	ranked := membership.RankForDuty(readerKey, members)
	if len(ranked) == 0 {
		return membership.Member{}, false
	}
	return ranked[0], true
}

func membersByPlace(members []membership.Member) map[string][]membership.Member {
	byPlace := map[string][]membership.Member{}
	for _, m := range members {
		byPlace[m.Place] = append(byPlace[m.Place], m)
	}
	return byPlace
}

// readLoop reads a table from the platform while this host is the reader or its copy is stale.
func (f *Follower) readLoop(ctx context.Context, t *followedTable) {
	for ctx.Err() == nil {
		if !f.shouldRead(t) {
			sleep.For(ctx, fetchInterval/4)
			continue
		}
		sent := time.Now()
		if err := f.read(ctx, t); err != nil {
			f.handleReadError(ctx, t, sent, err)
			continue
		}
		f.endOutage(t)
		sleep.For(ctx, t.Interval)
	}
}

// shouldRead reports whether this host is the reader or its copy is stale.
func (f *Follower) shouldRead(t *followedTable) bool {
	if _, other := f.reader(); !other {
		return true
	}
	age, loaded := t.Age(time.Now())
	return !loaded || age > max(t.Wait, t.Interval)+staleMargin
}

// read updates the table from the platform, with a full list if there is no copy or the history was lost, and pushes the
// changes to the dispatch domain.
func (f *Follower) read(ctx context.Context, t *followedTable) error {
	f.opts.Scope.Counter("reads").Inc(1)
	after := t.position()
	wait := t.Wait
	if !t.failingSince.IsZero() {
		wait = 0 // detect at once whether the platform answers again
	}
	readCtx, cancel := context.WithTimeout(ctx, max(readTimeout, wait+waitMargin))
	defer cancel()
	sent := time.Now()
	u, err := f.fetchUpdate(readCtx, t, after, wait)
	if err != nil {
		return steperr.Wrap(err, "read table "+t.name, "")
	}
	now := time.Now()
	u.after = after
	u.took = answerDelay(now.Sub(sent), wait, len(u.rows) > 0)
	if u.restored || f.endsOutage(ctx, t, now) {
		u.sinceRecovery = time.Millisecond
	}
	u.took += time.Since(now)
	now = time.Now()
	t.planList(u, now)
	if changed := t.merge(u, now); len(changed) > 0 {
		f.startPush(ctx, t, changed)
	}
	return nil
}

// planList plans another list of the table after one of a restored copy.
func (t *followedTable) planList(u update, now time.Time) {
	switch {
	case u.restored:
		log.Warn().Str("step", "watch").Str("table", t.name).Uint64("version", u.version).Uint64("previous", u.after).
			Msg("the platform was restored from a copy")
		t.listAgainAt = now.Add(expiryGrace)
	case u.full:
		t.listAgainAt = time.Time{}
	}
}

// endsOutage reports whether a read ends an outage of the platform. Failed reads of this host alone are none: the platform refused it, or it was
// cut off. So it asks other hosts first, whose copies tell whether the platform could be read. If none answers, it was cut off, unless no
// host ever did.
func (f *Follower) endsOutage(ctx context.Context, t *followedTable, now time.Time) bool {
	if t.failingSince.IsZero() || now.Sub(t.failingSince) <= minOutage {
		return false
	}
	if !f.askOthers(ctx) {
		return !f.hasHeard.Load()
	}
	age, _ := t.Age(now)
	return age >= now.Sub(t.failedAt)
}

// askOthers fetches the tables from other hosts until one answers, and reports whether one has.
func (f *Follower) askOthers(ctx context.Context) bool {
	for range maxAskedHosts {
		if f.fetchFromRandomPeer(ctx) {
			return true
		}
	}
	return false
}

// answerDelay returns the time in which the platform has sent its answer to a read that took some time. If a long poll has found a change it was at
// most as long ago as this host handles answers late, which is not known; it counts as none.
func answerDelay(took, wait time.Duration, changed bool) time.Duration {
	if changed && wait > 0 {
		return 0
	}
	return max(0, took-wait)
}

// fetchUpdate reads the changes of a table after a version, or all of it if there is no copy, the history was lost, the platform was
// restored from a copy, or that was expiryGrace ago.
func (f *Follower) fetchUpdate(ctx context.Context, t *followedTable, after uint64, wait time.Duration) (u update, err error) {
	listAgain := !t.listAgainAt.IsZero() && !time.Now().Before(t.listAgainAt)
	if after > 0 && !listAgain {
		u.rows, u.version, err = f.opts.Feed.Changes(ctx, t.name, after, wait)
		u.restored = errors.Is(err, store.ErrRestored)
		if !u.restored && !errors.Is(err, store.ErrHistoryLost) {
			return u, err
		}
	}
	u.full = true
	u.rows, u.version, err = f.opts.Feed.List(ctx, t.name)
	return u, err
}

// handleReadError records the start of an outage, fetches the tables from a random peer, and waits with exponential backoff.
func (f *Follower) handleReadError(ctx context.Context, t *followedTable, sent time.Time, err error) {
	f.opts.Scope.Counter("read_failures").Inc(1)
	if t.failingSince.IsZero() {
		t.failingSince, t.failedAt = time.Now(), sent
		t.retryDelay = minRetryDelay
		log.Warn().Err(err).Str("step", "watch").Str("table", t.name).Uint64("version", t.position()).Msg("table cannot be read")
	}
	f.fetchFromRandomPeer(ctx)
	sleep.For(ctx, t.retryDelay)
	t.retryDelay = min(2*t.retryDelay, maxRetryDelay)
}

// endOutage resets the error state after a successful read.
func (f *Follower) endOutage(t *followedTable) {
	if t.failingSince.IsZero() {
		return
	}
	log.Info().Str("step", "watch").Str("table", t.name).Uint64("version", t.position()).
		Dur("failed_for", time.Since(t.failingSince)).Msg("table can be read again")
	t.failingSince = time.Time{}
}

// fetchLoop polls the source of this host, unless it is the reader, and updates the gauges.
func (f *Follower) fetchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if source, other := f.source(); other {
			f.fetchFrom(ctx, source)
		}
		f.reportAges(time.Now())
		sleep.For(ctx, fetchInterval)
	}
}

func (f *Follower) reportAges(now time.Time) {
	for _, t := range f.tables {
		if age, ok := t.Age(now); ok {
			t.age.Update(age.Seconds())
		}
	}
}
