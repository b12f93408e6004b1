package logging

import (
	"sync"
	"time"
)

// Limiter limits the rate of one kind of log lines with a fixed window of one second, and counts the suppressed lines.
type Limiter struct {
	perSecond int

	mu         sync.Mutex
	window     time.Time
	used       int
	suppressed int
}

// NewLimiter returns a limiter that allows perSecond lines in each window.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written at the given time. The first allowed line of a window also gets the number of
// lines that were suppressed in earlier windows.
func (l *Limiter) Allow(now time.Time) (ok bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.window) >= time.Second {
		l.window, l.used = now, 0
		suppressed, l.suppressed = l.suppressed, 0
	}
	if l.used >= l.perSecond {
		l.suppressed++
		return false, 0
	}
	l.used++
	return true, suppressed
}
