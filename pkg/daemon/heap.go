package daemon

import (
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

// Bounds of the garbage collection percentage. A host's live heap is a few MiB, which the runtime's default of minGCPercent
// collects many times a second. Percentages above maxGCPercent give no measurable saving.
const (
	minGCPercent = 100
	maxGCPercent = 400
)

// memoryLimitPercent is the part of the memory of this host, in percent, near which garbage is collected more often. What is held stays below half of
// it, so that collections still find garbage. The rest is for the program and for memory that the runtime does not count.
const memoryLimitPercent = 75

// limitMemory makes the runtime collect garbage before the process exceeds its memory, in bytes, unless GOMEMLIMIT is set in the environment.
func limitMemory(memory int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memory / 100 * memoryLimitPercent)
	}
}

// heapTuner adjusts the garbage collection percentage after each collection, so that the next one starts when the heap reaches
// the target size. The percentage is never below minGCPercent, so the heap may exceed the target. A memory limit (GOMEMLIMIT)
// does not serve this purpose: the runtime collects continuously when the live heap is close to the limit.
type heapTuner struct {
	// target is the heap size in bytes at which the next collection should start.
	target  uint64
	percent int
	stopped atomic.Bool
}

// gcSentinel is an object without references, so its finalizer runs after the next collection.
type gcSentinel struct {
	tuner *heapTuner
}

// startHeapTuner returns a running tuner with a target in bytes, or nil if GOGC or GOMEMLIMIT is set in the environment.
func startHeapTuner(target uint64) *heapTuner {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return nil
	}
	t := &heapTuner{target: target, percent: minGCPercent}
	t.adjust()
	t.rearm()
	return t
}

// rearm creates a sentinel whose finalizer adjusts the percentage after the next collection and calls rearm again.
func (t *heapTuner) rearm() {
	runtime.SetFinalizer(&gcSentinel{t}, func(m *gcSentinel) {
		if m.tuner.stopped.Load() {
			return
		}
		m.tuner.adjust()
		m.tuner.rearm()
	})
}

// stop ends the adjustments; the current percentage stays in effect.
func (t *heapTuner) stop() {
	if t != nil {
		t.stopped.Store(true)
	}
}

// adjust sets the percentage for the current live heap. Setting it stops the world, so increases by less than a tenth are
// skipped unless they reach maxGCPercent.
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

// gcPercent returns the percentage with which the next collection starts when the heap reaches target, within minGCPercent and
// maxGCPercent. The runtime starts a collection at live + (live + roots) * percent / 100, where roots are stacks and globals.
// All sizes are in bytes.
func gcPercent(live, roots, target uint64) int {
	if live >= target {
		return minGCPercent
	}
	percent := (target - live) * 100 / max(live+roots, 1)
	return int(min(max(percent, minGCPercent), maxGCPercent))
}
