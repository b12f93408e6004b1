package permit

import (
	"slices"
	"time"
)

// WaitErrorFactor is how many times as long as expected a request waits. The expected wait assumes that all requests take the mean time.
const WaitErrorFactor = 2

// planWait sets until when a request waits at most, and for which target. The target at which it is expected to complete first may have no
// free slot. The request then waits for that target, because one that has not cached the object would take several times as long.
func (d *dispatcher) planWait(w *waiter, now time.Time) {
	w.waitUntil = d.latestStart(w)
	if timeout := now.Add(WaitErrorFactor * w.req.QueueTimeout); w.req.QueueTimeout > 0 && timeout.Before(w.waitUntil) {
		w.waitUntil = timeout
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
	w.awaitUntil = now.Add(min(WaitErrorFactor*wait, limit))
	w.awaitedEnd = now.Add(total)
	best.awaitingWaiters++
}

// earliestCompletion returns the target at which a request is expected to complete first, the time until a slot is free there,
// and the time until completion. best is nil if no target qualifies.
func (d *dispatcher) earliestCompletion(w *waiter, now time.Time) (best *target, wait, total time.Duration) {
	for _, t := range d.slots.order {
		if !t.isOpenTo(w) || !t.rateLimit.allows(now) {
			continue
		}
		untilFree := t.untilFree(now, d.meanHoldTime[w.class])
		if end := untilFree + d.expectedTime(w, t, now); best == nil || end < total {
			best, wait, total = t, untilFree, end
		}
	}
	return best, wait, total
}

// isOpenTo reports whether a target takes a waiter's request once it has a free slot.
func (t *target) isOpenTo(w *waiter) bool {
	return !t.closed && !t.health.down && !t.health.quarantined && !slices.Contains(w.req.ExcludeTargets, t.name)
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
