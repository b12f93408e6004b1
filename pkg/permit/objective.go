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
// arrival would spend the slots on answers that are late by the time they are given. So a request waits for an eighth of its
// objective at most, gets a target where it will be in time if there is one, and is refused at once otherwise, unless slots
// are left over. The slots that are kept back for requests in time are few: at 95% use, one or two of forty are free.

const (
	// patience is the part of the objective, as 1/n, that a request waits for a slot.
	patience = 8
	// reserveShare is the part of the slots, as 1/n, that must be free for a request that will be late.
	reserveShare = 20
	// equalShare is the difference of expected times, as a share, below which they count as equal.
	equalShare = 0.03
	// urgentValid is how long a request keeps slots back from less urgent ones of its service.
	urgentValid = 2 * time.Second
	// maxObjectiveQueue bounds the requests that wait; patience ends most waits long before.
	maxObjectiveQueue = 512
	// lateRetryAfter is the hint in the refusal of a request that will be late: the next moment can be as full as this one.
	lateRetryAfter = 200 * time.Millisecond
)

// applyObjective admits a request with an objective: it is sent to another failure domain, queued, or refused at once.
func (w *waiter) applyObjective(d *dispatcher, now time.Time) {
	if r := d.admitObjective(w, now); r != nil {
		w.result <- answer{refusal: r}
		return
	}
	if domain := d.balance.place(d, w, now); domain != "" {
		w.result <- answer{elsewhere: domain}
		return
	}
	if !d.anyUsable(w, now) {
		w.result <- answer{refusal: refuse(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter)}
		return
	}
	w.giveUpAt = now.Add(d.patienceOf(w, now))
	d.sequence++
	w.sequence = d.sequence
	d.pushObjective(w, now)
}

func (d *dispatcher) admitObjective(w *waiter, now time.Time) *RefusedError {
	switch {
	case d.superseded || !d.knows(w.from):
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)
	case len(d.objectives) >= maxObjectiveQueue:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, lateRetryAfter)
	case w.req.Hedge:
		return refuse(peerv1.RefusalReason_REFUSAL_REASON_HEDGE_BUDGET, minRetryAfter)
	}
	return d.admitAttempt(w, now)
}

// patienceOf returns how long a request waits for a slot. One that can be in time nowhere does not wait for a better target.
func (d *dispatcher) patienceOf(w *waiter, now time.Time) time.Duration {
	objective := w.req.Objective.Sub(now)
	wait := max(objective, 0) / patience
	if w.deadline.Sub(now) < wait {
		wait = w.deadline.Sub(now) / 2
	}
	best := time.Duration(-1)
	for _, t := range d.slots.order {
		if t.closed || t.quality.down {
			continue
		}
		if e := d.expected(w, t, now); best < 0 || e < best {
			best = e
		}
	}
	return min(wait, max(0, objective-withSpread(best)))
}

func withSpread(expected time.Duration) time.Duration {
	return expected + time.Duration(spread*float64(expected))
}

// pushObjective queues a request by urgency, then by arrival.
func (d *dispatcher) pushObjective(w *waiter, now time.Time) {
	d.urgency.note(w.req.Priority, now)
	i, _ := slices.BinarySearchFunc(d.objectives, w, func(a, b *waiter) int {
		if c := cmp.Compare(a.req.Priority, b.req.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.sequence, b.sequence)
	})
	d.objectives = slices.Insert(d.objectives, i, w)
}

func (d *dispatcher) removeObjective(w *waiter) bool {
	i := slices.Index(d.objectives, w)
	if i < 0 {
		return false
	}
	d.objectives = slices.Delete(d.objectives, i, i+1)
	return true
}

// placeWaiting grants free slots to requests with an objective and refuses those whose patience has ended.
func (d *dispatcher) placeWaiting(now time.Time) {
	if len(d.objectives) == 0 || d.superseded {
		return
	}
	kept := d.objectives[:0]
	for _, w := range d.objectives {
		switch t, ended := d.placeOne(w, now), !now.Before(w.giveUpAt); {
		case t != nil:
			d.grant(w, t, now)
		case ended:
			w.result <- answer{refusal: refuse(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, d.retryHint(w, now))}
		default:
			kept = append(kept, w)
		}
	}
	clear(d.objectives[len(kept):])
	d.objectives = kept
}

// placeOne returns the target that a request gets now, or nil. A request that will be late takes a slot only when its
// patience has ended and slots are left over.
func (d *dispatcher) placeOne(w *waiter, now time.Time) *target {
	if !d.active || !d.followers[w.from.host].answers(w.from) {
		return nil
	}
	free, total := d.slots.totals()
	if free == 0 {
		return nil
	}
	t, expected := d.bestTarget(w, now)
	if t == nil {
		return nil
	}
	inTime := now.Add(withSpread(expected)).Before(w.req.Objective)
	reserve := 0
	if d.urgency.yields(w.req.Priority, now) {
		reserve += 1 + total/reserveShare
	}
	if inTime {
		if free > reserve {
			return t
		}
		return nil
	}
	if !now.Before(w.giveUpAt) && free > reserve+total/reserveShare {
		return t
	}
	return nil
}

// bestTarget returns the free target at which a request is expected to end first. Times that differ little count as equal:
// then the target with more room comes first, and for an object that none of them remembers the one that its hash prefers,
// so that objects spread over the targets and stay where they are.
func (d *dispatcher) bestTarget(w *waiter, now time.Time) (best *target, expected time.Duration) {
	for _, t := range d.slots.order {
		if t.freeFor(w.class) == 0 || slices.Contains(w.req.ExcludeTargets, t.name) || d.avoids(t, w, now) ||
			!d.isApart(t, w, now) || !t.coldAdmits(now) {
			continue
		}
		if t.quality.quarantined || t.quality.down {
			return t, 0 // due for a probe
		}
		e := d.expected(w, t, now)
		if best == nil || isBetter(w, t, best, e, expected) {
			best, expected = t, e
		}
	}
	return best, expected
}

// isBetter compares two targets by the times that a request is expected to take there.
func isBetter(w *waiter, t, best *target, expected, bestExpected time.Duration) bool {
	margin := time.Duration(equalShare * float64(bestExpected))
	if expected < bestExpected-margin || expected > bestExpected+margin {
		return expected < bestExpected
	}
	if w.req.Object != 0 && !t.remembers(w.req.Object) && !best.remembers(w.req.Object) {
		return t.weight(w.req.Object) > best.weight(w.req.Object)
	}
	return t.lessLoaded(best, w.class)
}

// retryHint is when a refused request can come back: a request that could still be in time when the next slots return, any
// other later.
func (d *dispatcher) retryHint(w *waiter, now time.Time) time.Duration {
	_, total := d.slots.totals()
	next := d.meanHold[w.class] * time.Duration(len(d.objectives)+1) / time.Duration(max(1, total))
	best := d.work[w.req.Route].expect(w.req.Object != 0)
	if now.Add(withSpread(time.Duration(best)) + next).Before(w.req.Objective) {
		return next
	}
	return max(next, lateRetryAfter)
}

// urgency remembers which urgent requests a service had lately.
type urgency struct {
	// seen is when requests of each priority last arrived.
	seen map[uint32]time.Time
}

func (u *urgency) note(priority uint32, now time.Time) {
	if len(u.seen) > maxRoutes {
		clear(u.seen)
	}
	u.seen[priority] = now
}

// yields reports whether more urgent requests of the service arrived lately.
func (u *urgency) yields(priority uint32, now time.Time) bool {
	for p, at := range u.seen {
		if p < priority && now.Sub(at) < urgentValid {
			return true
		}
	}
	return false
}
