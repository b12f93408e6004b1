package permit

import "time"

const (
	// lateRetryAfter is the shortest retry hint for a request that can no longer meet its objective: an earlier retry would
	// probably find the service just as full.
	lateRetryAfter = 200 * time.Millisecond
)

// retryHint returns when a refused request may be retried: when the next slots are expected to be free if it can still meet its
// objective then, otherwise lateRetryAfter or later.
func (d *dispatcher) retryHint(w *waiter, now time.Time) time.Duration {
	_, total := d.slots.totals()
	next := d.meanHoldTime[w.class] * time.Duration(len(d.queue)+1) / time.Duration(max(1, total))
	best := d.model.Estimate(w.req.Route, w.req.ObjectHash != 0)
	if now.Add(withMargin(best) + next).Before(w.req.Objective) {
		return next
	}
	return max(next, lateRetryAfter)
}
