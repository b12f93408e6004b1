package permit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/poison"
)

// A replay plays a load at the decisions of one dispatcher for each region, event by event at simulated times, without goroutines, messages or
// connections. Targets keep the objects of their last requests in a cache, and callers repeat a refused request once.

// The load of a replay.
const (
	replayTick = 10 * time.Millisecond
	// replayReportInterval is the time between two reports of a region's load to the others.
	replayReportInterval = time.Second
	// replayRegionDelay is the time that a redirected request takes to the other region.
	replayRegionDelay = 20 * time.Millisecond
	replayTimeout     = 2 * time.Second
	// replayQueueTimeout is a third of the time that is spare beyond the work.
	replayQueueTimeout = 560 * time.Millisecond
	replayObjects      = 240
	replayCacheSize    = 26
	replayHit          = 160 * time.Millisecond
	replayMiss         = 640 * time.Millisecond
	// One of replayTailOneIn requests takes replayTailFactor times as long.
	replayTailOneIn  = 33
	replayTailFactor = 5
	replayWindow     = 2 * time.Second
)

// replayRegion describes a region: its targets, and how many requests a second its callers send at a time since the start.
type replayRegion struct {
	name           string
	targets, slots int
	rate           func(at time.Duration) float64
}

// replayHost is the membership view of a region's only host.
type replayHost struct{ member membership.Member }

func (h replayHost) Self() membership.Member                 { return h.member }
func (h replayHost) Domain(string) []membership.Member       { return []membership.Member{h.member} }
func (h replayHost) All() []membership.Member                { return []membership.Member{h.member} }
func (h replayHost) Changed() <-chan struct{}                { return nil }
func (h replayHost) Lookup(string) (membership.Member, bool) { return h.member, true }

// replayRequest is a caller's request on its way.
type replayRequest struct {
	object  int
	home    *replayDomain
	sentAt  time.Time
	retried bool
	w       *waiter
}

// replayDomain is the state of a region: its dispatcher, the requests that wait there, and the caches of its targets.
type replayDomain struct {
	replayRegion
	d       *dispatcher
	waiting []*replayRequest
	caches  map[string][]int
	loads   []DomainLoad
	// runs holds when and where the requests of the region's callers ran.
	runs []replayRun
	// served counts those that were complete in time, late the others; refused counts refusals, held those that came after a wait.
	sent, served, late, refused, held int
	waited                            time.Duration
	cached                            int
	// byObject counts the requests for each object.
	byObject map[int]*objectCount
}

// objectCount counts the requests for an object, without second tries, and those that were complete in time.
type objectCount struct{ sent, served int }

type replayRun struct {
	at   time.Time
	home bool
}

type replayEvent struct {
	at       time.Time
	sequence int
	act      func(now time.Time)
}

type replayEvents []replayEvent

func (h replayEvents) Len() int { return len(h) }
func (h replayEvents) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h replayEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *replayEvents) Push(x any)   { *h = append(*h, x.(replayEvent)) }
func (h *replayEvents) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type replay struct {
	rng      *rand.Rand
	start    time.Time
	events   replayEvents
	sequence int
	domains  []*replayDomain
	// objects is the number of objects that callers ask for.
	objects int
}

// playReplay plays a load. The seed repeats it exactly: the bubble stops the clock that dispatchers read beside the times that they are given.
func playReplay(t *testing.T, seed uint64, length time.Duration, objects int, regions ...replayRegion) *replay {
	t.Helper()
	var r *replay
	synctest.Test(t, func(*testing.T) {
		r = newReplay(seed, shiftLimit, regions...)
		r.objects = objects
		r.run(length)
	})
	return r
}

func newReplay(seed uint64, shiftShare float64, regions ...replayRegion) *replay {
	r := &replay{rng: rand.New(rand.NewPCG(seed, 1)), start: time.Now()}
	for _, region := range regions {
		d := &replayDomain{replayRegion: region, caches: map[string][]int{}, byObject: map[int]*objectCount{}}
		d.d = replayDispatcher(d, shiftShare)
		r.domains = append(r.domains, d)
	}
	return r
}

func replayDispatcher(r *replayDomain, shiftShare float64) *dispatcher {
	objects := []*configv1.Object{
		{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "s"}}},
		{Kind: &configv1.Object_Policy{Policy: &configv1.Policy{Name: "p", Service: "s", LongSharePercent: 100, BalanceRegions: true}}},
	}
	for i := range r.targets {
		name := fmt.Sprintf("%s-t%d", r.name, i)
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
			Name: name, Service: "s", FailureDomain: r.name, Address: name, Slots: uint32(r.slots), State: configv1.TargetState_TARGET_STATE_ACTIVE,
		}}})
	}
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, objects))
	host := membership.Member{Host: r.name + "-h", Incarnation: 1, FailureDomain: r.name, Region: r.name}
	m := &Manager{scope: tally.NoopScope, self: host, poison: &poison.Registry{}, opts: Options{
		Store: store, View: replayHost{host}, FailureDomain: r.name, RetryRatio: 0.1, RetryBurst: 20, ShiftShare: shiftShare,
		ShiftWindow: replayWindow, DomainLoads: func(string) []DomainLoad { return slices.Clone(r.loads) },
	}}
	d := newDispatcher(m, "s", dispatcherID{term: firstTerm, host: host.Host, incarnation: 1})
	d.active = true
	from := holder{host.Host, 1}
	d.followers[host.Host] = &follower{holder: from, attempted: true, answered: true}
	d.applyConfig()
	return d
}

func (r *replay) at(t time.Time, act func(now time.Time)) {
	r.sequence++
	heap.Push(&r.events, replayEvent{t, r.sequence, act})
}

// run plays the load for a time, and then what is left until all requests have ended.
func (r *replay) run(length time.Duration) {
	end := r.start.Add(length)
	for _, d := range r.domains {
		r.scheduleArrival(d, r.start, end)
	}
	drained := end.Add(2 * replayTimeout)
	r.everyInterval(replayTick, drained, r.tick)
	r.everyInterval(replayReportInterval, drained, func(time.Time) { r.report() })
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		e.act(e.at)
	}
}

func (r *replay) everyInterval(interval time.Duration, end time.Time, act func(now time.Time)) {
	for t := r.start; t.Before(end); t = t.Add(interval) {
		r.at(t, act)
	}
}

func (r *replay) tick(now time.Time) {
	for _, d := range r.domains {
		r.settle(d, now)
	}
}

// report tells each region the loads of the others.
func (r *replay) report() {
	for _, d := range r.domains {
		d.loads = nil
		for _, other := range r.domains {
			if other != d {
				_, total := other.d.slots.totals()
				demand := other.d.balance.Demand(other.d.meanHoldTime[classShort])
				d.loads = append(d.loads, DomainLoad{Domain: other.name, Region: other.name, Slots: float64(total), Demand: demand})
			}
		}
	}
}

// scheduleArrival schedules the next request of a region's callers.
func (r *replay) scheduleArrival(d *replayDomain, now, end time.Time) {
	rate := d.rate(now.Sub(r.start))
	next := now.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)))
	if next.After(end) {
		return
	}
	r.at(next, func(now time.Time) {
		q := &replayRequest{object: r.pickObject(), home: d, sentAt: now}
		d.sent++
		d.countObject(q.object).sent++
		r.send(d, q, now)
		r.scheduleArrival(d, now, end)
	})
}

func (d *replayDomain) countObject(object int) *objectCount {
	if d.byObject[object] == nil {
		d.byObject[object] = &objectCount{}
	}
	return d.byObject[object]
}

// pickObject prefers some objects to others: the first ones are asked for three times as often as the last ones.
func (r *replay) pickObject() int {
	for {
		o := r.rng.IntN(r.objects)
		if r.rng.Float64() < 1-0.67*float64(o)/float64(r.objects) {
			return o
		}
	}
}

// send submits a request to the dispatcher of a region.
func (r *replay) send(d *replayDomain, q *replayRequest, now time.Time) {
	r.sequence++
	deadline := q.sentAt.Add(replayTimeout)
	req := Request{
		ID: fmt.Sprint(r.sequence), Service: "s", Route: "/", Deadline: deadline, ObjectHash: uint64(q.object+1) * 0x9e3779b97f4a7c15,
		QueueTimeout: replayQueueTimeout, FollowsRedirects: d == q.home, Forwarded: d != q.home,
	}
	host := d.d.manager.self
	q.w = newWaiter(req, holder{host.Host, host.Incarnation}, deadline, d.d.id)
	q.w.arrivedAt = now
	d.waiting = append(d.waiting, q)
	q.w.apply(d.d, now)
	r.settle(d, now)
}

// settle grants and refuses what is due, and passes the answers on.
func (r *replay) settle(d *replayDomain, now time.Time) {
	d.d.processDue(now)
	d.waiting = slices.DeleteFunc(d.waiting, func(q *replayRequest) bool {
		select {
		case a := <-q.w.result:
			r.answered(d, q, a, now)
			return true
		default:
			return false
		}
	})
}

func (r *replay) answered(d *replayDomain, q *replayRequest, a answer, now time.Time) {
	switch {
	case a.permit != nil:
		r.serve(d, q, a.permit, now)
	case a.redirectTo != "":
		i := slices.IndexFunc(r.domains, func(o *replayDomain) bool { return o.name == a.redirectTo })
		r.at(now.Add(replayRegionDelay), func(now time.Time) { r.send(r.domains[i], q, now) })
	default:
		r.refused(q, a.refusal, now)
	}
}

func (r *replay) refused(q *replayRequest, refusal *RefusedError, now time.Time) {
	q.home.refused++
	if now.Sub(q.w.arrivedAt) > 2*replayTick {
		q.home.held++
	}
	if q.retried {
		return
	}
	r.at(now.Add(refusal.RetryAfter+2*replayTick), func(now time.Time) {
		r.send(q.home, &replayRequest{object: q.object, home: q.home, sentAt: now, retried: true}, now)
	})
}

// serve runs a request at the target of its permit.
func (r *replay) serve(d *replayDomain, q *replayRequest, p *permit, now time.Time) {
	q.home.runs = append(q.home.runs, replayRun{now, d == q.home})
	q.home.waited += now.Sub(q.w.arrivedAt)
	work := r.work(d, q, p.target.name)
	r.at(now.Add(work), func(now time.Time) {
		e := &release{
			key: p.key, target: p.target.name, class: classShort, route: "/",
			observation: Observation{Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, FirstByte: work, Total: work, TargetAlive: true},
		}
		e.apply(d.d, now)
		if now.Sub(q.sentAt) <= replayTimeout {
			q.home.served++
			q.home.countObject(q.object).served++
		} else {
			q.home.late++
		}
		r.settle(d, now)
	})
}

// work returns how long a target works on a request, and puts the object into its cache.
func (r *replay) work(d *replayDomain, q *replayRequest, target string) time.Duration {
	cache := d.caches[target]
	work := replayMiss
	if i := slices.Index(cache, q.object); i >= 0 {
		work = replayHit
		q.home.cached++
		cache = slices.Delete(cache, i, i+1)
	}
	cache = slices.Insert(cache, 0, q.object)
	d.caches[target] = cache[:min(len(cache), replayCacheSize)]
	factor := 0.85 + 0.3*r.rng.Float64()
	if r.rng.IntN(replayTailOneIn) == 0 {
		factor *= replayTailFactor
	}
	return time.Duration(factor * float64(work))
}

// shareChange returns the largest change, from one window to the next, of the part of a region's running requests that run in it, and when. Windows
// with few requests are left out.
func (d *replayDomain) shareChange(start time.Time, from time.Duration, least int) (most float64, at time.Duration) {
	runs := slices.SortedFunc(slices.Values(d.runs), func(a, b replayRun) int { return a.at.Compare(b.at) })
	last := runs[len(runs)-1].at.Sub(start)
	for t := from + replayWindow; t <= last; t += replayTick * 5 {
		before, n := homeShare(runs, start.Add(t-replayWindow))
		after, m := homeShare(runs, start.Add(t))
		if change := max(before-after, after-before); min(n, m) >= least && change > most {
			most, at = change, t
		}
	}
	return most, at
}

// ranHere returns how many requests of a region's callers ran in it between two times.
func (d *replayDomain) ranHere(from, to time.Time) int {
	n := 0
	for _, run := range d.runs {
		if run.home && !run.at.Before(from) && run.at.Before(to) {
			n++
		}
	}
	return n
}

// summary returns what became of the requests of a region's callers.
func (d *replayDomain) summary() string {
	runs := max(1, len(d.runs))
	return fmt.Sprintf("%d sent, %d served, %d late, %d refused (%d of them held), mean wait %v, cached %.2f", d.sent, d.served, d.late, d.refused,
		d.held, (d.waited / time.Duration(runs)).Round(time.Millisecond), float64(d.cached)/float64(runs))
}

// homeShare returns the part of the requests that ran in their region in the window from a time on, and the number of requests.
func homeShare(runs []replayRun, from time.Time) (share float64, n int) {
	byTime := func(r replayRun, t time.Time) int { return r.at.Compare(t) }
	i, _ := slices.BinarySearchFunc(runs, from, byTime)
	j, _ := slices.BinarySearchFunc(runs, from.Add(replayWindow), byTime)
	home := 0
	for _, run := range runs[i:j] {
		if run.home {
			home++
		}
	}
	return float64(home) / float64(max(1, j-i)), j - i
}
