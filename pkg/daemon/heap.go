package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

// A host's live heap is a few MiB, so that the runtime's default collects it many times a second. More than
// maxGCPercent saves nothing that is visible beyond the noise; minGCPercent is the runtime's default.
const (
	minGCPercent = 100
	maxGCPercent = 400
)

// heapTuner sets the garbage collection percentage after each collection, so that the heap grows to the target at most,
// but never by less than minGCPercent. A memory limit of the runtime would instead collect without pause once the live
// heap comes near it.
type heapTuner struct {
	// target is in bytes.
	target  uint64
	percent int
	stopped atomic.Bool
}

// gcSentinel is unreachable from the start, so its finalizer runs after the next collection.
type gcSentinel struct {
	tuner *heapTuner
}

// startHeapTuner returns nil if the environment sets the garbage collector.
func startHeapTuner(target uint64) *heapTuner {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return nil
	}
	t := &heapTuner{target: target, percent: minGCPercent}
	t.adjust()
	t.rearm()
	return t
}

func (t *heapTuner) rearm() {
	runtime.SetFinalizer(&gcSentinel{t}, func(m *gcSentinel) {
		if m.tuner.stopped.Load() {
			return
		}
		m.tuner.adjust()
		m.tuner.rearm()
	})
}

// stop keeps the present percentage from then on.
func (t *heapTuner) stop() {
	if t != nil {
		t.stopped.Store(true)
	}
}

// adjust sets the percentage for the present live heap. Setting it stops all goroutines for a moment, so small changes
// are left out.
func (t *heapTuner) adjust() {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
	}
	metrics.Read(samples)
	next := gcPercent(samples[0].Value.Uint64(), samples[1].Value.Uint64()+samples[2].Value.Uint64(), t.target)
	if next == t.percent || next > t.percent && next < t.percent+t.percent/10 && next != maxGCPercent {
		return
	}
	t.percent = next
	debug.SetGCPercent(next)
}

// gcPercent returns the percentage at which the next collection starts when the heap reaches target. The runtime adds that
// part of live heap and roots (stacks and globals) to the live heap; all sizes are in bytes.
func gcPercent(live, roots, target uint64) int {
	if live >= target {
		return minGCPercent
	}
	percent := (target - live) * 100 / max(live+roots, 1)
	return int(min(max(percent, minGCPercent), maxGCPercent))
}
