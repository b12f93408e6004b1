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
