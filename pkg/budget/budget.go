// Package budget is a distributed rate limiter. It enforces the caps on requests that are shifted between regions and on the
// bandwidth of links between regions.
//
// A cap is split among the failure domains of the sending region. In each domain one host, the holder, manages the domain's
// share and grants slices of it: a slice permits an amount to be used within a short interval. The holder spaces the
// intervals so that the amounts used in any window [t, t+1 s) stay within the cap. A holder that has exhausted its share
// borrows slices from the holders of the region's other failure domains.
package budget

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Unit is the unit in which the amounts of a cap are counted.
type Unit int

// UnitRequests counts whole requests; UnitMegabits counts megabits of responses.
const (
	UnitRequests Unit = iota
	UnitMegabits
)

// Cap is a limit on what one region may send per second.
type Cap struct {
	Name       string
	FromRegion string
	Unit       Unit
	// Rate is in units per second.
	Rate float64
	// Domains are the failure domains of the sending region, sorted.
	Domains []string
}

// ErrExpired reports that the interval of a slice has passed. The caller of Take must not send anything for it.
var ErrExpired = errors.New("budget slice expired")

// RefusedError reports that no slice was granted, because the cap has no budget left or the holder cannot grant yet.
type RefusedError struct {
	Cap string
	// RetryAfter is the time after which a retry can succeed.
	RetryAfter time.Duration
	Reason     string
	// NotReady is set if the holder cannot grant yet, regardless of how much budget is left.
	NotReady bool
}

// Error implements error. The text has the cap, the reason and the time to retry after.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("no budget under cap %s: %s, retry after %s", e.Cap, e.Reason, e.RetryAfter)
}

// Lease is a slice as seen by the host that uses it: the right to send during an interval of the host's monotonic clock.
type Lease struct {
	start   time.Time
	expires time.Time
}

// Check returns ErrExpired outside the lease's interval. Call it immediately before sending: it reads the monotonic clock
// again, so that a host that was paused after Take does not send.
func (l *Lease) Check() error {
	now := time.Now()
	if now.Before(l.start) || !now.Before(l.expires) {
		return errors.WithStack(ErrExpired)
	}
	return nil
}
