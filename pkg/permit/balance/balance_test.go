package balance

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func fraction(shares []share, domain string) float64 { return shareOf(shares, domain).fraction }

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 0.005 }

// Guards against a region that refuses its callers while others have free slots, a full region that gets more requests, and
// requests that are redirected although their own region has room.
func TestRegionsAreEquallyLoaded(t *testing.T) {
	is := is.New(t)
	load := func(domain string, slots, demand float64) Load {
		return Load{Domain: domain, Slots: slots, Demand: demand}
	}
	small := balancedShares("a", []Load{load("a", 10, 30), load("b", 40, 30), load("c", 40, 30)})
	is.True(almostEqual(fraction(small, "a"), 1.0/3)) // a serves 10 of its 30; b and c serve 30 + 10 each
	is.True(almostEqual(fraction(small, "b"), fraction(small, "c")))
	big := balancedShares("b", []Load{load("a", 10, 30), load("b", 40, 30), load("c", 40, 30)})
	is.True(almostEqual(fraction(big, "b"), 1))
	idle := balancedShares("a", []Load{load("a", 10, 5), load("b", 40, 30)})
	is.True(almostEqual(fraction(idle, "a"), 1))
	over := balancedShares("a", []Load{load("a", 10, 60), load("b", 40, 60)})
	is.True(almostEqual(fraction(over, "a"), 24.0/60)) // both regions get 2.4 times their slots
	none := balancedShares("a", []Load{load("a", 0, 10), load("b", 40, 10)})
	is.True(almostEqual(fraction(none, "b"), 1))
	alone := balancedShares("a", []Load{load("a", 10, 60)})
	is.True(almostEqual(fraction(alone, "a"), 1))
	unknown := balancedShares("a", []Load{load("a", 10, 0), load("b", 30, 0)})
	is.True(almostEqual(fraction(unknown, "a"), 0.5)) // a serves 10 of an assumed demand of 20
}

// Guards against a small region that serves its callers itself although most of them find its few slots occupied, while others are idle. A
// large region with the same utilization has slots to spare.
func TestSmallRegionsKeepMoreInReserve(t *testing.T) {
	is := is.New(t)
	own := func(slots, demand float64) float64 {
		return fraction(balancedShares("a", []Load{{Domain: "a", Slots: slots, Demand: demand}, {Domain: "b", Slots: 1000, Demand: 100}}), "a")
	}
	is.True(own(8, 0.8*8) < 0.8)
	is.True(almostEqual(own(8, 0.5*8), 1))
	is.True(almostEqual(own(100, 0.8*100), 1))
	is.True(almostEqual(own(1, 0.5), 0))
}

// Guards against shares that change faster than their rate limit, which would send objects to targets that have not cached them.
func TestSharesChangeSlowly(t *testing.T) {
	is := is.New(t)
	from := []share{{domain: "a", fraction: 1}, {domain: "b"}, {domain: "c"}}
	to := []share{{domain: "a", fraction: 0.2}, {domain: "b", fraction: 0.5}, {domain: "c", fraction: 0.3}}
	const most = 0.01
	for range 200 {
		next := limitShift(from, to, most)
		moved, sum := 0.0, 0.0
		for _, s := range next {
			moved += max(0, s.fraction-fraction(from, s.domain))
			sum += s.fraction
		}
		is.True(moved <= most+1e-9)
		is.True(almostEqual(sum, 1))
		from = next
	}
	is.True(almostEqual(fraction(from, "a"), 0.2))
	gone := limitShift(from, []share{{domain: "a", fraction: 0.4}, {domain: "b", fraction: 0.6}}, most)
	is.True(almostEqual(fraction(gone, "a")+fraction(gone, "b"), 1)) // a domain that no longer exists loses its share at once
}

// fixture runs a Balancer, whose failure domain has 9 slots at first, at simulated times.
type fixture struct {
	*Balancer
	now time.Time
	Observation
}

func newFixture() *fixture {
	return &fixture{
		Balancer: New(Options{Domain: "a", ShiftShare: 0.05, ShiftWindow: 2 * time.Second}), now: time.Now(), Observation: Observation{Slots: 9},
	}
}

// step advances the time by one updateInterval in which requests arrive.
func (f *fixture) step(arrivals int) {
	f.now = f.now.Add(updateInterval)
	for range arrivals {
		f.CountArrival()
	}
	f.Update(f.now, func() Observation {
		o := f.Observation
		o.Others = slices.Clone(o.Others)
		return o
	})
}

// Guards against a new dispatcher that keeps its requests in a region with few slots for a long time. It receives the reports of
// the other failure domains after its first requests, so it must be able to change its shares without a limit at first.
func TestNewDispatcherMovesSharesAtOnce(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	started := b.now
	b.step(0)
	b.step(20)
	is.True(almostEqual(fraction(b.shares, "a"), 1)) // alone
	b.Others = []Load{{Domain: "b", Slots: 91, Demand: 50}}
	b.step(20)
	is.True(fraction(b.shares, "a") < 0.25) // 9 of 100 slots, and the demand is assumed to be that of b
	b.HoldTime = 250 * time.Millisecond
	b.step(20)
	is.True(fraction(b.shares, "a") < 0.25)
	for b.now.Sub(started) < 2*unlimitedShiftPeriod {
		b.step(20)
	}
	before := fraction(b.shares, "a")
	b.Others = []Load{{Domain: "b", Slots: 91, Demand: 500}}
	b.step(20)
	is.True(fraction(b.shares, "a")-before < 0.0026) // the limit is a twentieth in 2 s
}

// Guards against a region that refuses its callers for half a minute, although others have free slots, after a zone with most of
// its slots was evacuated or lost. The requests must return slowly, because the recovered targets have empty caches.
func TestLostSlotsMoveSharesAtOnce(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	b.Slots = 36
	b.Others = []Load{{Domain: "b", Slots: 72, Demand: 20}}
	b.HoldTime = 140 * time.Millisecond
	settle := func() {
		for range int(30 * time.Second / updateInterval) {
			b.step(20)
		}
	}
	settle()
	is.True(almostEqual(fraction(b.shares, "a"), 1)) // its demand is 28 of 36 slots
	b.Slots = 9
	b.step(20)
	is.True(fraction(b.shares, "a") < 0.35)
	settle()
	low := fraction(b.shares, "a")
	b.Slots = 36
	b.step(20)
	is.True(fraction(b.shares, "a")-low < 0.0026)
}

// Guards against requests that leave a region at once, and return only slowly, because its dispatcher was replaced and did not
// report for a second. A region that has really lost its targets still reports its demand.
func TestMissingReportIsNoLoss(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	b.Others = []Load{{Domain: "b", Slots: 91, Demand: 20}}
	b.HoldTime = 150 * time.Millisecond
	for range int(30 * time.Second / updateInterval) {
		b.step(20)
	}
	before := fraction(b.shares, "b")
	is.True(before > 0.6)
	reported := b.Others
	b.Others = []Load{{Domain: "b"}}
	b.step(20)
	is.True(before-fraction(b.shares, "b") < 0.0026) // the limit is a twentieth in 2 s
	b.Others = reported
	b.step(20)
	is.True(almostEqual(fraction(b.shares, "b"), before))
	b.Others = []Load{{Domain: "b", Demand: 20}}
	b.step(20)
	is.Equal(fraction(b.shares, "b"), 0.0)
}

// Guards against requests that move at once because a service gets more dispatchers, each of which sees a smaller part of the slots and of the
// demand.
func TestMoreDispatchersAreNoLoss(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	b.Dispatchers = 1
	b.Slots = 30
	b.Others = []Load{{Domain: "b", Slots: 90, Demand: 20}}
	b.HoldTime = 150 * time.Millisecond
	for range int(30 * time.Second / updateInterval) {
		b.step(40)
	}
	before := fraction(b.shares, "a")
	b.Dispatchers = 2
	b.Slots = 12 // names decide which targets a dispatcher has
	b.Others = []Load{{Domain: "b", Slots: 45, Demand: 10}}
	b.step(20)
	is.True(math.Abs(fraction(b.shares, "a")-before) < 0.0026) // the limit is a twentieth in 2 s
	b.Others = []Load{{Domain: "b", Slots: 30, Demand: 10}}
	b.step(20)
	is.True(b.now.Before(b.unlimitedUntil)) // a real loss is still noticed
}

// Guards against objects that move between regions, and against shares that are not reached within a few requests because some
// objects are much more popular than others.
func TestObjectsStayInTheirRegion(t *testing.T) {
	is := is.New(t)
	b := &Balancer{opts: Options{Domain: "a"}, shares: []share{{domain: "a", fraction: 0.4}, {domain: "b", fraction: 0.35}, {domain: "c", fraction: 0.25}}}
	const requests, objects = 4000, 80
	counts := map[string]float64{}
	places := map[int]map[string]int{}
	for i := range requests {
		object := i * 7 % objects
		s := b.pickShare(objectHash(object))
		s.deficit--
		counts[s.domain]++
		if places[object] == nil {
			places[object] = map[string]int{}
		}
		places[object][s.domain]++
		for _, s := range b.shares {
			is.True(math.Abs(s.deficit) <= 2*maxDeficit+2)
		}
	}
	for _, s := range b.shares {
		is.True(math.Abs(counts[s.domain]/requests-s.fraction) < 0.01)
	}
	most := 0
	for _, byDomain := range places {
		top := 0
		for _, n := range byDomain {
			top = max(top, n)
		}
		most += top
	}
	is.True(float64(most)/requests > 0.8) // more than 80% of the requests for an object are served in one region
}

func objectHash(object int) uint64 {
	x := (uint64(object)*0xff51afd7ed558ccd ^ uint64(object)) * 0x9e3779b97f4a7c15
	return max(x^x>>29, 1)
}

// Guards against a request that is served outside its home regions.
func TestHomeRegionsAreRespected(t *testing.T) {
	is := is.New(t)
	b := &Balancer{opts: Options{Domain: "a", Region: "ra"}, shares: []share{
		{domain: "a", region: "ra", fraction: 0.2}, {domain: "b", region: "rb", fraction: 0.5}, {domain: "c", region: "rc", fraction: 0.3},
	}}
	place := func(homes ...string) string { return b.Choose(time.Now(), Request{HomeRegions: homes}).Domain }
	is.Equal(place("ra", "rb"), "")
	is.Equal(place("rc"), "c")
	is.Equal(place("rb", "rc"), "b")
	is.Equal(place("rx"), NoDomain)
}

// Guards against requests that leave, or return, all at once when the limit on shifts allows it again, because the shares count what it has prevented as
// a deficit.
func TestPreventedShiftIsNotMadeUpForLater(t *testing.T) {
	is := is.New(t)
	b := New(Options{Domain: "a", ShiftShare: 0.15, ShiftWindow: 2 * time.Second})
	b.shares = []share{{domain: "a", fraction: 0.5}, {domain: "b", fraction: 0.5}}
	now := time.Now()
	b.runs.advance(now)
	b.runs.before = runCount{here: 100, away: 100}
	b.runs.recent = runCount{here: 10, away: 100} // the region refuses most of what is to stay
	kept := 0
	for range 200 {
		choice := b.Choose(now, Request{})
		is.Equal(choice.Domain, "")
		if choice.Kept {
			kept++
		}
	}
	is.Equal(kept, 100)
	b.runs.recent = b.runs.before
	left := 0
	for range 100 {
		if b.Choose(now, Request{}).Domain == "b" {
			left++
		} else {
			b.CountRun(now)
		}
	}
	is.True(left >= 45)
	is.True(left <= 55)
}
