package permit

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Requests with a latency objective.
//
// Under overload, what a slot is worth decides: an answer in time is worth several late ones, and a queue in order of
// arrival would spend the slots on answers that are late by the time they are given. So a request waits for a part of its
// objective at most, gets a target where it will be in time if there is one, and is refused otherwise, unless slots are left
// over. The slots that are kept back for requests in time are few: at 95% use, one or two of forty are free.

const (
	// reserveDivisor is the part of the slots, as 1/n, that must be free for a request that will be late.
	reserveDivisor = 20
	// equalTimeTolerance is the difference of expected times, as a share, below which they count as equal.
	equalTimeTolerance = 0.03
	// preferredTargetFactor is how many times as long a new object may take at the target that its hash prefers.
	preferredTargetFactor = 1.4
	// refusalTTL is how long the refusal of a request keeps slots back from less urgent ones of its service.
	refusalTTL = 2 * time.Second
	// maxObjectiveQueue bounds the requests that wait; patience ends most waits long before.
	maxObjectiveQueue = 512
	// lateRetryAfter is the hint in the refusal of a request that will be late: the next moment can be as full as this one.
	lateRetryAfter = 200 * time.Millisecond
)

// applyObjective admits a request with an objective: it is sent to another failure domain, queued, or refused at once.
func (w *waiter) applyObjective(d *dispatcher, now time.Time) {
	if r := d.admitObjective(w, now); r != nil {
		w.result <- d.refused(w, r, now)
		return
	}
	if domain := d.balance.chooseDomain(d, w, now); domain != "" {
		w.result <- answer{redirectTo: domain}
		return
	}
	d.earnRetryTokens(w)
	if !d.hasUsableTarget(w, now) {
		w.result <- d.refused(w, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter), now)
		return
	}
	d.planWait(w, now)
	d.lastSequence++
	w.sequence = d.lastSequence
	d.pushObjective(w)
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

// planWait decides how long a request waits, and for what. The target at which it is expected to end first may be full: the
// request then waits for it, because another one that does not remember the object would take several times as long. It waits
// for longer than its patience only while slots are free elsewhere, so that it is not refused after a long wait.
func (d *dispatcher) planWait(w *waiter, now time.Time) {
	objective := w.req.Objective.Sub(now)
	patience := min(w.req.QueueTimeout, max(0, w.deadline.Sub(now)/2))
	best, wait, total := d.earliestCompletion(w, now)
	slack := objective - withMargin(total)
	w.willMissObjective = best == nil || slack < 0
	w.minWaitUntil = now.Add(patience)
	free, slots := d.slots.totals()
	switch {
	case w.willMissObjective:
		w.waitUntil = now.Add(patience)
	case wait > 0 && free > slots/reserveDivisor:
		w.awaitedTarget = best
		w.waitUntil = now.Add(min(wait+slack, 2*wait+patience))
	default:
		w.waitUntil = now.Add(min(patience, wait+slack))
	}
	if w.awaitedTarget != nil {
		w.awaitedTarget.awaitingWaiters++
	}
}

// earliestCompletion returns the target at which a request is expected to end first, the time until a slot is free there, and the time
// until the end.
func (d *dispatcher) earliestCompletion(w *waiter, now time.Time) (best *target, wait, total time.Duration) {
	for _, t := range d.slots.order {
		if t.closed || t.quality.down || t.quality.quarantined || slices.Contains(w.req.ExcludeTargets, t.name) {
			continue
		}
		untilFree, known := t.untilFree(now)
		if !known {
			continue
		}
		if end := untilFree + d.expectedTime(w, t, now); best == nil || end < total {
			best, wait, total = t, untilFree, end
		}
	}
	return best, wait, total
}

// untilFree returns the time until the next slot that nobody waits for is expected to be free; known is false if nothing is
// expected to end. A request that takes longer than expected may take any time.
func (t *target) untilFree(now time.Time) (wait time.Duration, known bool) {
	if t.freeSlots() > t.awaitingWaiters {
		return 0, true
	}
	var ends []time.Time
	for _, p := range t.quality.inFlight {
		if p.expectedEnd.After(now) {
			ends = append(ends, p.expectedEnd)
		}
	}
	position := t.awaitingWaiters - t.freeSlots()
	if position >= len(ends) {
		return 0, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	return ends[position].Sub(now), true
}

func withMargin(expected time.Duration) time.Duration {
	return expected + time.Duration(estimateMargin*float64(expected))
}

// pushObjective queues a request by urgency, then by arrival.
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

// grantObjectives grants free slots to requests with an objective and refuses those whose patience has ended.
func (d *dispatcher) grantObjectives(now time.Time) {
	if len(d.objectiveWaiters) == 0 || d.superseded {
		return
	}
	kept := d.objectiveWaiters[:0]
	for _, w := range d.objectiveWaiters {
		free, total := d.slots.totals()
		ended := w.waitExpired(free, total, now)
		switch t := d.selectTarget(w, free, total, ended, now); {
		case t != nil:
			w.stopAwaiting()
			d.grant(w, t, now)
		case ended:
			w.stopAwaiting()
			d.urgency.record(w.req.Priority, now)
			w.result <- d.refused(w, newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, d.retryHint(w, now)), now)
		default:
			kept = append(kept, w)
		}
	}
	clear(d.objectiveWaiters[len(kept):])
	d.objectiveWaiters = kept
}

// waitExpired reports whether a request's wait is over: beyond its patience it waits only while slots are left over elsewhere.
func (w *waiter) waitExpired(free, total int, now time.Time) bool {
	return !now.Before(w.waitUntil) || !now.Before(w.minWaitUntil) && free <= total/reserveDivisor
}

// selectTarget returns the target that a request gets now, or nil. A request that will be late takes a slot only if slots
// are left over, and one that could still be in time elsewhere only when its wait has ended.
func (d *dispatcher) selectTarget(w *waiter, free, total int, ended bool, now time.Time) *target {
	if free == 0 || !d.active || !d.followers[w.from.host].isFollowing(w.from) {
		return nil
	}
	t, expected := d.bestTarget(w, now)
	if t == nil {
		return nil
	}
	inTime := now.Add(withMargin(expected)).Before(w.req.Objective)
	reserve := 0
	if d.urgency.anyMoreUrgent(w.req.Priority, now) {
		reserve += 1 + total/reserveDivisor
	}
	if w.awaitedTarget != nil && !ended && !d.likelyCached(t, w.req.ObjectHash) {
		return nil // the target that it waits for is worth the wait
	}
	if inTime {
		if free > reserve {
			return t
		}
		return nil
	}
	if (w.willMissObjective || ended) && free > reserve+total/reserveDivisor {
		return t
	}
	return nil
}

// bestTarget returns the free target at which a request is expected to end first. Times that differ little count as equal:
// then the target with more room comes first, and for an object that none of them remembers the one that its hash prefers,
// so that objects spread over the targets and stay where they are.
func (d *dispatcher) bestTarget(w *waiter, now time.Time) (best *target, expected time.Duration) {
	for _, t := range d.slots.order {
		if t.freeSlotsFor(w.class) == 0 || slices.Contains(w.req.ExcludeTargets, t.name) || d.avoids(t, w, now) ||
			!d.allowsSuspect(t, w, now) || !t.allowsColdRequest(now) {
			continue
		}
		if t.quality.quarantined || t.quality.down {
			return t, 0 // due for a probe
		}
		e := d.expectedTime(w, t, now)
		if best == nil || d.isBetter(w, t, best, e, expected) {
			best, expected = t, e
		}
	}
	return best, expected
}

// isBetter compares two targets by the times that a request is expected to take there.
func (d *dispatcher) isBetter(w *waiter, t, best *target, expected, bestExpected time.Duration) bool {
	if w.req.ObjectHash != 0 && !d.likelyCached(t, w.req.ObjectHash) && !d.likelyCached(best, w.req.ObjectHash) {
		if limit := time.Duration(preferredTargetFactor * float64(min(expected, bestExpected))); max(expected, bestExpected) <= limit {
			return t.rendezvousWeight(w.req.ObjectHash) > best.rendezvousWeight(w.req.ObjectHash)
		}
	}
	margin := time.Duration(equalTimeTolerance * float64(bestExpected))
	if expected < bestExpected-margin || expected > bestExpected+margin {
		return expected < bestExpected
	}
	return t.lessLoadedThan(best, w.class)
}

// retryHint is when a refused request can come back: a request that could still be in time when the next slots return, any
// other later.
func (d *dispatcher) retryHint(w *waiter, now time.Time) time.Duration {
	_, total := d.slots.totals()
	next := d.meanHoldTime[w.class] * time.Duration(len(d.objectiveWaiters)+1) / time.Duration(max(1, total))
	best := d.serviceTimes[w.req.Route].estimate(w.req.ObjectHash != 0)
	if now.Add(withMargin(time.Duration(best)) + next).Before(w.req.Objective) {
		return next
	}
	return max(next, lateRetryAfter)
}

// recentRefusals remembers which requests of a service were refused lately. Slots are kept back from less urgent ones only then: a
// few urgent requests must not leave slots unused.
type recentRefusals struct {
	// refusedAt is when requests of each priority were last refused for want of a slot.
	refusedAt map[uint32]time.Time
}

func (u *recentRefusals) record(priority uint32, now time.Time) {
	if len(u.refusedAt) > maxRoutes {
		clear(u.refusedAt)
	}
	u.refusedAt[priority] = now
}

// anyMoreUrgent reports whether more urgent requests of the service were refused lately.
func (u *recentRefusals) anyMoreUrgent(priority uint32, now time.Time) bool {
	for p, at := range u.refusedAt {
		if p < priority && now.Sub(at) < refusalTTL {
			return true
		}
	}
	return false
}
