package config

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// Guards against a host that cannot start, or starts with an empty configuration, during an outage of the platform although
// its peers have a configuration.
func TestStartDuringOutageLoadsFromPeers(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b")
		c.waitInForce(nodes[0].commit("p", putAt(place("p"), 0)), inForceLimit, nodes...)
		c.platform.SetFaults(memory.Faults{Outage: true})
		late := c.startHost("a-late", "a")
		c.waitInForce(1, inForceLimit, late)
		waitReady(t, late)
		alone := c.startHost("z-0", "z") // the only host of its failure domain
		c.waitInForce(1, inForceLimit, alone)
	})
}

// Guards against a host that becomes ready with an empty configuration although it could read neither the platform nor a peer
// with a configuration.
func TestNotReadyWithoutAnySource(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		c.platform.SetFaults(memory.Faults{Outage: true})
		nodes := c.start(2, "a")
		time.Sleep(time.Minute)
		is.True(!nodes[0].manager.Status().Loaded)
		c.platform.SetFaults(memory.Faults{})
		waitReady(t, nodes...)
	})
}

// Guards against a failure domain that does not catch up from its peers after a partition, while the platform is unavailable.
func TestPartitionedDomainCatchesUp(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(3, "a", "b", "c")
		c.waitInForce(nodes[0].commit("p0", putAt(place("p0"), 0)), inForceLimit, nodes...)
		c.partition("c", true, true)
		for i := 1; i <= 5; i++ {
			nodes[i].commit(fmt.Sprint("p", i), putAt(place(fmt.Sprint("p", i)), 0))
		}
		time.Sleep(time.Minute)
		is.Equal(nodes[8].inForce(), uint64(1)) // the configuration in force stays
		_, err := nodes[8].manager.Commit(context.Background(), "cut-off", putAt(place("x"), 0))
		is.True(errors.Is(err, store.ErrUnavailable))
		c.platform.SetFaults(memory.Faults{Outage: true}) // changes can come from peers only
		c.partition("c", false, false)
		c.waitInForce(6, inForceLimit, nodes...)
	})
}

// Guards against a host that rolls the configuration back, on itself or on others, when it continues a commit with stale data
// after a long pause.
func TestPausedHostResumesWithStaleState(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(3, "a", "b")
		time.Sleep(time.Second)
		paused := nodes[1]
		go func() { time.Sleep(time.Millisecond); paused.pause() }()
		outcome := make(chan error, 1)
		go func() {
			_, err := paused.manager.Commit(context.Background(), "old", putAt(place("p"), 0))
			outcome <- err
		}()
		time.Sleep(time.Second)
		version := nodes[0].commit("new", putAt(placeIn("q", "r2"), 0))
		for i := range 10 {
			version = nodes[0].commit(fmt.Sprint("new-", i), putAt(placeIn("q", fmt.Sprint("r", i)), version))
		}
		time.Sleep(time.Minute)
		paused.resume()
		c.waitInForce(version, inForceLimit, nodes...)
		is.Equal(nodes[5].manager.store.Current().Region("q"), "r9")
		<-outcome
		is.Equal(nodes[5].manager.store.Current().Region("q"), "r9")
	})
}

// Guards against a host that replaces the configuration in force by one that violates its rules, or that does not report the
// problem in its status.
func TestUnusableChangeKeepsConfigurationInForce(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b")
		c.waitInForce(nodes[0].commit("p", putAt(place("p"), 0)), inForceLimit, nodes...)
		// Simulates a host with other validation rules that commits a target of a service that does not exist.
		bad := &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{Name: "t", Service: "none"}}}
		forceChange(t, c.platform, &configv1.Change{Version: 2, RequestId: "bad", Mutations: putAt(bad, 0)})
		time.Sleep(inForceLimit)
		for _, n := range nodes {
			status := n.manager.Status()
			is.Equal(status.InForce, uint64(1))
			is.Equal(status.Newest, uint64(2))
			is.True(status.Problem != nil)
		}
		repair := &configv1.Mutation{BaseVersion: 2, Action: &configv1.Mutation_Delete{
			Delete: &configv1.ObjectKey{Kind: KindTarget, Name: "t"}}}
		c.waitInForce(nodes[1].commit("repair", []*configv1.Mutation{repair}), inForceLimit, nodes...)
		is.NoErr(nodes[0].manager.Status().Problem)
	})
}

// Guards against a change row that cannot be decoded and therefore crashes the program, or blocks all later changes although a
// newer checkpoint exists.
func TestUndecodableChangeIsSkippedByCheckpoint(t *testing.T) {
	runCluster(t, Options{}, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(2, "a", "b")
		c.waitInForce(nodes[0].commit("p", putAt(place("p"), 0)), inForceLimit, nodes...)
		writeRows(t, c.platform, map[string][]byte{changeKey(2): {0xff}, headKey: encode(t, &configv1.Head{Version: 2})})
		time.Sleep(inForceLimit)
		is.Equal(nodes[0].inForce(), uint64(1))
		is.True(nodes[0].manager.Status().Problem != nil || nodes[1].manager.Status().Problem != nil)
		objects := []*configv1.Object{placeIn("p", "r2")}
		is.NoErr(c.platform.PutObject(t.Context(), checkpointName(2), encode(t, &configv1.Checkpoint{Version: 2, Objects: objects})))
		writeRows(t, c.platform, map[string][]byte{headKey: encode(t, &configv1.Head{Version: 2, CheckpointVersion: 2})})
		c.waitInForce(2, inForceLimit, nodes...)
	})
}

// Guards against an unbounded number of change rows, and against a new host that cannot start after old rows were deleted.
func TestNewHostStartsFromCheckpointAfterPruning(t *testing.T) {
	options := Options{CheckpointEvery: 10, KeepChanges: 20, RecentChanges: 16}
	runCluster(t, options, func(t *testing.T, is *is.I, c *cluster) {
		nodes := c.start(1, "a")
		version := uint64(0)
		for i := range 200 {
			version = nodes[0].commit(fmt.Sprint("id-", i), putAt(placeIn("p", fmt.Sprint("r", i)), version))
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		for _, prefix := range []string{changePrefix, requestPrefix} {
			rows, err := c.platform.Scan(t.Context(), prefix, "", 1000)
			is.NoErr(err)
			is.True(len(rows) <= 40) // CheckpointEvery + KeepChanges, and a margin for a checkpoint in progress
		}
		_, err := c.platform.GetObject(t.Context(), checkpointName(10))
		is.True(errors.Is(err, store.ErrNotFound)) // a superseded checkpoint is deleted
		nodes[0].crash()
		fresh := c.startHost("b-0", "b")
		c.waitInForce(version, inForceLimit, fresh)
		is.Equal(fresh.manager.store.Current().Region("p"), "r199")
	})
}

func waitReady(t *testing.T, nodes ...*node) {
	t.Helper()
	for _, n := range nodes {
		select {
		case <-n.manager.Ready():
		case <-time.After(inForceLimit):
			t.Fatalf("%s is not ready after %v", n.self.Host, inForceLimit)
		}
	}
}

func encode(t *testing.T, m proto.Message) []byte {
	t.Helper()
	data, err := proto.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func forceChange(t *testing.T, p store.Platform, change *configv1.Change) {
	t.Helper()
	writeRows(t, p, map[string][]byte{
		changeKey(change.GetVersion()): encode(t, change),
		headKey:                        encode(t, &configv1.Head{Version: change.GetVersion()}),
	})
}

func writeRows(t *testing.T, p store.Platform, rows map[string][]byte) {
	t.Helper()
	var txn store.Txn
	for key, value := range rows {
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	}
	if err := p.Commit(t.Context(), txn); err != nil {
		t.Fatal(err)
	}
}
