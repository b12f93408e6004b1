package daemon

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a percentage with which a small live heap grows beyond the target, and against one below the runtime's default
// when the live heap is close to or above the target.
func TestGCPercentKeepsHeapAtTarget(t *testing.T) {
	is := is.New(t)
	const mib, target = 1 << 20, 40 << 20
	for live := uint64(0); live < 200*mib; live += mib / 2 {
		percent := gcPercent(live, mib, target)
		is.True(percent >= minGCPercent && percent <= maxGCPercent)
		if percent > minGCPercent {
			is.True(live+(live+mib)*uint64(percent)/100 <= target)
		}
	}
	is.Equal(gcPercent(2*mib, mib, target), maxGCPercent)
	is.Equal(gcPercent(30*mib, mib, target), minGCPercent)
}
