package main

import (
	"math"
	"runtime"
	"syscall"
	"time"
)

// fixedSize is the size of a series whose quantity has a constant size: its points repeat the same measurement.
const fixedSize = "runs"

// point is one measurement of a series.
type point struct{ x, y float64 }

// series is a quantity measured at several sizes.
type series struct {
	name string
	// size names the quantity on the x axis, for example "hosts".
	size   string
	unit   string
	points []point
}

func (s *series) add(x int, y float64) { s.points = append(s.points, point{float64(x), y}) }

// exponent returns the slope of the least-squares line through the points on logarithmic axes.
func (s *series) exponent() float64 {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.points {
		x, y := math.Log(p.x), math.Log(math.Max(p.y, 1e-9))
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	return (n*sxy - sx*sy) / (n*sxx - sx*sx)
}

// line returns the slope and the intercept of the least-squares line through the points.
func (s *series) line() (slope, intercept float64) {
	var n, sx, sy, sxx, sxy float64
	for _, p := range s.points {
		n, sx, sy, sxx, sxy = n+1, sx+p.x, sy+p.y, sxx+p.x*p.x, sxy+p.x*p.y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// shape classifies the growth of the quantity by its exponent.
func (s *series) shape() string {
	switch e := s.exponent(); {
	case e < 0.15:
		return "constant"
	case e < 0.6:
		return "less than linear"
	case e < 1.3:
		return "linear"
	case e < 1.7:
		return "between linear and quadratic"
	}
	return "quadratic"
}

// cpuTime returns the CPU time of this process, including the garbage collector. Other processes on the machine affect it less
// than wall time.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerOp returns the CPU time of one operation in seconds: the least of three runs that take at least minimum each. run
// performs n operations.
func cpuPerOp(minimum time.Duration, run func(n int)) float64 {
	best := math.Inf(1)
	n := 1
	for round := 0; round < 3; {
		start := cpuTime()
		run(n)
		used := cpuTime() - start
		if used < minimum {
			n *= 2
			continue
		}
		best = math.Min(best, used.Seconds()/float64(n))
		round++
	}
	return best
}

// allocPerOp returns the mean number of bytes that run allocates in n calls.
func allocPerOp(n int, run func()) float64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range n {
		run()
	}
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / float64(n)
}

// liveHeapBytes returns the bytes of reachable heap objects, after garbage collections.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// liveHeapOf calls build and returns its result with the bytes of live heap that the result adds.
func liveHeapOf[T any](build func() T) (T, float64) {
	before := liveHeapBytes()
	v := build()
	bytes := liveHeapBytes() - before
	runtime.KeepAlive(v)
	return v, bytes
}
