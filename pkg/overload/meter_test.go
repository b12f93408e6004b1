package overload

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// scriptedWaits is a histogram to which a test adds waits.
type scriptedWaits struct{ histogram }

func newScriptedWaits() *scriptedWaits {
	return &scriptedWaits{histogram{make([]uint64, 4), []float64{0, 0.001, 0.01, 0.1, math.Inf(1)}}}
}

// add adds n waits of at most 1 ms, 10 ms, 100 ms, or longer ones, by the index of their bucket.
func (s *scriptedWaits) add(bucket int, n uint64) { s.counts[bucket] += n }

func (s *scriptedWaits) read() histogram { return s.histogram }

// Guards against a host that doesn't notice that it is short of processor time, or takes a single long wait among short ones for it.
func TestProcessIsShortOfTimeWhileGoroutinesWait(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	waits := newScriptedWaits()
	waits.add(3, 1000) // before the start of the meter
	m := newMeter(waits.read, start)
	waits.add(0, 19)
	waits.add(2, 1)
	now := start.Add(minWindow)
	is.Equal(m.Wait(now), time.Millisecond)
	is.True(!m.ShortWithin(time.Minute, now))

	waits.add(0, 16)
	waits.add(2, 4)
	now = now.Add(minWindow)
	is.Equal(m.Wait(now), 100*time.Millisecond)
	is.True(m.ShortWithin(0, now))

	waits.add(0, 20)
	now = now.Add(minWindow)
	is.Equal(m.Wait(now), time.Millisecond)
	is.True(!m.ShortWithin(0, now))
	is.True(m.ShortWithin(minWindow, now))
}

// Guards against a judgement by a few waits, and against a shortage that never ends at a host that has nothing to do afterwards.
func TestFewWaitsSayNothing(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	waits := newScriptedWaits()
	m := newMeter(waits.read, start)
	waits.add(3, minWaits-1)
	is.Equal(m.Wait(start.Add(minWindow)), time.Duration(0))
	waits.add(3, 1)
	is.Equal(m.Wait(start.Add(2*minWindow)), 100*time.Millisecond)
	waits.add(3, 1)
	is.Equal(m.Wait(start.Add(3*minWindow)), 100*time.Millisecond)
	is.Equal(m.Wait(start.Add(2*minWindow+maxWindow)), time.Duration(0))
}

// Guards against a meter that no longer understands the runtime: the metric is missing, or its buckets have another form.
func TestMeterReadsTheRuntime(t *testing.T) {
	is := is.New(t)
	h := runtimeWaits()()
	is.True(len(h.counts) > 0)
	is.Equal(len(h.bounds), len(h.counts)+1)
}
