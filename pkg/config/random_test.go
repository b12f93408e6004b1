package config

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

var (
	seeds     = flag.Int("seeds", 6, "number of seeds of the randomised run")
	firstSeed = flag.Uint64("first-seed", 1, "first seed of the randomised run")
)

const (
	runLength    = 2 * time.Minute
	runOperators = 4
	runObjects   = 4
	longestFault = 15 * time.Second
	longestPause = 3 * time.Second
)

var runDomains = []string{"a", "b", "c"}

// randomRun is one run of a cluster with random faults and concurrent operators.
type randomRun struct {
	*cluster
	rng *rand.Rand
	end time.Time

	mu sync.Mutex
	// faultyUntil is the end of the last fault of each host or failure domain; it is in the future while the fault lasts.
	faultyUntil map[string]time.Time
	digests     map[uint64]string
	results     []operation
}

// operation is a commit by an operator with its final result.
type operation struct {
	id          string
	object      string
	base        uint64
	version     uint64
	inForce     uint64
	unavailable bool
	operator    int
	call        time.Time
	ret         time.Time
}

// Guards against versions that decrease, commits that are lost or applied twice, and hosts that do not catch up. The faults are
// random combinations of platform outages and delays, lost responses, late writes, pauses, partitions and crashes.
func TestRandomFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			options := Options{CheckpointEvery: 16, KeepChanges: 100_000, RecentChanges: 12}
			runCluster(t, options, func(t *testing.T, is *is.I, c *cluster) {
				r := &randomRun{
					cluster:     c,
					rng:         rand.New(rand.NewPCG(seed, 1)),
					end:         time.Now().Add(runLength),
					faultyUntil: map[string]time.Time{},
					digests:     map[uint64]string{},
				}
				r.run(is, seed)
			})
		})
	}
}

func (r *randomRun) run(is *is.I, seed uint64) {
	waitReady(r.t, r.start(3, runDomains...)...)
	var work sync.WaitGroup
	work.Go(r.observe)
	for i := range runOperators {
		work.Go(func() { r.runOperator(i, rand.New(rand.NewPCG(seed, uint64(i+2)))) })
	}
	for time.Now().Before(r.end) {
		time.Sleep(time.Duration(r.rng.Int64N(int64(longestPause))))
		r.injectFault()
	}
	r.waitForFaultsToEnd()
	work.Wait()
	time.Sleep(2 * longestFault) // until late writes have taken effect
	nodes := r.all()
	last := nodes[0].commit("last", putAt(place("last"), 0))
	r.waitInForce(last, inForceLimit, nodes...)
	r.checkLog(is, last)
	r.checkLinearizable()
}

// injectFault starts a random fault, which ends by itself after at most longestFault.
func (r *randomRun) injectFault() {
	duration := time.Duration(r.rng.Int64N(int64(longestFault)))
	nodes := r.all()
	n := nodes[r.rng.IntN(len(nodes))]
	switch r.rng.IntN(7) {
	case 0:
		r.faults(r.platform, memory.Faults{Outage: true}, duration)
	case 1:
		r.faults(r.platform, memory.Faults{Delay: duration / 4}, duration)
	case 2:
		r.faults(n.client, memory.Faults{LostResponses: 1 + r.rng.IntN(3)}, duration)
	case 3:
		r.faults(n.client, memory.Faults{LateWrites: 1 + r.rng.IntN(3), LateBy: duration}, duration)
	case 4:
		r.markFaulty(n.self.Host, duration)
		n.pause()
		time.AfterFunc(duration, n.resume)
	case 5:
		domain, platformToo := runDomains[r.rng.IntN(len(runDomains))], r.rng.IntN(2) == 0
		r.markFaulty(domain, duration)
		r.partition(domain, true, platformToo)
		time.AfterFunc(duration, func() { r.partition(domain, false, false) })
	case 6:
		r.markFaulty(n.self.Host, 5*time.Second)
		n.crash()
		r.startHost(n.self.Host, n.self.FailureDomain)
	}
}

func (r *randomRun) faults(p *memory.Platform, f memory.Faults, duration time.Duration) {
	p.SetFaults(f)
	time.AfterFunc(duration, func() { p.SetFaults(memory.Faults{}) })
}

func (r *randomRun) markFaulty(name string, duration time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if until := time.Now().Add(duration); until.After(r.faultyUntil[name]) {
		r.faultyUntil[name] = until
	}
}

func (r *randomRun) faultFreeSince(n *node, moment time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faultyUntil[n.self.Host].Before(moment) && r.faultyUntil[n.self.FailureDomain].Before(moment)
}

// waitForFaultsToEnd sleeps until all faults have ended.
func (r *randomRun) waitForFaultsToEnd() { time.Sleep(longestFault) }

// observe asserts that the version of a host never decreases and that a version has the same content on all hosts.
func (r *randomRun) observe() {
	last := map[*node]uint64{}
	for time.Now().Before(r.end.Add(longestFault)) {
		for _, n := range r.all() {
			snapshot := n.manager.store.Current()
			if snapshot.Version < last[n] {
				r.t.Errorf("version of %s decreased from %d to %d", n.self.Host, last[n], snapshot.Version)
			}
			if snapshot.Version == last[n] {
				continue
			}
			last[n] = snapshot.Version
			digest := fmt.Sprint(hashMutations(snapshotMutations(snapshot)))
			if known, ok := r.digests[snapshot.Version]; ok && known != digest {
				r.t.Errorf("content of version %d on %s differs from another host", snapshot.Version, n.self.Host)
			}
			r.digests[snapshot.Version] = digest
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func snapshotMutations(s *Snapshot) []*configv1.Mutation {
	var list []*configv1.Mutation
	for _, o := range s.List("") {
		list = append(list, putAt(o, 0)...)
	}
	return list
}

// runOperator commits changes of random objects through random hosts until the end of the run.
func (r *randomRun) runOperator(operator int, rng *rand.Rand) {
	for i := 0; time.Now().Before(r.end); i++ {
		time.Sleep(time.Duration(rng.Int64N(int64(longestPause))))
		n := r.pick(rng)
		object := fmt.Sprint("p", rng.IntN(runObjects))
		op := operation{id: fmt.Sprintf("op-%d-%d", operator, i), object: object, operator: operator, call: time.Now()}
		op.base = n.manager.store.Current().Object(Key{KindPlace, object}).GetVersion()
		r.resolve(&op, n, rng)
		op.ret = time.Now()
		r.mu.Lock()
		r.results = append(r.results, op)
		r.mu.Unlock()
	}
}

func (r *randomRun) pick(rng *rand.Rand) *node {
	nodes := r.all()
	return nodes[rng.IntN(len(nodes))]
}

// resolve commits op through n and repeats the request through random hosts while the outcome is unknown.
func (r *randomRun) resolve(op *operation, n *node, rng *rand.Rand) {
	unresolved := false // after an unknown outcome, store.ErrUnavailable concerns the repeat only
	for {
		version, err := n.manager.Commit(context.Background(), op.id, putAt(placeIn(op.object, op.id), op.base))
		var conflict *VersionConflict
		switch {
		case n.isCrashed():
			// The operator gets no response from a host that has crashed.
			unresolved = true
			n = r.pick(rng)
		case err == nil:
			op.version = version
			r.checkInForce(n, version)
			return
		case errors.As(err, &conflict):
			op.inForce = conflict.InForce
			return
		case errors.Is(err, store.ErrUnknownOutcome):
			unresolved = true
			n = r.pick(rng)
		case errors.Is(err, store.ErrUnavailable) && !unresolved:
			op.unavailable = true
			return
		case errors.Is(err, store.ErrUnavailable):
			time.Sleep(time.Second)
			n = r.pick(rng)
		default:
			r.t.Errorf("commit %s on %s: %v", op.id, n.self.Host, err)
			return
		}
	}
}

// checkInForce asserts that a version is in force after inForceLimit on all hosts without faults. It is skipped if the committing
// host had a fault.
func (r *randomRun) checkInForce(from *node, version uint64) {
	committed := time.Now()
	time.Sleep(inForceLimit)
	if !r.faultFreeSince(from, committed) {
		return
	}
	for _, n := range r.all() {
		if r.faultFreeSince(n, committed) && n.inForce() < version {
			r.t.Errorf("%s has version %d in force, %v after %s committed %d", n.self.Host, n.inForce(), inForceLimit, from.self.Host, version)
		}
	}
}

// checkLog asserts that the table holds each committed change exactly once, at its version, and no refused change.
func (r *randomRun) checkLog(is *is.I, last uint64) {
	rows, err := r.platform.Scan(context.Background(), changePrefix, "", int(last)+1)
	is.NoErr(err)
	is.Equal(uint64(len(rows)), last)
	versions := map[string]uint64{}
	for i, row := range rows {
		change, err := decodeChange(row.Value)
		is.NoErr(err)
		is.Equal(change.GetVersion(), uint64(i+1))
		_, twice := versions[change.GetRequestId()]
		is.True(!twice) // a change is committed once
		versions[change.GetRequestId()] = change.GetVersion()
	}
	committed, refused, unavailable := 0, 0, 0
	for _, op := range r.results {
		is.Equal(versions[op.id], op.version) // version 0 if the change was refused
		switch {
		case op.version > 0:
			committed++
		case op.unavailable:
			unavailable++
		default:
			refused++
		}
	}
	is.Equal(committed+1, len(versions)) // the log has no other changes except the last one
	r.t.Logf("committed %d, refused %d, unavailable %d", committed, refused, unavailable)
	is.True(committed > 0)
	is.True(unavailable < len(r.results)/2+len(r.results)/4) // commits were possible during a good part of the run
}

// checkLinearizable checks that the results of all commits are linearizable with respect to a model of the head version and the
// object versions.
func (r *randomRun) checkLinearizable() {
	type state struct {
		head    uint64
		objects [runObjects]uint64
	}
	model := porcupine.Model{
		Init: func() any { return state{} },
		Step: func(before, input, _ any) (bool, any) {
			s, op := before.(state), input.(operation)
			var i int
			_, _ = fmt.Sscanf(op.object, "p%d", &i)
			switch {
			case op.unavailable:
				return true, s
			case op.version == 0:
				return s.objects[i] == op.inForce && op.inForce != op.base, s
			}
			ok := s.objects[i] == op.base && op.version == s.head+1
			s.head, s.objects[i] = op.version, op.version
			return ok, s
		},
	}
	var history []porcupine.Operation
	for _, op := range r.results {
		history = append(history, porcupine.Operation{ClientId: op.operator, Input: op, Call: op.call.UnixNano(), Return: op.ret.UnixNano()})
	}
	if !porcupine.CheckOperations(model, history) {
		r.t.Error("the commits are not linearizable")
	}
}
