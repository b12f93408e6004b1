package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

func changeAt(version uint64) *configv1.Change {
	region := fmt.Sprint("r", version)
	return &configv1.Change{Version: version, RequestId: fmt.Sprint("id-", version), Mutations: putAt(placeIn("p", region), 0)}
}

// Guards against rolling the configuration back when old changes or checkpoints arrive late, and against refusing a push that
// overlaps with changes already applied.
func TestHistoryIgnoresOlderVersions(t *testing.T) {
	is := is.New(t)
	h := newHistory(NewStore(), 8)
	is.NoErr(h.apply([]*configv1.Change{changeAt(1), changeAt(2)}))
	is.NoErr(h.apply([]*configv1.Change{changeAt(1), changeAt(2), changeAt(3)})) // overlaps
	is.NoErr(h.apply([]*configv1.Change{changeAt(1)}))
	h.applyCheckpoint(&configv1.Checkpoint{Version: 2, Objects: []*configv1.Object{placeIn("p", "old")}})
	is.Equal(h.store.Current().Version, uint64(3))
	is.Equal(h.latestSnapshot().Region("p"), "r3")
	is.True(errors.Is(h.apply([]*configv1.Change{changeAt(5)}), errGap))
}

// Guards against a fetch response with missing changes after the oldest changes in memory have been dropped.
func TestHistoryAnswersWithChangesOrCheckpoint(t *testing.T) {
	is := is.New(t)
	h := newHistory(NewStore(), 8)
	for v := range uint64(30) {
		is.NoErr(h.apply([]*configv1.Change{changeAt(v + 1)}))
		for from := range v + 1 {
			changes, checkpoint := h.changesAfter(from, 100)
			if checkpoint != nil {
				is.Equal(checkpoint.GetVersion(), v+1)
				continue
			}
			is.Equal(uint64(len(changes)), v+1-from)
			is.Equal(changes[0].GetVersion(), from+1)
		}
	}
	_, checkpoint := h.changesAfter(1, 100)
	is.True(checkpoint != nil)
}

// Guards against changes that are not pushed, so that other hosts apply them only after a poll or a comparison of versions.
func TestCommitIsPushedAtOnce(t *testing.T) {
	options := Options{PollInterval: time.Hour, CompareInterval: time.Hour}
	runCluster(t, options, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(4, "a", "b", "c")
		waitReady(t, nodes...)
		time.Sleep(time.Second)
		c.waitInForce(nodes[0].commit("p", putAt(place("p"), 0)), 10*networkDelay, nodes...)
	})
}

// Guards against a failure domain that depends on pushes from other domains. When it is cut off from those domains, it must still
// read changes from the platform.
func TestDomainCutOffFromPeersFollowsPlatform(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(3, "a", "b", "c")
		waitReady(t, nodes...)
		c.partition("c", true, false)
		c.waitInForce(nodes[0].commit("p", putAt(place("p"), 0)), inForceLimit, nodes...)
	})
}

// Guards against a failure domain that misses changes because its poller cannot reach the platform although its other hosts can.
func TestPollerWithoutPlatformDelegates(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(3, "a", "b")
		waitReady(t, nodes...)
		c.partition("b", true, false)
		for _, n := range nodes[3:] {
			if n.manager.isPoller() {
				n.client.SetFaults(memory.Faults{Outage: true})
			}
		}
		c.waitInForce(nodes[0].commit("p", putAt(place("p"), 0)), inForceLimit, nodes...)
	})
}
