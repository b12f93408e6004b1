package permit

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
)

func fractionOf(shares []share, domain string) float64 { return shareOf(shares, domain).fraction }

func almostEqual(a, b float64) bool { return math.Abs(a-b) < 0.005 }

// Guards against a region with few slots that refuses its callers while others have room, against a full one that takes
// more, and against requests that move although there is no need.
func TestRegionsAreEquallyLoaded(t *testing.T) {
	is := is.New(t)
	load := func(domain string, slots, demand float64) DomainLoad {
		return DomainLoad{Domain: domain, Slots: slots, Demand: demand}
	}
	small := balancedShares("a", []DomainLoad{load("a", 10, 30), load("b", 40, 30), load("c", 40, 30)})
	is.True(almostEqual(fractionOf(small, "a"), 1.0/3)) // 10 of its 30, as the others have 40 for 40
	is.True(almostEqual(fractionOf(small, "b"), fractionOf(small, "c")))
	big := balancedShares("b", []DomainLoad{load("a", 10, 30), load("b", 40, 30), load("c", 40, 30)})
	is.True(almostEqual(fractionOf(big, "b"), 1))
	idle := balancedShares("a", []DomainLoad{load("a", 10, 5), load("b", 40, 30)})
	is.True(almostEqual(fractionOf(idle, "a"), 1))
	over := balancedShares("a", []DomainLoad{load("a", 10, 60), load("b", 40, 60)})
	is.True(almostEqual(fractionOf(over, "a"), 24.0/60)) // both regions get 2.4 times what they can serve
	none := balancedShares("a", []DomainLoad{load("a", 0, 10), load("b", 40, 10)})
	is.True(almostEqual(fractionOf(none, "b"), 1))
	alone := balancedShares("a", []DomainLoad{load("a", 10, 60)})
	is.True(almostEqual(fractionOf(alone, "a"), 1))
	unknown := balancedShares("a", []DomainLoad{load("a", 10, 0), load("b", 30, 0)})
	is.True(almostEqual(fractionOf(unknown, "a"), 0.5)) // equal demand: 10 of 20
}

// Guards against a shift between regions that is faster than its limit, whatever the demand does.
func TestSharesChangeSlowly(t *testing.T) {
	is := is.New(t)
	from := []share{{domain: "a", fraction: 1}, {domain: "b"}, {domain: "c"}}
	to := []share{{domain: "a", fraction: 0.2}, {domain: "b", fraction: 0.5}, {domain: "c", fraction: 0.3}}
	const most = 0.01
	for range 200 {
		next := limitShift(from, to, most)
		moved, sum := 0.0, 0.0
		for _, s := range next {
			moved += max(0, s.fraction-fractionOf(from, s.domain))
			sum += s.fraction
		}
		is.True(moved <= most+1e-9)
		is.True(almostEqual(sum, 1))
		from = next
	}
	is.True(almostEqual(fractionOf(from, "a"), 0.2))
	gone := limitShift(from, []share{{domain: "a", fraction: 0.4}, {domain: "b", fraction: 0.6}}, most)
	is.True(almostEqual(fractionOf(gone, "a")+fractionOf(gone, "b"), 1)) // a domain that is gone gets nothing at once
}

// balancerFixture runs the balance of a dispatcher with 9 slots of its own.
type balancerFixture struct {
	*balancer
	d      *dispatcher
	now    time.Time
	others []DomainLoad
}

func newBalancerFixture() *balancerFixture {
	b := &balancerFixture{balancer: &balancer{ownDomain: "a"}, now: time.Now()}
	m := &Manager{opts: Options{
		ShiftShare: 0.05, ShiftWindow: 2 * time.Second, DomainLoads: func(string) []DomainLoad { return slices.Clone(b.others) },
	}}
	b.d = &dispatcher{manager: m, service: "s", slots: newSlotTable(), snap: &config.Snapshot{}}
	b.setSlots(9)
	return b
}

func (b *balancerFixture) setSlots(n int) {
	own := b.d.slots.target("t")
	own.slots, own.closed = n, false
}

// step lets requests arrive for one interval.
func (b *balancerFixture) step(arrivals int) {
	b.now = b.now.Add(balanceInterval)
	b.arrivals = arrivals
	b.update(b.d, b.now)
}

// Guards against a dispatcher that keeps to its few own slots for a long time after it took over, because it hears of the other
// failure domains after its first requests: it may then move them at once, and slowly only afterwards.
func TestNewDispatcherMovesSharesAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBalancerFixture()
	started := b.now
	b.step(0)
	b.step(20)
	is.True(almostEqual(fractionOf(b.shares, "a"), 1)) // alone
	b.others = []DomainLoad{{Domain: "b", Slots: 91, Demand: 50}}
	b.step(20)
	is.True(fractionOf(b.shares, "a") < 0.25) // 9 of 100 slots, and a demand that is taken to be that of b
	b.d.meanHoldTime[classShort] = 250 * time.Millisecond
	b.step(20)
	is.True(fractionOf(b.shares, "a") < 0.25)
	for b.now.Sub(started) < 2*unlimitedShiftPeriod {
		b.step(20)
	}
	before := fractionOf(b.shares, "a")
	b.others = []DomainLoad{{Domain: "b", Slots: 91, Demand: 500}}
	b.step(20)
	is.True(fractionOf(b.shares, "a")-before < 0.0026) // a twentieth in 2 s
}

// Guards against a region that refuses its callers for half a minute after a zone with most of its slots was evacuated or lost,
// though others have room; and against a fast way back when the slots return, to targets that remember nothing.
func TestLostSlotsMoveSharesAtOnce(t *testing.T) {
	is := is.New(t)
	b := newBalancerFixture()
	b.setSlots(36)
	b.others = []DomainLoad{{Domain: "b", Slots: 72, Demand: 20}}
	b.d.meanHoldTime[classShort] = 150 * time.Millisecond
	settle := func() {
		for range int(30 * time.Second / balanceInterval) {
			b.step(20)
		}
	}
	settle()
	is.True(almostEqual(fractionOf(b.shares, "a"), 1)) // 30 of 36 slots
	b.setSlots(9)
	b.step(20)
	is.True(fractionOf(b.shares, "a") < 0.35)
	settle()
	low := fractionOf(b.shares, "a")
	b.setSlots(36)
	b.step(20)
	is.True(fractionOf(b.shares, "a")-low < 0.0026)
}

// Guards against requests that leave a region at once, and come back slowly, because its dispatcher was replaced and did not report
// for a second; a region whose targets are lost reports its demand.
func TestMissingReportIsNoLoss(t *testing.T) {
	is := is.New(t)
	b := newBalancerFixture()
	b.others = []DomainLoad{{Domain: "b", Slots: 91, Demand: 20}}
	b.d.meanHoldTime[classShort] = 150 * time.Millisecond
	for range int(30 * time.Second / balanceInterval) {
		b.step(20)
	}
	before := fractionOf(b.shares, "b")
	is.True(before > 0.6)
	reported := b.others
	b.others = []DomainLoad{{Domain: "b"}}
	b.step(20)
	is.True(before-fractionOf(b.shares, "b") < 0.0026) // a twentieth in 2 s
	b.others = reported
	b.step(20)
	is.True(almostEqual(fractionOf(b.shares, "b"), before))
	b.others = []DomainLoad{{Domain: "b", Demand: 20}}
	b.step(20)
	is.Equal(fractionOf(b.shares, "b"), 0.0)
}

// Guards against objects that wander between regions, and against shares that do not hold within a few requests because few
// objects are popular.
func TestObjectsStayInTheirRegion(t *testing.T) {
	is := is.New(t)
	b := &balancer{ownDomain: "a", shares: []share{{domain: "a", fraction: 0.4}, {domain: "b", fraction: 0.35}, {domain: "c", fraction: 0.25}}}
	const requests, objects = 4000, 80
	counts := map[string]float64{}
	places := map[int]map[string]int{}
	for i := range requests {
		object := i * 7 % objects
		s := b.pickShare(objectHash(object))
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
	is.True(float64(most)/requests > 0.8) // of the requests on an object are served in one region
}

func objectHash(object int) uint64 {
	var t target
	t.nameHash = uint64(object) * 0xff51afd7ed558ccd
	return max(t.rendezvousWeight(uint64(object)), 1)
}

// Guards against a request that leaves its home regions.
func TestHomeRegionsAreRespected(t *testing.T) {
	is := is.New(t)
	b := &balancer{ownDomain: "a", region: "ra", shares: []share{
		{domain: "a", region: "ra", fraction: 0.2}, {domain: "b", region: "rb", fraction: 0.5}, {domain: "c", region: "rc", fraction: 0.3},
	}}
	place := func(homes ...string) string { return b.chooseHomeDomain(&waiter{req: Request{HomeRegions: homes}}) }
	is.Equal(place("ra", "rb"), "")
	is.Equal(place("rc"), "c")
	is.Equal(place("rb", "rc"), "b")
	is.Equal(place("rx"), noDomain)
}

// Guards against a target that is taken to remember an object that many others have replaced.
func TestRecentObjectsRank(t *testing.T) {
	is := is.New(t)
	var r recentObjects
	for i := range uint64(trackedObjects + 10) {
		r = r.touch(i + 1)
	}
	is.Equal(len(r), trackedObjects)
	is.Equal(r.rank(trackedObjects+10), 0)
	is.Equal(r.rank(trackedObjects+9), 1)
	is.Equal(r.rank(1), trackedObjects)
	r = r.touch(trackedObjects + 1)
	is.Equal(r.rank(trackedObjects+1), 0)
	is.Equal(r.rank(trackedObjects+10), 1)
	is.Equal(len(r), trackedObjects)
	seen := map[string]bool{}
	for _, o := range r {
		seen[fmt.Sprint(o)] = true
	}
	is.Equal(len(seen), trackedObjects)
}
