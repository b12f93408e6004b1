package permit

import "time"

const (
	// refusalTTL is how long the refusal of a request keeps slots reserved from less urgent requests of its service.
	refusalTTL = 2 * time.Second
	// lateRetryAfter is the shortest retry hint for a request that can no longer meet its objective: an earlier retry would
	// probably find the service just as full.
	lateRetryAfter = 200 * time.Millisecond
)

// retryHint returns when a refused request may be retried: when the next slots are expected to be free if it can still meet its
// objective then, otherwise lateRetryAfter or later.
func (d *dispatcher) retryHint(w *waiter, now time.Time) time.Duration {
	_, total := d.slots.totals()
	next := d.meanHoldTime[w.class] * time.Duration(len(d.objectiveWaiters)+1) / time.Duration(max(1, total))
	best := d.model.Estimate(w.req.Route, w.req.ObjectHash != 0)
	if now.Add(withMargin(best) + next).Before(w.req.Objective) {
		return next
	}
	return max(next, lateRetryAfter)
}

// recentRefusals holds the last refusal of a service's requests by priority. Slots are reserved from less urgent requests only
// after a more urgent one was refused: a permanent reserve would leave slots unused while there are few urgent requests.
type recentRefusals struct {
	// refusedAt is the time of the last refusal for lack of a slot, by priority.
	refusedAt map[uint32]time.Time
}

func (r *recentRefusals) record(priority uint32, now time.Time) {
	if len(r.refusedAt) > maxRoutes {
		clear(r.refusedAt)
	}
	r.refusedAt[priority] = now
}

// anyMoreUrgent reports whether a request of the service with a higher urgency (a lower priority number) was refused within
// refusalTTL.
func (r *recentRefusals) anyMoreUrgent(priority uint32, now time.Time) bool {
	for p, at := range r.refusedAt {
		if p < priority && now.Sub(at) < refusalTTL {
			return true
		}
	}
	return false
}
