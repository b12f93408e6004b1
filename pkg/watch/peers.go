package watch

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// startPush begins to push changed rows to the other hosts of the dispatch domain. It waits while maxPushes changes are on their way.
func (f *Follower) startPush(ctx context.Context, t *followedTable, changed []store.WatchedRow) {
	t.pushes <- struct{}{} // pushes end after a time, also without an answer
	f.pushing.Go(func() {
		defer func() { <-t.pushes }()
		f.pushToDomain(ctx, t, changed)
	})
}

// pushToDomain sends changed rows to the other hosts of the dispatch domain: directly to those of this place, and through their place
// reader to those of other places. A host that misses them gets them by its next poll.
func (f *Follower) pushToDomain(ctx context.Context, t *followedTable, changed []store.WatchedRow) {
	m := t.rowsMessage(changed, time.Now())
	self := f.opts.View.Self()
	var places conc.WaitGroup
	for place, members := range membersByPlace(f.opts.View.Domain(self.FailureDomain)) {
		places.Go(func() {
			if place == self.Place {
				f.pushToAll(ctx, members, m)
			} else {
				f.pushToPlace(ctx, members, m)
			}
		})
	}
	places.Wait()
}

// pushToPlace sends rows to the place reader of another place, which passes them on, or directly to all hosts there if that fails.
func (f *Follower) pushToPlace(ctx context.Context, members []membership.Member, m *peerv1.WatchedTable) {
	reader, ok := ownerOf(members)
	if ok && f.push(ctx, reader, &peerv1.WatchedPush{Table: m, PassOn: true}) {
		return
	}
	f.pushToAll(ctx, members, m)
}

// pushToAll sends rows to some hosts, without this one.
func (f *Follower) pushToAll(ctx context.Context, members []membership.Member, m *peerv1.WatchedTable) {
	self := f.opts.View.Self().Host
	var calls conc.WaitGroup
	for _, member := range members {
		if member.Host != self {
			calls.Go(func() { f.push(ctx, member, &peerv1.WatchedPush{Table: m}) })
		}
	}
	calls.Wait()
}

// push sends rows to a host and reports whether that has received them. It does not end with ctx but after peerTimeout.
func (f *Follower) push(ctx context.Context, to membership.Member, m *peerv1.WatchedPush) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), peerTimeout)
	defer cancel()
	err := f.opts.Caller.Call(ctx, to.Address(), methodPush, m, &peerv1.WatchedPushResponse{})
	if err != nil {
		f.opts.Scope.Counter("push_failures").Inc(1)
	}
	return err == nil
}

// fetchFromRandomPeer fetches the tables from a random host of any dispatch domain that is not suspect: the platform may
// refuse some hosts and serve others. It reports whether the host has answered.
func (f *Follower) fetchFromRandomPeer(ctx context.Context) bool {
	self := f.opts.View.Self()
	var others []membership.Member
	for _, m := range f.opts.View.All() {
		if m.Host != self.Host && m.State != membership.StateSuspect {
			others = append(others, m)
		}
	}
	return len(others) > 0 && f.fetchFrom(ctx, others[rand.IntN(len(others))])
}

// fetchFrom requests the rows from a host that no host has told this one, merges them, and reports whether the host has answered.
func (f *Follower) fetchFrom(ctx context.Context, host membership.Member) bool {
	timeout := peerTimeout
	req := &peerv1.WatchedTablesRequest{AcceptsWhole: true}
	after := map[string]uint64{}
	for _, t := range f.tables {
		position := t.heardPosition()
		if position == 0 {
			timeout = firstFetchTimeout
		}
		after[t.name] = position
		req.Positions = append(req.Positions, &peerv1.WatchedPosition{Table: t.name, Version: position})
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp := &peerv1.WatchedTablesResponse{}
	sent := time.Now()
	if err := f.opts.Caller.Call(ctx, host.Address(), methodFetch, req, resp); err != nil {
		f.opts.Scope.Counter("ask_failures").Inc(1)
		return false
	}
	f.hasHeard.Store(true)
	f.opts.Scope.Counter("fetched_bytes").Inc(int64(proto.Size(resp)))
	now := time.Now()
	for _, m := range resp.GetTables() {
		if t := f.table(m.GetTable()); t != nil {
			u := decodeUpdate(m, host.Host, after[t.name])
			u.took = now.Sub(sent)
			if u.version == 0 {
				t.forgetHeard() // the changes since then are not known, so ask for all rows
			}
			t.merge(u, now)
		}
	}
	return true
}

// table returns a followed table by name, or nil.
func (f *Follower) table(name string) *followedTable {
	for _, t := range f.tables {
		if t.name == name {
			return t
		}
	}
	return nil
}

func (f *Follower) handleFetch(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.WatchedTablesRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, steperr.Wrap(err, "decode request for watched tables", from.Host)
	}
	resp := &peerv1.WatchedTablesResponse{}
	now := time.Now()
	for _, p := range req.GetPositions() {
		if t := f.table(p.GetTable()); t != nil {
			resp.Tables = append(resp.Tables, t.rowsSince(p.GetVersion(), req.GetAcceptsWhole(), now))
		}
	}
	return resp, nil
}

// handlePush merges pushed rows and, if it is asked to, passes them on to the other hosts of this place in the background.
func (f *Follower) handlePush(ctx context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	push := &peerv1.WatchedPush{}
	if err := proto.Unmarshal(payload, push); err != nil {
		return nil, steperr.Wrap(err, "decode pushed rows of a watched table", from.Host)
	}
	if t := f.table(push.GetTable().GetTable()); t != nil {
		t.merge(decodeUpdate(push.GetTable(), from.Host, 0), time.Now())
	}
	if push.GetPassOn() {
		self := f.opts.View.Self()
		go f.pushToAll(ctx, membersByPlace(f.opts.View.Domain(self.FailureDomain))[self.Place], push.GetTable())
	}
	return &peerv1.WatchedPushResponse{}, nil
}
