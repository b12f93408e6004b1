package overload

import (
	"math"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// scriptedProcess is a process whose waits and ready goroutines a test sets.
type scriptedProcess struct {
	histogram
	ready int
}

const testMaxReady = 4

func newScriptedProcess(now time.Time) (*scriptedProcess, *Meter) {
	p := &scriptedProcess{histogram: histogram{make([]uint64, 4), []float64{0, 0.001, 0.01, 0.1, math.Inf(1)}}}
	p.add(3, 1000) // before the meter starts
	return p, newMeter(func() histogram { return p.histogram }, func() int { return p.ready }, testMaxReady, now)
}

// add adds n waits of at most 1 ms, 10 ms, 100 ms, or longer ones, by the index of their bucket.
func (p *scriptedProcess) add(bucket int, n uint64) { p.counts[bucket] += n }

// Guards against a host that doesn't notice that it is short of processor time, or takes a single long wait among short ones for it.
func TestProcessIsShortOfTimeWhileGoroutinesWait(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p, m := newScriptedProcess(now)
	p.add(0, 19)
	p.add(2, 1)
	now = now.Add(minWindow)
	is.Equal(m.Wait(now), time.Millisecond)
	is.True(!m.ShortageWithin(time.Minute, now))

	p.add(0, 16)
	p.add(2, 4)
	now = now.Add(minWindow)
	is.Equal(m.Wait(now), 100*time.Millisecond)
	is.True(m.ShortageWithin(0, now))

	p.add(0, 20)
	now = now.Add(minWindow)
	is.Equal(m.Wait(now), time.Millisecond)
	is.True(!m.ShortageWithin(0, now))
	is.True(m.ShortageWithin(minWindow, now))
}

// Guards against a judgement by a few waits, and against a shortage that never ends at a host that has nothing to do afterwards.
func TestFewWaitsSayNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	p, m := newScriptedProcess(start)
	p.add(3, minWaits-1)
	is.Equal(m.Wait(start.Add(minWindow)), time.Duration(0))
	p.add(3, 1)
	is.Equal(m.Wait(start.Add(2*minWindow)), 100*time.Millisecond)
	p.add(3, 1)
	is.Equal(m.Wait(start.Add(3*minWindow)), 100*time.Millisecond)
	is.Equal(m.Wait(start.Add(2*minWindow+maxWindow)), time.Duration(0))
}

// Guards against a host that refuses a burst of requests for which it has the time, that refuses none of those for which it has not, or that goes
// on refusing after it has caught up.
func TestProcessIsOverloadedWhileManyWaitForLong(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	p, m := newScriptedProcess(now)
	p.ready = 10 * testMaxReady
	p.add(0, 100)
	now = now.Add(minWindow)
	is.True(!m.Overloaded(now)) // many, but they wait for 1 ms
	is.True(!m.ShortageWithin(time.Minute, now))

	p.add(1, 100)
	now = now.Add(minWindow)
	is.True(m.Overloaded(now))
	is.True(m.ShortageWithin(0, now))
	p.ready = testMaxReady
	is.True(!m.Overloaded(now)) // caught up

	p.ready = 10 * testMaxReady
	p.add(0, 100)
	is.True(m.Overloaded(now.Add(bottleneckTime)))
	is.True(!m.Overloaded(now.Add(bottleneckTime + minWindow)))
}

// Guards against a meter that no longer understands the runtime: a metric is missing, or has another form.
func TestMeterReadsTheRuntime(t *testing.T) {
	is := is.New(t)
	h := runtimeWaits()()
	is.True(len(h.counts) > 0)
	is.Equal(len(h.bounds), len(h.counts)+1)
	is.True(runtimeReady()() >= 0)
	is.True(!NewMeter().Overloaded(time.Now()))
}

// Guards against a host whose goroutines really wait for the processor, while the runtime's metrics or their reading don't show it.
func TestWorkBeyondTheProcessorIsOverload(t *testing.T) {
	is := is.New(t)
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const (
		workers = 4 * maxReady
		turns   = 25
		turn    = time.Millisecond
	)
	m := NewMeter()
	var work conc.WaitGroup
	for range workers {
		work.Go(func() {
			for range turns {
				for start := time.Now(); time.Since(start) < turn; {
				}
				runtime.Gosched()
			}
		})
	}
	overloaded := false
	for range turns {
		overloaded = m.Overloaded(time.Now()) || overloaded
		runtime.Gosched() // until all workers had a turn
	}
	work.Wait()
	is.True(overloaded)
	is.True(m.Wait(time.Now()) >= bottleneckWait)
	is.True(!m.Overloaded(time.Now()))
}

// BenchmarkOverloaded measures what each request pays for the check.
func BenchmarkOverloaded(b *testing.B) {
	m := NewMeter()
	for b.Loop() {
		m.Overloaded(time.Now())
	}
}

// BenchmarkOverloadedAtTheBottleneck measures it while goroutines wait for long, so that the ready ones are counted.
func BenchmarkOverloadedAtTheBottleneck(b *testing.B) {
	m := NewMeter()
	for b.Loop() {
		m.bottleneckAt = time.Now()
		m.Overloaded(m.bottleneckAt)
	}
}
