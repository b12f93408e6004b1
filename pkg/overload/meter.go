// Package overload finds out whether this process is short of processor time, by how long its goroutines wait for the processor. It needs
// no knowledge of the processor's speed, which may change while the process runs.
package overload

import (
	"runtime"
	"sync"
	"time"
)

const (
	// minWindow and minWaits are the length of a window and the number of waits in it at least; a few waits say nothing about the others.
	minWindow = 50 * time.Millisecond
	minWaits  = 16
	// maxWindow ends a window with fewer waits. A process that does so little waits for nothing but its own garbage collection.
	maxWindow = time.Second
	// waitQuantile is the fraction of the waits that a window is judged by. Most waits are short in any case: a goroutine that hands over to
	// another one of the same request leaves the processor to it.
	waitQuantile = 0.9
	// bottleneckWait is the wait from which the processor is the bottleneck. A request waits about ten times, so that callers notice longer ones.
	bottleneckWait = 10 * time.Millisecond
	// shortageWait is the wait from which a process is short of processor time even if it refuses nothing. A call to another host takes about
	// ten waits at both ends, and ends without an answer after 500 ms (package watch).
	shortageWait = 50 * time.Millisecond
	// maxReady is the number of goroutines for each processor that may wait for it while it is the bottleneck. A host with a quarter of a
	// processor needs 10 to 20 ms for them, so that a request waits for about as long at each step as callers begin to notice.
	maxReady = 32
	// bottleneckTime is for how long after a long wait the processor counts as the bottleneck. While requests are refused the waits are short,
	// and the callers of these requests come again within about that time.
	bottleneckTime = time.Second
)

// Meter measures how long goroutines wait for the processor. Its methods may be called by any goroutine: a process that is short of processor
// time can't rely on a goroutine that measures regularly.
type Meter struct {
	readWaits func() histogram
	readReady func() int
	maxReady  int

	mu       sync.Mutex
	previous []uint64
	// windowStart is when the current window began, and wait the wait in the last one.
	windowStart time.Time
	wait        time.Duration
	// bottleneckAt is when the last window with a long wait ended, and shortageAt when this process was last short of processor time.
	bottleneckAt, shortageAt time.Time
}

// NewMeter returns a meter of this process.
func NewMeter() *Meter {
	return newMeter(runtimeWaits(), runtimeReady(), maxReady*runtime.GOMAXPROCS(0), time.Now())
}

func newMeter(readWaits func() histogram, readReady func() int, maxReady int, now time.Time) *Meter {
	return &Meter{
		readWaits: readWaits, readReady: readReady, maxReady: maxReady, windowStart: now,
		previous: append([]uint64(nil), readWaits().counts...),
	}
}

// Wait returns the time that nine of ten waits for the processor did not exceed in the last window.
func (m *Meter) Wait(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measure(now)
	return m.wait
}

// Overloaded reports whether this process has more work than processor time at this moment, so that it should begin nothing that it can
// refuse. The number of goroutines that are ready shows at once when work piles up and when it is done; that they wait for long, and are not just
// many, shows a moment later.
func (m *Meter) Overloaded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measure(now)
	overloaded := within(bottleneckTime, m.bottleneckAt, now) && m.readReady() > m.maxReady
	if overloaded {
		m.shortageAt = now
	}
	return overloaded
}

// ShortageWithin reports whether this process was overloaded, or its goroutines waited for very long, at some moment of the given time before now.
func (m *Meter) ShortageWithin(before time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.measure(now)
	return within(before, m.shortageAt, now)
}

// measure ends the window if it is long enough and has enough waits. m.mu must be held.
func (m *Meter) measure(now time.Time) {
	length := now.Sub(m.windowStart)
	if length < minWindow {
		return
	}
	waits := m.readWaits()
	fresh, total := waits.since(m.previous)
	if total < minWaits && length < maxWindow {
		return
	}
	m.wait = 0
	if total >= minWaits {
		m.wait = fresh.quantile(waitQuantile, total)
	}
	if m.wait >= bottleneckWait {
		m.bottleneckAt = now
	}
	if m.wait >= shortageWait {
		m.shortageAt = now
	}
	m.previous = append(m.previous[:0], waits.counts...)
	m.windowStart = now
}

// within reports whether a moment, unless it is zero, was in the given time before now.
func within(before time.Duration, at, now time.Time) bool {
	return !at.IsZero() && now.Sub(at) <= before
}
