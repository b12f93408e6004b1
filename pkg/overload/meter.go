// Package overload finds out whether this process is short of processor time, by how long its goroutines wait for the processor. It needs
// no knowledge of the processor's speed, which may change while the process runs.
package overload

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minWindow and minWaits are the length of a window and the number of waits in it at least; a few waits say nothing about the others.
	minWindow = 50 * time.Millisecond
	minWaits  = 16
	// maxWindow ends a window with fewer waits. A process that does so little waits for nothing but its own garbage collection.
	maxWindow = time.Second
	// waitQuantile is the fraction of the waits that Wait covers. Most waits are short in any case: a goroutine that hands over to another
	// one of the same request leaves the processor to it.
	waitQuantile = 0.9
	// ShortWait is the wait for the processor from which a process is short of it. A call to another host takes about ten waits at both
	// ends, and ends after 500 ms (package watch) without an answer.
	ShortWait = 50 * time.Millisecond
)

// Meter measures how long goroutines wait for the processor. Its methods may be called at any time by any goroutine: a process that is short
// of processor time can't rely on a goroutine that measures regularly.
type Meter struct {
	read func() histogram
	// wait is the result of the last window, in nanoseconds; measuredAt is when that ended, and shortAt when the last window ended in which
	// the process was short of processor time, in nanoseconds since start.
	wait, measuredAt, shortAt atomic.Int64
	start                     time.Time

	mu       sync.Mutex
	previous []uint64
}

// NewMeter returns a meter of this process.
func NewMeter() *Meter { return newMeter(runtimeWaits(), time.Now()) }

func newMeter(read func() histogram, now time.Time) *Meter {
	m := &Meter{read: read, start: now}
	m.previous = append(m.previous, read().counts...)
	m.shortAt.Store(-1)
	return m
}

// Wait returns the time that nine of ten waits for the processor did not exceed in the last window. It ends a window that is long enough.
func (m *Meter) Wait(now time.Time) time.Duration {
	elapsed := now.Sub(m.start)
	if elapsed-time.Duration(m.measuredAt.Load()) >= minWindow && m.mu.TryLock() {
		defer m.mu.Unlock()
		m.measure(elapsed)
	}
	return time.Duration(m.wait.Load())
}

// measure ends the window if it has enough waits. m.mu must be held.
func (m *Meter) measure(elapsed time.Duration) {
	window := elapsed - time.Duration(m.measuredAt.Load())
	if window < minWindow {
		return // another goroutine has ended it
	}
	now := m.read()
	fresh, total := now.since(m.previous)
	if total < minWaits && window < maxWindow {
		return
	}
	wait := time.Duration(0)
	if total >= minWaits {
		wait = fresh.quantile(waitQuantile, total)
	}
	m.previous = append(m.previous[:0], now.counts...)
	m.wait.Store(int64(wait))
	m.measuredAt.Store(int64(elapsed))
	if wait >= ShortWait {
		m.shortAt.Store(int64(elapsed))
	}
}

// ShortWithin reports whether this process was short of processor time at some moment of the given time before now.
func (m *Meter) ShortWithin(before time.Duration, now time.Time) bool {
	m.Wait(now)
	at := m.shortAt.Load()
	return at >= 0 && now.Sub(m.start)-time.Duration(at) <= before
}
