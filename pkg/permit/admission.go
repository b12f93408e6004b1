package permit

import (
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// apply submits the request to admission control, which redirects, queues or refuses it at once. A queued request is granted a slot right away
// if one is free.
func (w *waiter) apply(d *dispatcher, now time.Time) {
	if d.id.olderThan(w.newest) {
		d.supersede(w.newest)
	}
	w.class = d.classifier.classOf(w.req.Class, w.req.Route)
	if r := d.admitRequest(w, now); r != nil {
		w.result <- d.refused(w, r, now)
		return
	}
	if domain := d.chooseDomain(w, now); domain != "" {
		d.redirect(w, domain)
		return
	}
	d.earnRetryTokens(w, now)
	d.lastSequence++
	w.sequence = d.lastSequence
	w.place, w.precedence, w.work = d.placeOf(w.from), d.precedence(w), d.expectedWork(w)
	if r := d.admitToSlots(w, now); r != nil {
		d.countRefused(w)
		w.result <- d.refused(w, r, now)
		return
	}
	d.planWait(w, now)
	d.queue.push(w)
}

// admitRequest returns the refusal of a request that this dispatcher does not serve, wherever the slots are; nil if it does.
func (d *dispatcher) admitRequest(w *waiter, now time.Time) *RefusedError {
	if d.superseded || !d.ensureFollower(w.from) {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)
	}
	return d.admitAttempt(w, now)
}

// admitToSlots returns the refusal of a request that the targets of this failure domain cannot serve in time, or nil if it may be queued.
func (d *dispatcher) admitToSlots(w *waiter, now time.Time) *RefusedError {
	switch {
	case !d.hasUsableTarget(w, now):
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter)
	case len(d.queue) >= maxQueue:
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, d.queueDelay(w.class))
	case w.req.Hedge:
		return d.admitHedge(w, now)
	}
	if r := d.admitTimeLeft(w, now); r != nil {
		return r
	}
	return d.admitWait(w, now)
}

// admitWait returns the refusal of a request that has to wait too long, or that would make one wait too long that waits already; nil if it
// may be queued. Without the margin of inTimeAfterWait, a long queue would spend the slots on answers that come just too late. A request that is kept takes
// a free slot only: it would take several times as long as those that wait for a target with their objects.
func (d *dispatcher) admitWait(w *waiter, now time.Time) *RefusedError {
	left := w.deadline.Sub(now)
	limit := left - d.work.Within(w.req.Route, left, inTimeAfterWait)
	if w.req.QueueTimeout > 0 {
		limit = min(limit, w.req.QueueTimeout)
	}
	w.startBy = now.Add(limit)
	capacity := d.capacityFor(w.class)
	ahead := d.queue.ahead(w)
	delay := capacity.delay(ahead)
	if delay > 0 && w.kept {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, d.queueDelay(w.class))
	}
	if delay > 0 && delay > limit || d.displaces(w, ahead, capacity, now) {
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, d.queueDelay(w.class))
	}
	return nil
}

// displaces reports whether a request with an earlier deadline would delay a waiting one of its rank beyond the start that was expected when
// that one was queued. A caller that was held must not be refused for the sake of one that came later. ahead are the requests before w.
func (d *dispatcher) displaces(w *waiter, ahead backlog, capacity classCapacity, now time.Time) bool {
	ahead.add(w)
	for _, behind := range d.queue.behind(w) {
		if behind.class != w.class {
			continue
		}
		delay := capacity.delay(ahead)
		if behind.hasRankOf(w) && delay > 0 && now.Add(delay).After(behind.startBy) {
			return true
		}
		ahead.add(behind)
	}
	return false
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

// refuseOverdue refuses the requests whose wait has ended.
func (d *dispatcher) refuseOverdue(now time.Time) {
	var refused []*waiter
	d.queue.removeFunc(func(w *waiter) bool {
		overdue := !now.Before(w.waitUntil) || !now.Before(d.latestStart(w))
		if overdue {
			refused = append(refused, w)
		}
		return overdue
	})
	for _, w := range refused {
		d.countRefused(w)
		delay := d.queueDelay(w.class)
		w.result <- d.refused(w, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, delay), now)
	}
}

// refuseAll refuses all waiting requests.
func (d *dispatcher) refuseAll(reason peerv1.RefusalReason, retryAfter time.Duration) {
	d.queue.removeFunc(func(w *waiter) bool {
		w.result <- answer{refusal: newRefusal(reason, retryAfter)}
		return true
	})
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
