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

// network carries the calls of one tracker to another one.
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
	n.sent = append(n.sent, h)
	reply, err := n.to.onHeartbeat(n.from, h)
	if err == nil {
		proto.Merge(resp, reply)
	}
	return err
}

// unwatched returns a host that the first one of a ring neither watches nor sends heartbeats to.
func unwatched(hosts []string) string {
	ring := slices.Clone(hosts)
	sortRing(ring)
	near := append(successors(ring, hosts[0]), predecessors(ring, hosts[0])...)
	i := slices.IndexFunc(hosts[1:], func(h string) bool { return !slices.Contains(near, h) })
	return hosts[1+i]
}

// Guards against a suspicion that stays for good. Seed 4 of TestRandomFaultsConverge showed one: a host that was cut off suspected
// one that it watched, its news of that was lost, and the ring changed so that it neither watched the other nor heard from it.
// The digest of the members leaves out suspicions, so that nothing else showed the difference.
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
		is.True(len(calls.sent) <= 2) // the host is not called once it has refuted the suspicion
		tracker.cancel()
		tracker.workers.Wait()
	})
}
