package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Work and the time that is left for it.
//
// A request that has less time left than almost all requests of its route need is refused at once, even if slots are free: it would occupy
// a slot and end without an answer. A request that waits is refused once it has less time left than half of them need: it would then more
// probably fail than not, while others wait for the same slots. A route whose requests are all refused gets no new estimate, so that one
// request is let through as a trial now and then.

const (
	// firstTrialInterval is the time from the first refusal of a route's requests to the first trial. A trial that is complete in time ends
	// the refusals: the estimate of the route starts anew.
	firstTrialInterval = 250 * time.Millisecond
	// maxTrialInterval bounds the time between two trials, which doubles with each trial that was cut off: a caller whose route has
	// become fast again is refused for that long at most.
	maxTrialInterval = 8 * time.Second
	// deadlineErrorDivisor sets how long before its deadline an error of a target counts as caused by it: the time given, divided by this. It
	// covers the network and the rounding of the deadline.
	deadlineErrorDivisor = 10
)

// inTimeAfterWait is the part of the requests that must still be complete in time after the expected wait, of those that would be without it.
const inTimeAfterWait = 0.9

// trials schedules the trials of one route.
type trials struct {
	next     time.Time
	interval time.Duration
}

// admitTimeLeft returns the refusal of a request that has too little time left, or nil if it has enough or is a trial.
func (d *dispatcher) admitTimeLeft(w *waiter, now time.Time) *RefusedError {
	if !now.Add(d.work.Least(w.req.Route)).After(w.deadline) {
		return nil
	}
	t := d.trialsOf(w.req.Route, now)
	if free, _ := d.slots.capacity(w.class); free > 0 && !now.Before(t.next) {
		t.next, t.interval = now.Add(t.interval), min(2*t.interval, maxTrialInterval)
		w.trial = true
		return nil
	}
	return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, t.next.Sub(now))
}

// trialsOf returns the schedule of a route's trials, which begins with the first refusal.
func (d *dispatcher) trialsOf(route string, now time.Time) *trials {
	t := d.routeTrials[route]
	if t == nil {
		if len(d.routeTrials) >= maxRoutes {
			clear(d.routeTrials)
		}
		t = &trials{next: now.Add(firstTrialInterval), interval: firstTrialInterval}
		d.routeTrials[route] = t
	}
	return t
}

// latestStart returns the time at which a waiting request is refused, because it can probably not complete by its deadline.
func (d *dispatcher) latestStart(w *waiter) time.Time {
	if w.trial {
		return w.deadline
	}
	return w.deadline.Add(-d.work.Median(w.req.Route))
}

// observeWork updates the estimate of a route's work after a request that was complete, or was cut off while its target was at work.
func (d *dispatcher) observeWork(p *permit, o Observation) {
	given := p.expires.Add(-expiryGrace).Sub(p.granted)
	switch {
	case o.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK:
		if p.trial {
			d.work.Forget(p.route)
			delete(d.routeTrials, p.route)
		}
		d.work.Observe(p.route, o.Total)
	case endedAtDeadline(o, given):
		d.work.ObserveCut(p.route, given)
	case o.Abandoned:
		d.work.ObserveCut(p.route, o.Total)
	}
}

// endedAtDeadline reports whether a request ended without its response because the time that it was given was over. A target knows the
// deadline, and answers with an error just before it.
func endedAtDeadline(o Observation, given time.Duration) bool {
	failed := o.Abandoned || o.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
	return failed && o.Total > given-given/deadlineErrorDivisor
}
