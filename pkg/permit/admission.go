package permit

import (
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// apply admits the waiter: it is granted a slot, queued, or refused at once.
func (w *waiter) apply(d *dispatcher, now time.Time) {
	if d.id.olderThan(w.newest) {
		d.supersede(w.newest)
	}
	w.class = d.classifier.classOf(w.req.Class, w.req.Route)
	if !w.req.Objective.IsZero() {
		w.applyObjective(d, now)
		return
	}
	if r := d.admit(w, now); r != nil {
		w.result <- answer{refusal: r}
		return
	}
	d.earnRetryTokens(w)
	d.lastSequence++
	w.sequence = d.lastSequence
	d.queues[queueOf(w.class, w.req.Forwarded)].push(w)
}

// admit returns why a request is refused on arrival, or nil.
func (d *dispatcher) admit(w *waiter, now time.Time) *RefusedError {
	switch {
	case d.superseded || !d.ensureFollower(w.from):
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)
	case !d.hasUsableTarget(w, now):
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter)
	case d.waitingCount(w.class) >= maxQueue:
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, d.queueDelay(w.class, maxQueue))
	}
	if r := d.admitAttempt(w, now); r != nil {
		return r
	}
	if w.req.Hedge {
		return d.admitHedge(w, now)
	}
	delay := d.queueDelay(w.class, d.waitersAhead(w))
	if now.Add(delay + d.minServiceTime(w.class)).After(w.deadline) {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, delay)
	}
	return nil
}

// hasUsableTarget reports whether a target takes the request, whether or not a slot is free.
func (d *dispatcher) hasUsableTarget(w *waiter, now time.Time) bool {
	return slices.ContainsFunc(d.slots.order, func(t *target) bool {
		return !t.closed && !slices.Contains(w.req.ExcludeTargets, t.name) && (!t.quality.down || d.canProbe(t, w, now))
	})
}

// ensureFollower reports whether a host can be asked for its permits, and starts to do so if it has not answered yet.
func (d *dispatcher) ensureFollower(from holder) bool {
	f := d.followers[from.host]
	if f == nil || f.holder.incarnation < from.incarnation {
		d.recoverHosts()
		f = d.followers[from.host]
	}
	return f != nil && f.holder == from
}

func newRefusal(reason peerv1.RefusalReason, retryAfter time.Duration) *RefusedError {
	if reason != peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	return &RefusedError{Reason: reason, RetryAfter: retryAfter}
}

// refuseOverdue refuses waiters that can no longer finish in time. Each queue is in order of deadline, so only its front is due.
func (d *dispatcher) refuseOverdue(now time.Time) {
	for i := range d.queues {
		q := &d.queues[i]
		for q.len() > 0 && !now.Before(d.latestStart(q.waiting()[0])) {
			w := q.waiting()[0]
			q.removeAt(0)
			delay := d.queueDelay(w.class, d.waitingCount(w.class))
			w.result <- answer{refusal: newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, delay)}
		}
	}
}

// latestStart is when a waiter is given up.
func (d *dispatcher) latestStart(w *waiter) time.Time {
	return w.deadline.Add(-d.minServiceTime(w.class))
}

func (d *dispatcher) refuseAll(reason peerv1.RefusalReason, retryAfter time.Duration) {
	for _, w := range d.objectiveWaiters {
		w.result <- answer{refusal: newRefusal(reason, retryAfter)}
	}
	d.objectiveWaiters = nil
	for i := range d.queues {
		for _, w := range d.queues[i].waiting() {
			w.result <- answer{refusal: newRefusal(reason, retryAfter)}
		}
		d.queues[i] = queue{}
	}
}

// refusePending refuses the events that are left at the end of the dispatcher.
func (d *dispatcher) refusePending() {
	d.refuseAll(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)
	for {
		select {
		case e := <-d.events:
			if w, ok := e.(*waiter); ok {
				w.result <- answer{refusal: newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)}
				continue
			}
			e.apply(d, time.Now())
		default:
			return
		}
	}
}
