package config

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// inForceLimit is the longest time that may pass from the commit of a change until it is in force on all hosts, as required for
// the current size of the system.
const inForceLimit = 3 * time.Second

func runCluster(t *testing.T, options Options, f func(t *testing.T, is *is.I, c *cluster)) {
	bubble.Run(t, func(t *testing.T) {
		c := newCluster(t, options)
		defer c.shutdown()
		f(t, is.New(t), c)
	})
}

// Guards against lost updates: of concurrent changes of one object, based on the same version, only one may be committed.
func TestRaceForOneObjectHasOneWinner(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b", "c")
		base := nodes[0].commit("create", putAt(place("p"), 0))
		results := make(chan error, len(nodes))
		for i, n := range nodes {
			go func() {
				_, err := n.manager.Commit(context.Background(), fmt.Sprint("race-", i), putAt(placeIn("p", fmt.Sprint("r", i)), base))
				results <- err
			}()
		}
		won := 0
		for range nodes {
			err := <-results
			var conflict *VersionConflict
			if err == nil {
				won++
				continue
			}
			is.True(errors.As(err, &conflict))
			is.Equal(conflict.InForce, base+1) // the conflict reports the version in force
		}
		is.Equal(won, 1)
		c.waitInForce(base+1, inForceLimit, nodes...)
	})
}

// Guards against refusing a change because of concurrent changes of other objects, which conflict on the head row only.
func TestConcurrentChangesOfDifferentObjectsCommit(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b", "c")
		results := make(chan error, len(nodes))
		for i, n := range nodes {
			go func() {
				_, err := n.manager.Commit(context.Background(), fmt.Sprint("id-", i), putAt(place(fmt.Sprint("p", i)), 0))
				results <- err
			}()
		}
		for range nodes {
			is.NoErr(<-results)
		}
		c.waitInForce(uint64(len(nodes)), inForceLimit, nodes...)
		is.Equal(len(nodes[5].manager.store.Current().List(KindPlace)), len(nodes))
	})
}

// Guards against committing a change twice, or reporting it as failed, when the platform's response to the commit is lost.
func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b")
		nodes[0].client.SetFaults(memory.Faults{LostResponses: 1})
		is.Equal(nodes[0].commit("lost", putAt(place("p"), 0)), uint64(1))
		is.Equal(nodes[1].commit("next", putAt(place("q"), 0)), uint64(2)) // the change with the lost response took one version only
		c.waitInForce(2, inForceLimit, nodes...)
	})
}

// Guards against committing a change twice when a transaction takes effect only after its outcome was reported as unknown and
// the commit was retried.
func TestLateWriteTakesEffectAtMostOnce(t *testing.T) {
	for _, lateBy := range []time.Duration{time.Millisecond, 30 * time.Millisecond, time.Minute} {
		runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
			nodes := c.start(2, "a", "b")
			nodes[0].client.SetFaults(memory.Faults{LateWrites: 1, LateBy: lateBy})
			is.Equal(nodes[0].commit("late", putAt(place("p"), 0)), uint64(1))
			time.Sleep(2 * time.Minute)
			is.Equal(nodes[1].commit("next", putAt(place("q"), 0)), uint64(2))
		})
	}
}

// Guards against reporting a definite outcome while a transaction may still take effect, and against a repeated request that
// commits the change again.
func TestUnknownOutcomeDuringOutageIsResolvedByRepeat(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b")
		time.Sleep(time.Second)
		nodes[0].client.SetFaults(memory.Faults{LateWrites: 1, LateBy: 20 * time.Second})
		go func() { time.Sleep(5 * time.Millisecond); c.platform.SetFaults(memory.Faults{Outage: true}) }()
		_, err := nodes[0].manager.Commit(context.Background(), "x", putAt(place("p"), 0))
		is.True(errors.Is(err, store.ErrUnknownOutcome))
		_, err = nodes[1].manager.Commit(context.Background(), "y", putAt(place("q"), 0))
		is.True(errors.Is(err, store.ErrUnavailable) && !errors.Is(err, store.ErrUnknownOutcome)) // nothing written
		time.Sleep(time.Minute)
		c.platform.SetFaults(memory.Faults{})
		is.Equal(nodes[1].commit("x", putAt(place("p"), 0)), uint64(1)) // on another host, after the late write
		is.Equal(nodes[1].commit("y", putAt(place("q"), 0)), uint64(2))
		c.waitInForce(2, inForceLimit, nodes...)
	})
}

// Guards against accepting a request ID for a second, different change, and against refusing a repeat of the first one.
func TestRequestIDNamesOneChange(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(1, "a", "b")
		first := nodes[0].commit("id", putAt(place("p"), 0))
		nodes[0].commit("other", putAt(placeIn("p", "r2"), first))
		is.Equal(nodes[1].commit("id", putAt(place("p"), 0)), first)     // although p has changed since then
		is.Equal(nodes[1].commit("id", putAt(place("p"), first)), first) // from a client that has read the object again
		_, err := nodes[1].manager.Commit(context.Background(), "id", putAt(place("q"), 0))
		is.True(errors.Is(err, ErrRequestIDReused))
	})
}

// Guards against reporting a change as committed that is in force on no host. This happens if the response to the commit is lost
// and the platform fails after the request record was read back and before the change is read.
func TestSuccessNeedsTheChangeInForce(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a")
		waitReady(t, nodes...)
		c.platform.SetFaults(memory.Faults{Delay: 40 * time.Millisecond, LostResponses: 1})
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, err := nodes[0].manager.Commit(context.Background(), "x", putAt(place("p"), 0))
			is.True(errors.Is(err, store.ErrUnknownOutcome))
		}()
		for !hasRecord(c, "x") {
			time.Sleep(time.Millisecond)
		}
		// The outage begins after the request record was read back and before the change row is read.
		time.Sleep(minBackoff + 120*time.Millisecond)
		c.platform.SetFaults(memory.Faults{Outage: true})
		<-done
		c.platform.SetFaults(memory.Faults{})
		c.waitInForce(nodes[0].commit("x", putAt(place("p"), 0)), inForceLimit, nodes...)
	})
}

// hasRecord reports whether the platform has a record of a request ID. It suspends the faults of the platform for the read.
func hasRecord(c *cluster, id string) bool {
	faults := c.platform.Faults()
	c.platform.SetFaults(memory.Faults{})
	defer c.platform.SetFaults(faults)
	_, err := c.platform.Get(context.Background(), requestKey(id))
	return err == nil
}
