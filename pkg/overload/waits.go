package overload

import (
	"math"
	"runtime/metrics"
	"time"
)

// Metrics of the runtime.
const (
	// schedulingLatencies is the time for which goroutines were ready to run before they ran.
	schedulingLatencies = "/sched/latencies:seconds"
	// readyGoroutines is the number of goroutines that are ready to run and do not run.
	readyGoroutines = "/sched/goroutines/runnable:goroutines"
)

// histogram counts the waits of goroutines for the processor since the start of the process.
type histogram struct {
	// counts holds the number of waits in each bucket, bounds the bounds of the buckets in seconds.
	counts []uint64
	bounds []float64
}

// runtimeWaits returns a function that reads the histogram of the runtime. What it returns is valid until its next call.
func runtimeWaits() func() histogram {
	samples := []metrics.Sample{{Name: schedulingLatencies}}
	return func() histogram {
		metrics.Read(samples)
		h := samples[0].Value.Float64Histogram()
		return histogram{h.Counts, h.Buckets}
	}
}

// runtimeReady returns a function that reads the number of goroutines that wait for the processor.
func runtimeReady() func() int {
	return func() int {
		sample := [1]metrics.Sample{{Name: readyGoroutines}}
		metrics.Read(sample[:])
		return int(sample[0].Value.Uint64())
	}
}

// since returns the waits of h that are not in an earlier histogram, and their number.
func (h histogram) since(earlier []uint64) (fresh histogram, total uint64) {
	fresh = histogram{make([]uint64, len(h.counts)), h.bounds}
	for i, n := range h.counts {
		if i < len(earlier) {
			n -= earlier[i]
		}
		fresh.counts[i] = n
		total += n
	}
	return fresh, total
}

// quantile returns the upper bound of the bucket below which the fraction q of the waits is, or 0 without any wait.
func (h histogram) quantile(q float64, total uint64) time.Duration {
	rank := uint64(math.Ceil(q * float64(total)))
	if rank == 0 {
		return 0
	}
	for i, n := range h.counts {
		if n >= rank {
			return seconds(h.upperBound(i))
		}
		rank -= n
	}
	return 0
}

// upperBound returns the upper bound of a bucket, or the lower one of the last bucket, which has no upper one.
func (h histogram) upperBound(bucket int) float64 {
	if upper := h.bounds[bucket+1]; !math.IsInf(upper, 1) {
		return upper
	}
	return h.bounds[bucket]
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
