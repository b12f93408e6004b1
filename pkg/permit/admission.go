package permit

import (
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// apply submits the request to admission control, which queues it or refuses it at once. A queued request is granted a slot
// right away if one is free.
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

// admit returns the refusal of a request on arrival, or nil if the request may be queued.
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
	if r := d.admitTimeLeft(w, now); r != nil {
		return r
	}
	return d.admitWait(w, now)
}

// admitWait returns the refusal of a request whose expected wait does not leave the time within which requests of its route very likely
// complete, or nil. Without that margin, a long queue would spend the slots on answers that come just too late.
func (d *dispatcher) admitWait(w *waiter, now time.Time) *RefusedError {
	delay := d.queueDelay(w.class, d.waitersAhead(w))
	if w.req.QueueTimeout > 0 && delay > w.req.QueueTimeout {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, delay)
	}
	if delay > 0 && now.Add(delay+d.work.Likely(w.req.Route)).After(w.deadline) {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, delay)
	}
	return nil
}

// hasUsableTarget reports whether any target could serve the request, regardless of free slots.
func (d *dispatcher) hasUsableTarget(w *waiter, now time.Time) bool {
	return slices.ContainsFunc(d.slots.order, func(t *target) bool {
		return !t.closed && !slices.Contains(w.req.ExcludeTargets, t.name) && (!t.health.down || d.canProbe(t, w, now))
	})
}

// ensureFollower reports whether the requesting incarnation of a host is a known follower. If the host or its incarnation is
// new, recovery of its permits is started first.
func (d *dispatcher) ensureFollower(from holder) bool {
	f := d.followers[from.host]
	if f == nil || f.holder.incarnation < from.incarnation {
		d.recoverHosts()
		f = d.followers[from.host]
	}
	return f != nil && f.holder == from
}

// newRefusal returns a refusal that suggests a retry after at least minRetryAfter, except with reason NOT_DISPATCHER: the client
// then asks another host at once.
func newRefusal(reason peerv1.RefusalReason, retryAfter time.Duration) *RefusedError {
	if reason != peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER {
		retryAfter = max(retryAfter, minRetryAfter)
	}
	return &RefusedError{Reason: reason, RetryAfter: retryAfter}
}

// refuseOverdue refuses waiting requests that can no longer complete by their deadline. Each queue is sorted by deadline, so only
// its head can be overdue.
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

// refuseAll refuses all waiting requests.
func (d *dispatcher) refuseAll(reason peerv1.RefusalReason, retryAfter time.Duration) {
	for _, w := range d.objectiveWaiters {
		w.stopAwaiting()
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

// refusePending refuses all waiting requests and those in the event channel, and applies the other events there. It runs when the
// dispatcher ends.
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
