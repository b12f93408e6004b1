package permit_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

var failoverSeeds = flag.Int("failover-seeds", 3, "number of random schedules in TestFailoverBoundsOverAllocation")

const (
	sampleInterval = time.Millisecond
	faultTime      = 20 * time.Second
	healTime       = 12 * time.Second
)

// audit checks the bound on over-allocation (see recovery.go) while it injects faults.
type audit struct {
	d *domain
	// killsOnly excludes the faults that isolate running hosts.
	killsOnly bool
	// unaccounted holds the permits that were in use at some moment without being in the table of the newest dispatcher.
	unaccounted map[permit.Key]bool
	// firstSeen is when a permit was first observed in use.
	firstSeen map[permit.Key]time.Time
	// maxOver is the largest number of permits in use beyond the slots of a target.
	maxOver int
	// failovers holds each dispatcher that was the newest active one at some time, and started each that was active at all.
	failovers, started map[permit.ID]bool
	errors             []string
}

func (a *audit) fail(format string, args ...any) {
	if len(a.errors) < 5 {
		a.errors = append(a.errors, fmt.Sprintf(format, args...))
	}
}

// newest returns the state and the host of the newest active dispatcher; host is nil if there is none.
func (a *audit) newest() (newest permit.DispatcherState, host *permittest.Host) {
	for _, h := range a.d.Hosts() {
		for _, state := range h.DispatcherStates() {
			if state.Active && (host == nil || permit.Newer(state.ID, newest.ID)) {
				newest, host = state, h
			}
		}
	}
	return newest, host
}

// checkStarted checks that no dispatcher is active before its first recover call to each host in its view has ended.
func (a *audit) checkStarted() {
	for _, at := range a.d.Hosts() {
		for _, state := range at.DispatcherStates() {
			if !state.Active || a.started[state.ID] {
				continue
			}
			a.started[state.ID] = true
			for _, h := range a.d.Hosts() {
				if _, known := at.Lookup(h.Member.Host); known && state.Attempted[h.Member.Host] == 0 {
					a.fail("dispatcher %v is active before its first recover call to host %s has ended", state.ID, h.Member.Host)
				}
			}
		}
	}
}

// sample checks the bound at the current moment.
func (a *audit) sample() {
	synctest.Wait()
	a.checkStarted()
	newest, at := a.newest()
	if at == nil {
		return
	}
	a.failovers[newest.ID] = true
	inUse, unaccounted := map[string]int{}, map[string]int{}
	for _, h := range a.d.Hosts() {
		follows, uses := h.PermitsInUse("lookup")
		answered := follows == newest.ID && newest.Answered[h.Member.Host] == h.Member.Incarnation
		reported := at.LastHeartbeatBefore(h.Member, newest.ReservedAt[h.Member.Host])
		old := map[string]int{}
		for key, target := range uses {
			inUse[target]++
			a.noteFirstSeen(key)
			if newest.Permits[key] == "" {
				a.unaccounted[key] = true
				if answered {
					a.fail("host %s follows dispatcher %v, whose table lacks permit %v", h.Member.Host, newest.ID, key)
				}
				if a.firstSeen[key].Before(reported) {
					old[target]++
				}
			}
			if a.unaccounted[key] {
				unaccounted[target]++
			}
		}
		for target, n := range old {
			if reserved := newest.Reserved[[2]string{h.Member.Host, target}]; n > reserved {
				a.fail("host %s held %d permits at target %s before its last heartbeat, but only %d slots are reserved",
					h.Member.Host, n, target, reserved)
			}
		}
	}
	for target, n := range inUse {
		over := n - lookup.Slots
		a.maxOver = max(a.maxOver, over)
		if over > unaccounted[target] {
			a.fail("target %s: %d permits in use for %d slots, of which the newest dispatcher's table lacked %d",
				target, n, lookup.Slots, unaccounted[target])
		}
	}
}

func (a *audit) noteFirstSeen(key permit.Key) {
	if _, ok := a.firstSeen[key]; !ok {
		a.firstSeen[key] = time.Now()
	}
}

// load sends requests from all hosts until stop is closed.
func (a *audit) load(stop <-chan struct{}) {
	d := a.d
	for {
		select {
		case <-stop:
			return
		default:
		}
		hosts := d.Hosts()
		h := hosts[d.rng.IntN(len(hosts))]
		req := d.request("lookup", time.Duration(100+d.rng.IntN(6000))*time.Millisecond)
		work := time.Duration(d.rng.ExpFloat64() * float64(150*time.Millisecond))
		if d.rng.IntN(4) == 0 {
			work = 4 * time.Second // longer than the failure detector needs to declare a host dead
		}
		d.pending.Go(func() { _ = d.serve(h, req, work) })
		time.Sleep(time.Duration(d.rng.ExpFloat64() * float64(50*time.Millisecond)))
	}
}

// injectFaults injects random faults for faultTime, then restarts the killed hosts and repairs the network.
func (a *audit) injectFaults() {
	d := a.d
	var down []string
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		hosts := d.Hosts()
		h := hosts[d.rng.IntN(len(hosts))]
		if _, at := a.newest(); at != nil && d.rng.IntN(2) == 0 {
			h = at
		}
		other := hosts[d.rng.IntN(len(hosts))]
		switch n := d.rng.IntN(10); {
		case n < 2 && len(hosts) > 3:
			d.Kill(h)
			down = append(down, h.Member.Host)
		case n < 4 && len(down) > 0:
			d.Add(down[0]).Start()
			down = down[1:]
		case a.killsOnly:
		case n < 5:
			d.Network.Freeze(h.Member.Host)
		case n < 6:
			a.heal(hosts)
		case n < 7:
			d.Network.Cut(h.Member.Host, other.Member.Host, h != other)
		default:
			a.split(hosts, d.rng.IntN(len(hosts)-1)+1)
		}
		time.Sleep(time.Duration(d.rng.IntN(2500)) * time.Millisecond)
	}
	for _, name := range down {
		d.Add(name).Start()
	}
	a.heal(d.Hosts())
}

// split partitions the network between the first n hosts and the others, in both directions.
func (a *audit) split(hosts []*permittest.Host, n int) {
	for _, x := range hosts[:n] {
		for _, y := range hosts[n:] {
			a.d.Network.Cut(x.Member.Host, y.Member.Host, true)
			a.d.Network.Cut(y.Member.Host, x.Member.Host, true)
		}
	}
}

func (a *audit) heal(hosts []*permittest.Host) {
	for _, x := range hosts {
		a.d.Network.Thaw(x.Member.Host)
		for _, y := range hosts {
			a.d.Network.Cut(x.Member.Host, y.Member.Host, false)
		}
	}
}

// Guards against over-allocation beyond the bound in recovery.go while hosts are killed, frozen or partitioned, even if several
// hosts run a dispatcher at the same time; and against slots that leak after the faults.
func TestFailoverBoundsOverAllocation(t *testing.T) {
	for seed := range uint64(*failoverSeeds) {
		testFailover(t, seed, false)
	}
}

// Guards against any over-allocation when hosts only crash and restart: all running hosts are reachable then, and the bound is 0.
func TestFailoverAfterKillsIsExact(t *testing.T) {
	for seed := range uint64(*failoverSeeds) {
		a := testFailover(t, seed, true)
		is.New(t).True(a.maxOver <= 0)
	}
}

func testFailover(t *testing.T, seed uint64, killsOnly bool) *audit {
	var a *audit
	run(t, seed, 6, permittest.Objects(lookup), func(d *domain, is *is.I) {
		a = newAudit(d)
		a.killsOnly = killsOnly
		d.Network.SetDelay(5 * delay) // more grants are in transit when a dispatcher is replaced
		stop := make(chan struct{})
		var background sync.WaitGroup
		background.Go(func() { a.load(stop) })
		faults := make(chan struct{})
		background.Go(func() {
			time.Sleep(time.Second)
			a.injectFaults()
			close(faults)
		})
		for end := time.Now().Add(time.Second + faultTime + healTime); time.Now().Before(end); {
			a.sample()
			time.Sleep(sampleInterval)
		}
		<-faults
		close(stop)
		background.Wait()
		d.pending.Wait()
		time.Sleep(7 * time.Second)
		t.Logf("seed %d: %d dispatchers, at most %d permits beyond the slots of a target", seed, len(a.failovers), a.maxOver)
		for _, e := range a.errors {
			t.Error(e)
		}
		newest, at := a.newest()
		is.Equal(len(newest.Answered), 6) // all hosts follow the same dispatcher again
		free, total := headroom(at)
		is.Equal(total, 12)
		is.Equal(free, 12) // no slot leaked
	})
	return a
}

// Guards against the use of a grant of an earlier dispatcher that arrives after the host has started to follow a newer one: the
// newer dispatcher's table lacks the permit.
func TestGrantsInTransitAreFenced(t *testing.T) {
	run(t, 1, 4, permittest.Objects(lookup), func(d *domain, is *is.I) {
		a := newAudit(d)
		d.Network.SetDelay(5 * delay)
		owner, others := d.ownerAndOthers("lookup")
		// The partition separates only the owner and its successor: the successor's view declares the owner dead, the views of
		// the other hosts do not.
		a.split([]*permittest.Host{owner, others[0]}, 1)
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(sampleInterval) {
			req := d.request("lookup", time.Second)
			d.pending.Go(func() { _ = d.serve(others[1], req, 10*time.Millisecond) })
			a.sample()
		}
		is.True(len(a.failovers) > 1)
		for _, e := range a.errors {
			t.Error(e)
		}
	})
}

func newAudit(d *domain) *audit {
	return &audit{
		d: d, unaccounted: map[permit.Key]bool{}, firstSeen: map[permit.Key]time.Time{},
		failovers: map[permit.ID]bool{}, started: map[permit.ID]bool{},
	}
}

// Guards against requests that wait until their deadline because the last host of a failure domain leaves: it must also dispatch the
// services that are added meanwhile.
func TestLastHostDispatchesWhileItLeaves(t *testing.T) {
	run(t, 1, 1, permittest.Objects(busyLookup), func(d *domain, is *is.I) {
		h := d.Hosts()[0]
		h.Leave()
		time.Sleep(time.Second)
		added := permittest.Service{Name: "added", Domain: "d1", Targets: 1, Slots: 1}
		current := d.Store.Current()
		objects := append(current.List(""), permittest.Objects(added)...)
		d.Store.Set(config.NewSnapshot(current.Version+1, objects))
		for _, service := range []string{"lookup", "added"} {
			start := time.Now()
			g, err := h.Acquire(context.Background(), d.request(service, 5*time.Second))
			is.NoErr(err)
			is.True(time.Since(start) < time.Second)
			g.Release(permit.Observation{Outcome: ok})
		}
	})
}
