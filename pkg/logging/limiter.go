package logging

import (
	"sync"
	"time"
)

// Limiter bounds the lines of one kind to a number in each second, and counts the ones that are left out.
type Limiter struct {
	perSecond int

	mu         sync.Mutex
	window     time.Time
	used       int
	suppressed int
}

// NewLimiter returns a limiter.
func NewLimiter(perSecond int) *Limiter { return &Limiter{perSecond: perSecond} }

// Allow reports whether a line may be written, and how many were left out before it in earlier seconds.
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
