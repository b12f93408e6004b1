package permit

import (
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// grantWaiting grants free slots to the waiting requests in their order. A request that gets none now does not block those behind it: it may
// exclude all free targets, wait for a certain one, be poison, or come from a host that does not follow this dispatcher yet.
func (d *dispatcher) grantWaiting(now time.Time) {
	if d.superseded || !d.active || len(d.queue) == 0 || !d.slots.anyFree() {
		return
	}
	full := map[configv1.RequestClass]bool{}
	d.queue.removeFunc(func(w *waiter) bool {
		plain := len(w.req.ExcludeTargets) == 0 && !d.manager.poison.IsSuspect(w.req.Fingerprint, now)
		if full[w.class] && plain || !d.followers[w.from.host].isFollowing(w.from) {
			return false
		}
		t, free := d.selectTarget(w, now)
		full[w.class] = full[w.class] || plain && !free
		if t == nil {
			return false
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
