package permit_test

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// load sends requests whose callers wait for a timeout. The service time of a request is hit if its object is among
// the last cacheSize objects that the target served, and miss otherwise.
type load struct {
	d         *domain
	timeout   time.Duration
	hit, miss time.Duration
	cacheSize int
	recent    map[string][]int

	// inTime and late count the responses before and after the deadline, hits those with a cached object.
	inTime, late, hits atomic.Int64
	// refused counts the refusals, held those that came later than heldLimit, waited is the longest time before one.
	refused, held, waited atomic.Int64
}

// heldLimit is the time within which a request is refused on arrival.
const heldLimit = 4 * delay

func (d *domain) newLoad(timeout, hit, miss time.Duration, cacheSize int) *load {
	return &load{d: d, timeout: timeout, hit: hit, miss: miss, cacheSize: cacheSize, recent: map[string][]int{}}
}

func (l *load) send(object int, priority uint32) {
	d := l.d
	req := d.request("lookup", l.timeout)
	req.ObjectHash = uint64(object+1) * 0x9e3779b97f4a7c15
	req.Priority = priority
	req.QueueTimeout = (l.timeout - l.miss) / 3
	host := d.Hosts()[object%len(d.Hosts())]
	d.pending.Go(func() {
		start := time.Now()
		g, err := host.Acquire(context.Background(), req)
		if err != nil {
			l.waited.Store(max(l.waited.Load(), int64(time.Since(start))))
			l.refused.Add(1)
			if time.Since(start) > heldLimit {
				l.held.Add(1)
			}
			return
		}
		work := l.serviceTime(g.Target, object)
		d.enter(g.Target)
		time.Sleep(work)
		d.leave(g.Target)
		g.Release(permit.Observation{Outcome: ok, FirstByte: work, Total: work})
		if work == l.hit {
			l.hits.Add(1)
		}
		if time.Since(start) <= l.timeout {
			l.inTime.Add(1)
		} else {
			l.late.Add(1)
		}
	})
}

func (l *load) serviceTime(target string, object int) time.Duration {
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	list, work := []int{object}, l.miss
	for _, o := range l.recent[target] {
		if o == object {
			work = l.hit
		} else if len(list) < l.cacheSize {
			list = append(list, o)
		}
	}
	l.recent[target] = list
	return work
}

var busyLookup = permittest.Service{Name: "lookup", Domain: "d1", Targets: 8, Slots: 4}

// Guards against an overload that spends the slots on answers that come after the deadline, and against callers that are held and then
// refused. With 1.5 times as many arrivals as the slots can serve, the slots must stay in use.
func TestOverloadIsServedInTime(t *testing.T) {
	run(t, 1, 3, permittest.Objects(busyLookup), func(d *domain, is *is.I) {
		l := d.newLoad(time.Second, 190*time.Millisecond, 265*time.Millisecond, 40)
		const slots, objects = 32, 80
		interval := time.Duration(float64(l.hit) / slots / 1.5)
		for range 4000 { // warms the caches and the estimates
			l.send(d.rng.IntN(objects), 0)
			time.Sleep(interval)
		}
		time.Sleep(time.Second)
		l.inTime.Store(0)
		l.late.Store(0)
		l.refused.Store(0)
		l.held.Store(0)
		l.waited.Store(0)
		const requests = 6000
		for range requests {
			l.send(d.rng.IntN(objects), 0)
			time.Sleep(interval)
		}
		time.Sleep(time.Second)
		t.Logf("in time %d, late %d, refused %d, %d of them held, longest wait for a refusal %s", l.inTime.Load(), l.late.Load(),
			l.refused.Load(), l.held.Load(), time.Duration(l.waited.Load()))
		is.True(l.inTime.Load() > requests*55/100)    // of at most 67 in 100
		is.Equal(l.late.Load(), int64(0))             // slots go to answers in time
		is.True(l.held.Load() < l.refused.Load()/100) // refused at once
		for target, n := range d.peak {
			if n > busyLookup.Slots {
				t.Errorf("target %s had %d requests", target, n)
			}
		}
	})
}

// Guards against requests for objects that are spread over all targets, where they miss the caches, because short requests without an
// object share the targets.
func TestShortRequestsDoNotHideCacheMisses(t *testing.T) {
	run(t, 3, 3, permittest.Objects(busyLookup), func(d *domain, is *is.I) {
		l := d.newLoad(1600*time.Millisecond, 160*time.Millisecond, 540*time.Millisecond, 27)
		const objects, requests = 105, 4000
		interval := time.Duration(float64(l.hit) / 32 / 0.5) // half of the slots at cache hits only
		for i := range 2 * requests {
			if i == requests { // the caches and the estimates are warm
				l.hits.Store(0)
			}
			if i%3 == 0 {
				check := d.request("lookup", time.Second)
				check.Route, check.QueueTimeout = "check", time.Second/3
				d.pending.Go(func() { _ = d.serve(d.Hosts()[0], check, 2*time.Millisecond) })
			}
			l.send(d.rng.IntN(objects), 0)
			time.Sleep(interval)
		}
		time.Sleep(time.Second)
		t.Logf("%d hits of %d", l.hits.Load(), requests)
		is.True(l.hits.Load() > requests*9/10)
	})
}

// Guards against urgent requests that are refused as often as less urgent ones of the same service.
func TestUrgentRequestsComeFirst(t *testing.T) {
	run(t, 2, 3, permittest.Objects(busyLookup), func(d *domain, is *is.I) {
		l := map[uint32]*load{}
		for p := range uint32(2) {
			l[p] = d.newLoad(time.Second, 190*time.Millisecond, 190*time.Millisecond, 0)
		}
		for i := range 6000 {
			p := uint32(i % 2)
			l[p].send(d.rng.IntN(20), p)
			time.Sleep(4 * time.Millisecond) // a demand of 47 slots, 24 for each priority
		}
		time.Sleep(time.Second)
		t.Logf("urgent: %d in time, %d refused; others: %d in time, %d refused", l[0].inTime.Load(), l[0].refused.Load(),
			l[1].inTime.Load(), l[1].refused.Load())
		is.True(l[0].refused.Load() < 3000*5/100)
		is.True(l[1].inTime.Load() > 3000*15/100) // the remaining slots are used
	})
}

// Guards against more requests to a cold target than it can handle, which would crash it.
func TestColdTargetGetsFewRequests(t *testing.T) {
	objects := permittest.Objects(permittest.Service{Name: "lookup", Domain: "d1", Targets: 1, Slots: 50})
	objects[0].GetService().ColdRequestsPerSecond = 8
	objects[1].GetTarget().ColdMs = 5000
	run(t, 3, 2, objects, func(d *domain, is *is.I) {
		l := d.newLoad(4*time.Second, 10*time.Millisecond, 10*time.Millisecond, 0)
		for range 3 { // the token bucket is full at first, since the dispatcher has run for a second
			l.inTime.Store(0)
			for range 100 {
				l.send(1, 0)
				time.Sleep(10 * time.Millisecond)
			}
			is.True(l.inTime.Load()+l.late.Load() <= 8+2+1)
		}
		time.Sleep(2 * time.Second)
		l.inTime.Store(0)
		for range 100 {
			l.send(1, 0)
			time.Sleep(10 * time.Millisecond)
		}
		is.True(l.inTime.Load() > 95)
	})
}

// Guards against a region that refuses its callers because it has no targets of the service itself, and against a forwarded
// request that is redirected a second time.
func TestRequestsGoElsewhere(t *testing.T) {
	objects := append(permittest.Objects(permittest.Service{Name: "lookup", Domain: "d2", Targets: 2, Slots: 4}),
		&configv1.Object{Kind: &configv1.Object_Policy{Policy: &configv1.Policy{
			Name: "p", Service: "lookup", BalanceRegions: true,
		}}})
	run(t, 4, 2, objects, func(d *domain, is *is.I) {
		for _, h := range d.Hosts() {
			h.SetLoads([]permit.DomainLoad{{Domain: "d2", Region: "r2", Slots: 8}})
		}
		time.Sleep(time.Second)
		req := d.request("lookup", time.Second)
		req.FollowsRedirects = true
		_, err := d.Hosts()[0].Acquire(context.Background(), req)
		var elsewhere *permit.RedirectError
		is.True(errors.As(err, &elsewhere))
		is.Equal(elsewhere.FailureDomain, "d2")
		req = d.request("lookup", time.Second)
		req.Forwarded = true
		_, err = d.Hosts()[0].Acquire(context.Background(), req)
		var refused *permit.RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET)
	})
}

// Guards against a target that fails or sheds requests fast, always has free slots and therefore attracts most requests.
func TestSheddingTargetGetsFewRequests(t *testing.T) {
	run(t, 5, 2, permittest.Objects(busyLookup), func(d *domain, is *is.I) {
		counts := map[string]int{}
		for range 2000 {
			req := d.request("lookup", time.Second)
			req.Route = "/"
			g, err := d.Hosts()[0].Acquire(context.Background(), req)
			if err != nil {
				continue
			}
			counts[g.Target]++
			outcome, took := ok, 20*time.Millisecond
			if g.Target == "lookup-3" {
				outcome, took = peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED, time.Millisecond
			}
			d.pending.Go(func() {
				time.Sleep(took)
				g.Release(permit.Observation{Outcome: outcome, FirstByte: took, Total: took})
			})
			time.Sleep(2 * time.Millisecond)
		}
		t.Logf("requests by target: %v", counts)
		is.True(counts["lookup-3"] > 0)
		is.True(counts["lookup-3"] < 2000/8/4)
		is.True(math.Abs(float64(counts["lookup-1"]-counts["lookup-2"])) < 100)
	})
}

// Guards against callers with much time that are held and then refused, because callers with less time came later and were served first.
func TestHeldRequestsAreNotRefusedForLaterOnes(t *testing.T) {
	run(t, 6, 3, permittest.Objects(busyLookup), func(d *domain, is *is.I) {
		short := d.newLoad(time.Second, 200*time.Millisecond, 200*time.Millisecond, 0)
		patient := d.newLoad(4*time.Second, 200*time.Millisecond, 200*time.Millisecond, 0)
		for i := range 4000 { // at 1.6 times what the slots can serve, 0.4 times of it from callers with much time
			l := short
			if i%4 == 0 {
				l = patient
			}
			l.send(0, 0)
			time.Sleep(200 * time.Millisecond / 32 * 10 / 16)
		}
		d.pending.Wait()
		for _, l := range []*load{short, patient} {
			t.Logf("timeout %v: %d in time, %d late, %d refused, %d of them held", l.timeout, l.inTime.Load(), l.late.Load(), l.refused.Load(), l.held.Load())
			is.True(l.held.Load() <= l.refused.Load()/100)
			is.Equal(l.late.Load(), int64(0))
		}
		is.True(patient.inTime.Load() > 1000*95/100) // more time costs a caller nothing
		is.True(short.inTime.Load() > 3000/4)        // the slots that are left serve one of two
	})
}
