package permit

import (
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/permit/placement"
)

const (
	// coldFactor is how many times as long a request is assumed to take at a target that is still cold after its start.
	coldFactor = 2
)

// expectedTime returns the time that a request is expected to take at a target, or 0 if it is unknown.
func (d *dispatcher) expectedTime(w *waiter, t *target, now time.Time) time.Duration {
	base := d.model.Estimate(w.req.Route, d.likelyCached(t, w.req.ObjectHash))
	factor := t.speed.Factor(now)
	if now.Before(t.coldUntil) {
		factor *= coldFactor
	}
	return time.Duration(float64(base) * factor)
}

// likelyCached reports whether a target is expected to have an object in its cache.
func (d *dispatcher) likelyCached(t *target, object uint64) bool {
	return d.model.LikelyCached(t.recentObjects, object)
}

// observeServiceTime updates the estimates after a request that was answered.
func (d *dispatcher) observeServiceTime(p *permit, o Observation, now time.Time) {
	t := p.target
	slowdownAtGrant := p.slowdown
	t.speed.Report(o.SlowdownPercent, now)
	if o.Total <= 0 {
		return
	}
	// The slowdown changes while a request runs, so the mean of its values at the start and the end is used.
	took := float64(o.Total) * 2 / (slowdownAtGrant + t.speed.Reported(now))
	if p.cold {
		took /= coldFactor
	}
	expected, known := d.model.Observe(placement.Sample{Route: p.route, Took: time.Duration(took), Warm: p.warm, Rank: p.recencyRank})
	if known && expected > 0 && !p.cold {
		t.speed.Observe(took/float64(expected), now)
	}
}
