package permit

import (
	"slices"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// grantWaiting grants free slots to the waiting requests. Of requests of the same rank, those come first that suit the target: they take a part of
// the time that the others would, so that more callers are served. The others follow in their order.
func (d *dispatcher) grantWaiting(now time.Time) {
	if d.superseded || !d.active {
		return
	}
	d.grantMatching(now, func(w *waiter, t *target) bool { return d.suits(w, t, now) })
	d.grantMatching(now, func(*waiter, *target) bool { return true })
}

// suits reports whether a request need not wait for another target: it has no object, the target has it cached, or it cannot wait any longer and no
// other target is much faster. If requests past their time took any slot, a long queue would spread objects over targets that have not cached
// them, and the targets would serve several times fewer requests.
func (d *dispatcher) suits(w *waiter, t *target, now time.Time) bool {
	if w.req.ObjectHash == 0 || d.likelyCached(t, w.req.ObjectHash) {
		return true
	}
	return !now.Before(w.startBy) && !d.isMuchFasterElsewhere(w, t, now)
}

// isMuchFasterElsewhere reports whether a request is expected to take much less time at another target than at t, with or without a free slot there.
func (d *dispatcher) isMuchFasterElsewhere(w *waiter, t *target, now time.Time) bool {
	limit := time.Duration(float64(d.expectedTime(w, t, now)) / similarTimeFactor)
	return slices.ContainsFunc(d.slots.order, func(other *target) bool {
		return other.isOpenTo(w) && d.expectedTime(w, other, now) < limit
	})
}

// grantMatching grants free slots to waiting requests for which matches returns true, in their order, or redirects them if too many run here. None of
// them passes one of a higher rank for which it returned false. A request that gets no slot for another reason does not block those behind it: it may
// exclude all free targets, wait for a certain one, be poison, or come from a host that does not follow this dispatcher yet.
func (d *dispatcher) grantMatching(now time.Time, matches func(*waiter, *target) bool) {
	if len(d.queue) == 0 || !d.slots.anyFree() {
		return
	}
	var passed *waiter
	full := map[configv1.RequestClass]bool{}
	d.queue.removeFunc(func(w *waiter) bool {
		plain := len(w.req.ExcludeTargets) == 0 && !d.manager.poison.IsSuspect(w.req.Fingerprint, now)
		if full[w.class] && plain || passed != nil && !passed.hasRankOf(w) || !d.followers[w.from.host].isFollowing(w.from) {
			return false
		}
		t, free := d.selectTarget(w, now)
		full[w.class] = full[w.class] || plain && !free
		if t == nil {
			return false
		}
		if !matches(w, t) {
			passed = w
			return false
		}
		if domain := d.returnsTooEarly(w, now); domain != "" {
			d.redirect(w, domain)
			return true
		}
		d.grant(w, t, now)
		return true
	})
}

// grant issues a permit for a slot of target t and sends it to the waiter.
func (d *dispatcher) grant(w *waiter, t *target, now time.Time) {
	decision := d.decision(w, t, now)
	d.lastPermitID++
	p := &permit{
		key: permitKey{d.id, d.lastPermitID}, target: t, holder: w.from, requestID: w.req.ID, route: w.req.Route,
		fingerprint: w.req.Fingerprint, class: w.class, trial: w.trial,
		granted: now, expires: w.deadline.Add(expiryGrace), process: process{t.name, t.config.GetStartedUnixMs()},
	}
	d.countRan(w, decision.Cached, now)
	p.warm, p.cold = decision.Cached, now.Before(t.coldUntil)
	p.recencyRank = t.recentObjects.Rank(w.req.ObjectHash)
	if decision.ExpectedDuration > 0 {
		p.expectedEnd = now.Add(decision.ExpectedDuration)
	}
	t.recentObjects = t.recentObjects.Touch(w.req.ObjectHash)
	p.slowdown = t.speed.Reported(now)
	t.takeRateToken(now)
	if d.canProbe(t, w, now) {
		p.probe, t.health.probing = true, true
	}
	if w.class == classShort {
		t.health.inFlight = append(t.health.inFlight, p)
	}
	if !w.req.Hedge {
		d.hedgeBudget.add(d.hedgeRatio)
	}
	d.slots.grant(p)
	w.result <- answer{permit: p, address: t.address, instance: t.instance, hedgeAfter: d.hedgeAfter(w), decision: decision}
}
