package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// network delivers the heartbeats of one tracker to another one, and fails all other calls.
type network struct {
	to   *Tracker
	from peer.Identity
	sent []*peerv1.Heartbeat
}

func (n *network) Handle(string, peer.Handler) {}

func (n *network) Call(_ context.Context, to peer.Address, method string, req, resp proto.Message) error {
	h, ok := req.(*peerv1.Heartbeat)
	if !ok || to.Host != n.to.opts.Self.Host {
		return fmt.Errorf("%s to %s is not delivered", method, to.Host)
	}
	n.sent = append(n.sent, proto.CloneOf(h)) // the receiver completes the message
	reply, err := n.to.onHeartbeat(n.from, h)
	if err == nil {
		proto.Merge(resp, reply)
	}
	return err
}

// unwatched returns a host that is neither a ring successor nor a ring predecessor of the first one.
func unwatched(hosts []string) string {
	r := newRing(slices.Clone(hosts), func(string) string { return "" })
	near := append(r.successors(hosts[0]), r.predecessors(hosts[0])...)
	i := slices.IndexFunc(hosts[1:], func(h string) bool { return !slices.Contains(near, h) })
	return hosts[1+i]
}

// Guards against a suspicion that never ends, as in seed 4 of TestRandomFaultsConverge: a host that was cut off suspected a
// host that it watched, its gossip about that was lost, and a change of the ring ended the heartbeats between the two. The
// digest of the members leaves out suspicions, so it did not reveal the difference.
func TestSuspicionOfUnwatchedHostEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		member := func(name string) Member {
			return Member{Host: name, Incarnation: 7, FailureDomain: "x", PeerAddress: name + ":1"}
		}
		ring := []string{"x-0", "x-1", "x-2", "x-3", "x-4", "x-5", "x-6", "x-7", "x-8"}
		name := unwatched(ring)
		suspect := New(Options{Self: member(name), Registrar: &network{}, Caller: &network{}})
		calls := &network{to: suspect, from: peer.Identity{Host: "x-0", Incarnation: 7, FailureDomain: "x"}}
		tracker := New(Options{Self: member("x-0"), Registrar: calls, Caller: calls})
		for _, other := range ring[1:] {
			tracker.records[other] = &record{Member: member(other), version: 1}
		}
		tracker.records[name].State = StateSuspect
		tracker.publish()
		tracker.ctx, tracker.cancel = context.WithCancel(t.Context())
		tracker.lastSweep = time.Now()
		for range 3 {
			tracker.sweep(time.Now())
			synctest.Wait()
			time.Sleep(sweepInterval)
		}
		is.Equal(tracker.records[name].State, StateAlive)
		is.Equal(tracker.records[name].version, uint64(2))
		is.True(len(calls.sent) <= 2) // no more probes once the host has refuted the suspicion
		tracker.cancel()
		tracker.workers.Wait()
	})
}
