package permit

import (
	"slices"
	"time"
)

const (
	// equalTimeFactor is the ratio up to which two expected times count as equal.
	equalTimeFactor = 1.03
	// similarTimeFactor is that ratio for two targets that have not cached the object, or if there is none. Estimates differ by chance, so that
	// smaller differences would keep requests off targets that are as fast as the others, and spread objects over many targets.
	similarTimeFactor = 1.4
)

// planWait sets until when a request waits at most, and for which target. The target at which it is expected to complete first may have no
// free slot. The request then waits for that target, because one that has not cached the object would take several times as long.
func (d *dispatcher) planWait(w *waiter, now time.Time) {
	w.waitUntil = d.latestStart(w)
	if w.req.QueueTimeout > 0 {
		w.waitUntil = earlier(w.waitUntil, now.Add(waitErrorFactor*w.req.QueueTimeout))
	}
	limit := w.startBy.Sub(now)
	best, wait, total := d.earliestCompletion(w, now)
	if best == nil || wait == 0 || wait > limit {
		return
	}
	if free, _ := d.slots.capacity(w.class); free == 0 && !d.likelyCached(best, w.req.ObjectHash) {
		return // whichever slot is free first is as good
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

func (w *waiter) stopAwaiting() {
	if w.awaitedTarget != nil {
		w.awaitedTarget.awaitingWaiters--
		w.awaitedTarget = nil
	}
}

// selectTarget returns the target that a request gets now, or nil; free reports whether any target would take it. A request that waits for a
// target gets no other one meanwhile, unless it would be complete there earlier.
func (d *dispatcher) selectTarget(w *waiter, now time.Time) (t *target, free bool) {
	t, expected := d.bestTarget(w, now)
	if t != nil && !d.canCompleteIn(w, expected, w.deadline.Sub(now)) {
		return nil, true
	}
	if t == nil || w.awaitedTarget == nil || t == w.awaitedTarget || !now.Before(w.awaitUntil) || now.Add(expected).Before(w.awaitedEnd) {
		return t, t != nil
	}
	return nil, true
}

// canCompleteIn reports whether a request has a chance to be complete in the time left at a target where it is expected to take a certain time.
// It has none if nine of ten requests take longer, at the speed of that target.
func (d *dispatcher) canCompleteIn(w *waiter, expected, left time.Duration) bool {
	mean := d.work.Mean(w.req.Route)
	if w.trial || mean == 0 {
		return true
	}
	return float64(expected)*float64(d.work.Least(w.req.Route))/float64(mean) <= float64(left)
}

// bestTarget returns the free target at which a request is expected to complete first. A target that is due for a probe comes
// before all others. If the expected times count as equal, a target in the place of the requesting host is chosen, and otherwise the less
// loaded one. For an object that neither has cached, rendezvous hashing decides instead of the load, so that objects spread over the targets
// and keep their target.
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
	tolerance := equalTimeFactor
	if !d.likelyCached(t, w.req.ObjectHash) && !d.likelyCached(best, w.req.ObjectHash) {
		tolerance = similarTimeFactor
	}
	if limit := time.Duration(tolerance * float64(min(expected, bestExpected))); max(expected, bestExpected) > limit {
		return expected < bestExpected
	}
	if near := w.isNear(t); near != w.isNear(best) {
		return near
	}
	if w.req.ObjectHash != 0 && tolerance == similarTimeFactor {
		return t.rendezvousWeight(w.req.ObjectHash) > best.rendezvousWeight(w.req.ObjectHash)
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
