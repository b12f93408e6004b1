package permit

import (
	"testing"
	"time"
)

// BenchmarkAbandonedRuns measures the memory of as many abandoned runs as a dispatcher remembers, and what an answer costs then.
func BenchmarkAbandonedRuns(b *testing.B) {
	now := time.Now()
	fill := func() abandonedRuns {
		a, t := newAbandonedRuns(), &target{}
		for i := range uint64(maxAbandonedRuns) {
			a.add(i+1, abandonedRun{target: t, started: now, until: now.Add(time.Second)})
		}
		return a
	}
	b.Run("fill", func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			fill()
		}
	})
	b.Run("answered", func(b *testing.B) {
		a := fill()
		for i := range b.N {
			a.answered(uint64(i) | 1<<40)
		}
	})
}
