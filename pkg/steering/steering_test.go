package steering

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

type fakeHeadroom map[string]Headroom

func (f fakeHeadroom) Headroom(domain, _ string) (Headroom, bool) {
	h, ok := f[domain]
	return h, ok
}

func place(name, region string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Place{Place: &configv1.Place{Name: name, Region: region}}}
}

func target(name, domain string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: name, Service: "s", FailureDomain: domain, Slots: 4,
	}}}
}

func testStore(extra ...*configv1.Object) *config.Store {
	objects := []*configv1.Object{
		place("a1", "a"), place("a2", "a"), place("b1", "b"), place("c1", "c"),
		target("t1", "a1"), target("t2", "a2"), target("t3", "b1"), target("t4", "c1"),
	}
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, append(objects, extra...)))
	return store
}

func countFirstCandidates(p *Planner, now time.Time) map[string]int {
	rng := rand.New(rand.NewPCG(1, 2))
	counts := map[string]int{}
	for range 1000 {
		counts[p.Plan("s", now, rng)[0].FailureDomain]++
	}
	return counts
}

func TestPlanFirstCandidate(t *testing.T) {
	start := time.UnixMilli(1_000_000)
	move := &configv1.Object{Kind: &configv1.Object_Move{Move: &configv1.Move{
		Name: "m", Service: "s", FromRegion: "a", ToRegion: "b", Percent: 40, RampSeconds: 10,
		StartedUnixMs: start.UnixMilli(),
	}}}
	drain := &configv1.Object{Kind: &configv1.Object_Drain{Drain: &configv1.Drain{
		Name: "d", Subject: &configv1.Drain_FailureDomain{FailureDomain: "a1"}, StartedUnixMs: start.UnixMilli(),
	}}}
	policy := &configv1.Object{Kind: &configv1.Object_Policy{Policy: &configv1.Policy{
		Name: "p", Service: "s", OverflowRegions: []string{"c"},
	}}}
	full := Headroom{TotalSlots: 4, QueueDelay: 150 * time.Millisecond}
	free := Headroom{FreeSlots: 2, TotalSlots: 4}
	tests := []struct {
		name     string // failure that the case guards against
		extra    []*configv1.Object
		headroom fakeHeadroom
		now      time.Time
		domain   string
		min, max int // bounds on the number of plans, out of 1,000, that start with domain
	}{
		{"local work leaves its domain without cause", nil, fakeHeadroom{"a1": free}, start, "a1", 1000, 1000},
		{"a full domain keeps work that its sibling could take", nil, fakeHeadroom{"a1": full, "a2": free}, start, "a2", 450, 550},
		{"a full domain sends away all its work at once", nil, fakeHeadroom{"a1": full, "a2": free}, start, "a1", 450, 550},
		{"a full region keeps work that another region could take", nil, fakeHeadroom{"a1": full, "a2": full, "b1": free}, start, "b1", 1000, 1000},
		{"overflow goes to a region that the policy does not list", []*configv1.Object{policy}, fakeHeadroom{"a1": full, "a2": full, "b1": free, "c1": free}, start, "c1", 1000, 1000},
		{"overflow without known room leaves the region", nil, fakeHeadroom{"a1": full, "a2": full}, start, "a1", 1000, 1000},
		{"a move ignores its ramp", []*configv1.Object{move}, fakeHeadroom{}, start.Add(5 * time.Second), "b1", 150, 250},
		{"a move ends short of its share", []*configv1.Object{move}, fakeHeadroom{}, start.Add(time.Minute), "b1", 350, 450},
		{"a drained domain gets new work", []*configv1.Object{drain}, fakeHeadroom{"a1": free}, start, "a2", 1000, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPlanner(testStore(tt.extra...), tt.headroom, "a1", "a")
			got := countFirstCandidates(p, tt.now)[tt.domain]
			is.True(got >= tt.min && got <= tt.max) // number of plans that start with the domain is out of bounds
		})
	}
}

// Guards against candidates in other regions without Shifted set: requests to them would bypass the cap on shifts.
func TestPlanMarksShiftedCandidates(t *testing.T) {
	is := is.New(t)
	p := NewPlanner(testStore(), fakeHeadroom{}, "a1", "a")
	for _, c := range p.Plan("s", time.UnixMilli(0), rand.New(rand.NewPCG(1, 1))) {
		is.Equal(c.Shifted, c.Region != "a")
	}
}
