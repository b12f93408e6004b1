package permit

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Requests with a latency objective.
//
// They wait in order of priority and then of arrival, for as long as their callers' time allows. The objective is a target for the responses
// of the service, which the burn report shows; it says nothing about how long a caller can wait.

const (
	// equalTimeTolerance is the relative difference up to which two expected times count as equal.
	equalTimeTolerance = 0.03
	// preferredTargetFactor limits the choice by rendezvous weight. Of two targets that have not cached an object, the one with
	// the higher weight is chosen if neither is expected to take more than this many times as long as the other.
	preferredTargetFactor = 1.4
	// maxObjectiveQueue bounds the number of waiting requests; most waits time out long before the queue is full.
	maxObjectiveQueue = 512
)

// applyObjective handles an arriving request with an objective: it is redirected to another failure domain, queued, or refused.
func (w *waiter) applyObjective(d *dispatcher, now time.Time) {
	if r := d.admitObjective(w, now); r != nil {
		w.result <- d.refused(w, r, now)
		return
	}
	if domain := d.chooseDomain(w, now); domain != "" {
		w.result <- answer{redirectTo: domain}
		return
	}
	d.earnRetryTokens(w)
	if !d.hasUsableTarget(w, now) {
		w.result <- d.refused(w, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter), now)
		return
	}
	if r := d.admitTimeLeft(w, now); r != nil {
		w.result <- d.refused(w, r, now)
		return
	}
	d.lastSequence++
	w.sequence = d.lastSequence
	d.pushObjective(w)
	if r := d.admitWait(w, now); r != nil {
		d.removeObjective(w)
		w.result <- d.refused(w, r, now)
		return
	}
	w.place = d.placeOf(w.from)
	d.planWait(w, now)
}

func (d *dispatcher) admitObjective(w *waiter, now time.Time) *RefusedError {
	switch {
	case d.superseded || !d.ensureFollower(w.from):
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)
	case len(d.objectiveWaiters) >= maxObjectiveQueue:
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, lateRetryAfter)
	case w.req.Hedge:
		return newRefusal(peerv1.RefusalReason_REFUSAL_REASON_HEDGE_BUDGET, minRetryAfter)
	}
	return d.admitAttempt(w, now)
}

// planWait sets until when a request waits at most, and for which target. The target at which it is expected to complete first may have no
// free slot. The request then waits for that target, because one that has not cached the object would take several times as long.
func (d *dispatcher) planWait(w *waiter, now time.Time) {
	w.waitUntil = d.latestStart(w)
	limit := w.deadline.Sub(now) - d.work.Likely(w.req.Route)
	if w.req.QueueTimeout > 0 {
		w.waitUntil = earlier(w.waitUntil, now.Add(waitErrorFactor*w.req.QueueTimeout))
		limit = min(limit, w.req.QueueTimeout)
	}
	best, wait, total := d.earliestCompletion(w, now)
	if best == nil || wait == 0 || wait > limit {
		return
	}
	w.awaitedTarget = best
	w.awaitUntil = now.Add(min(waitErrorFactor*wait, limit))
	w.awaitedEnd = now.Add(total)
	best.awaitingWaiters++
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// earliestCompletion returns the target at which a request is expected to complete first, the time until a slot is free there,
// and the time until completion. best is nil if no target qualifies.
func (d *dispatcher) earliestCompletion(w *waiter, now time.Time) (best *target, wait, total time.Duration) {
	for _, t := range d.slots.order {
		if t.closed || t.health.down || t.health.quarantined || slices.Contains(w.req.ExcludeTargets, t.name) ||
			!t.rateLimit.allows(now) {
			continue
		}
		untilFree := t.untilFree(now, d.meanHoldTime[w.class])
		if end := untilFree + d.expectedTime(w, t, now); best == nil || end < total {
			best, wait, total = t, untilFree, end
		}
	}
	return best, wait, total
}

// untilFree returns the time until the next slot that no other waiter is waiting for is expected to be free. meanHold is the mean time for
// which a request occupies a slot. Requests past their expected end do not count, because their remaining time is unknown.
func (t *target) untilFree(now time.Time, meanHold time.Duration) time.Duration {
	position := t.awaitingWaiters - t.freeSlots()
	if position < 0 {
		return 0
	}
	var ends []time.Time
	for _, p := range t.health.inFlight {
		if p.expectedEnd.After(now) {
			ends = append(ends, p.expectedEnd)
		}
	}
	if position < len(ends) {
		slices.SortFunc(ends, time.Time.Compare)
		return ends[position].Sub(now)
	}
	return time.Duration(position+1) * meanHold / time.Duration(max(1, t.slots))
}

// pushObjective queues a request, ordered by priority and then by arrival.
func (d *dispatcher) pushObjective(w *waiter) {
	i, _ := slices.BinarySearchFunc(d.objectiveWaiters, w, func(a, b *waiter) int {
		if c := cmp.Compare(a.req.Priority, b.req.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	d.objectiveWaiters = slices.Insert(d.objectiveWaiters, i, w)
}

func (d *dispatcher) removeObjective(w *waiter) bool {
	i := slices.Index(d.objectiveWaiters, w)
	if i < 0 {
		return false
	}
	d.objectiveWaiters = slices.Delete(d.objectiveWaiters, i, i+1)
	w.stopAwaiting()
	return true
}

func (w *waiter) stopAwaiting() {
	if w.awaitedTarget != nil {
		w.awaitedTarget.awaitingWaiters--
		w.awaitedTarget = nil
	}
}

// grantObjectives grants free slots to the queued requests with an objective and refuses those whose wait has ended.
func (d *dispatcher) grantObjectives(now time.Time) {
	if len(d.objectiveWaiters) == 0 || d.superseded {
		return
	}
	kept := d.objectiveWaiters[:0]
	for _, w := range d.objectiveWaiters {
		switch t := d.selectTarget(w, now); {
		case t != nil:
			w.stopAwaiting()
			d.grant(w, t, now)
		case !now.Before(w.waitUntil):
			w.stopAwaiting()
			w.result <- d.refused(w, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, d.retryHint(w, now)), now)
		default:
			kept = append(kept, w)
		}
	}
	clear(d.objectiveWaiters[len(kept):])
	d.objectiveWaiters = kept
}

// selectTarget returns the target that a request gets now, or nil. A request that waits for a target gets no other one meanwhile, unless
// that has probably the object in its cache too.
func (d *dispatcher) selectTarget(w *waiter, now time.Time) *target {
	if !d.active || !d.followers[w.from.host].isFollowing(w.from) {
		return nil
	}
	t, expected := d.bestTarget(w, now)
	if t == nil || w.awaitedTarget == nil || t == w.awaitedTarget || !now.Before(w.awaitUntil) || now.Add(expected).Before(w.awaitedEnd) {
		return t
	}
	return nil // the awaited target is faster, even with the wait for it
}

// bestTarget returns the free target at which a request is expected to complete first. A target that is due for a probe comes
// before all others. If the expected times count as equal, a target in the place of the requesting host is chosen, and otherwise the less
// loaded one. For an object that no target has cached, the same place and then rendezvous hashing decide among targets of similar speed,
// so that objects spread over the targets and keep their target.
func (d *dispatcher) bestTarget(w *waiter, now time.Time) (best *target, expected time.Duration) {
	restrictions := d.isolationOf(w, now)
	for _, t := range d.slots.order {
		if t.freeSlotsFor(w.class) == 0 || slices.Contains(w.req.ExcludeTargets, t.name) || d.avoids(t, w, now) ||
			!restrictions.allows(t) || !t.allowsRate(now) {
			continue
		}
		if t.health.quarantined || t.health.down {
			return t, 0 // due for a probe
		}
		e := d.expectedTime(w, t, now)
		if best == nil || d.isBetter(w, t, best, e, expected) {
			best, expected = t, e
		}
	}
	return best, expected
}

// isBetter reports whether t is preferable to best, given the times that a request is expected to take at both.
func (d *dispatcher) isBetter(w *waiter, t, best *target, expected, bestExpected time.Duration) bool {
	if w.req.ObjectHash != 0 && !d.likelyCached(t, w.req.ObjectHash) && !d.likelyCached(best, w.req.ObjectHash) {
		if limit := time.Duration(preferredTargetFactor * float64(min(expected, bestExpected))); max(expected, bestExpected) <= limit {
			if near := w.isNear(t); near != w.isNear(best) {
				return near
			}
			return t.rendezvousWeight(w.req.ObjectHash) > best.rendezvousWeight(w.req.ObjectHash)
		}
	}
	margin := time.Duration(equalTimeTolerance * float64(bestExpected))
	if expected < bestExpected-margin || expected > bestExpected+margin {
		return expected < bestExpected
	}
	if near := w.isNear(t); near != w.isNear(best) {
		return near
	}
	return t.lessLoadedThan(best, w.class)
}

// placeOf returns the place of a host, or an empty string if the host is unknown.
func (d *dispatcher) placeOf(h holder) string {
	m, _ := d.manager.opts.View.Lookup(h.host)
	return m.Place
}

// isNear reports whether a target is in the place of the requesting host.
func (w *waiter) isNear(t *target) bool { return t.place == w.place }
