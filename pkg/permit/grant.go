package permit

import (
	"slices"
	"time"
)

// grantWaiting grants free slots to the queued requests, queue by queue in order of precedence.
func (d *dispatcher) grantWaiting(now time.Time) {
	if d.superseded || !d.active {
		return
	}
	for i := range d.queues {
		d.grantFromQueue(&d.queues[i], now)
	}
}

// grantFromQueue grants free slots in order of deadline. A waiter that excludes all free targets, that may be poison, or whose
// host does not follow this dispatcher yet is skipped, so that it does not block those behind it.
func (d *dispatcher) grantFromQueue(q *queue, now time.Time) {
	for i := 0; i < q.len(); {
		w := q.waiting()[i]
		t := d.chooseTarget(w, now)
		if t == nil && len(w.req.ExcludeTargets) == 0 && !d.manager.poison.IsSuspect(w.req.Fingerprint, now) {
			return
		}
		if t == nil || !d.followers[w.from.host].isFollowing(w.from) {
			i++
			continue
		}
		q.removeAt(i)
		d.grant(w, t, now)
	}
}

// chooseTarget returns the least loaded target that has a free slot for the request and accepts it; nil if there is none. A
// target that is due for a probe takes precedence.
func (d *dispatcher) chooseTarget(w *waiter, now time.Time) *target {
	var best *target
	restrictions := d.isolationOf(w, now)
	for _, t := range d.slots.order {
		if t.freeSlotsFor(w.class) == 0 || slices.Contains(w.req.ExcludeTargets, t.name) ||
			d.avoids(t, w, now) || !restrictions.allows(t) || !t.allowsRate(now) {
			continue
		}
		if t.health.quarantined || t.health.down {
			return t
		}
		if best == nil || t.lessLoadedThan(best, w.class) {
			best = t
		}
	}
	return best
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
	if !w.req.Objective.IsZero() {
		p.objective, p.warm, p.cold = true, decision.Cached, now.Before(t.coldUntil)
		p.recencyRank = t.recentObjects.Rank(w.req.ObjectHash)
		if decision.ExpectedDuration > 0 {
			p.expectedEnd = now.Add(decision.ExpectedDuration)
		}
		t.recentObjects = t.recentObjects.Touch(w.req.ObjectHash)
	}
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
