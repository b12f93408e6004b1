package steering

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// BenchmarkPlan plans over six failure domains in three regions with 40 targets.
func BenchmarkPlan(b *testing.B) {
	var objects []*configv1.Object
	headroom := fakeHeadroom{}
	for d := range 6 {
		domain := fmt.Sprintf("d%d", d)
		objects = append(objects, place(domain, fmt.Sprintf("r%d", d/2)))
		headroom[domain] = Headroom{FreeSlots: 3, TotalSlots: 24}
	}
	for i := range 40 {
		objects = append(objects, target(fmt.Sprintf("t%d", i), fmt.Sprintf("d%d", i%6)))
	}
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, objects))
	p := NewPlanner(store, headroom, "d0", "r0")
	rnd := rand.New(rand.NewPCG(1, 1))
	now := time.UnixMilli(0)
	b.ReportAllocs()
	for b.Loop() {
		p.Plan("s", now, rnd)
	}
}
