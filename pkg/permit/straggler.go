package permit

import (
	"math/bits"
	"slices"
	"time"

	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// slowOfEight is how many of a target's last eight responses must be slow for quarantine. In a healthy service, 0.001% of
	// the responses cause a quarantine; with three it was 0.04%, which costs capacity at 95% load.
	slowOfEight = 4
	// healthySlowOfEight is how many of the last eight responses of the median target may be slow; if there are more, the
	// service as a whole is slow.
	healthySlowOfEight = 1
	// stuckFactor is the multiple of the slow limit for which a request must be in flight before its target gets no other short
	// request.
	stuckFactor = 1.5
	// quarantineDivisor limits the targets that are avoided at the same time to 1/quarantineDivisor of all.
	quarantineDivisor = 4
)

// targetHealth is the state of the outlier detection for one target.
type targetHealth struct {
	// slowHistory has a bit for each of the last eight responses, set if the response was slow.
	slowHistory uint8
	quarantined bool
	nextProbe   time.Time
	probing     bool
	goodProbes  int
	// inFlight holds the permits of short requests in order of their grants.
	inFlight []*permit
	// down is set while the target accepts no connections.
	down bool
}

func (h *targetHealth) slowCount() int { return bits.OnesCount8(h.slowHistory) }

// remove removes a permit that is no longer in use.
func (h *targetHealth) remove(p *permit) {
	if p.probe {
		h.probing = false
	}
	if i := slices.Index(h.inFlight, p); i >= 0 {
		h.inFlight = slices.Delete(h.inFlight, i, i+1)
	}
}

// observeResponse updates the health of a target after one response and quarantines the target if it is an outlier.
func (d *dispatcher) observeResponse(p *permit, r *release, now time.Time) {
	h := &p.target.health
	if d.observeReachability(p.target, r.observation.Outcome, now) {
		return
	}
	took, valid := responseTime(r.observation)
	if p.probe {
		d.observeProbe(p.target, took, valid, now)
		return
	}
	if !valid || p.class != classShort || h.quarantined {
		return
	}
	slow := d.latency.slow > 0 && took > d.latency.slow
	if r.observation.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED && !slow {
		return // cancelled before the limit: unknown whether it would have been slow
	}
	d.recordLatency(took, now)
	h.slowHistory <<= 1
	if slow {
		h.slowHistory |= 1
	}
	if h.slowCount() >= slowOfEight && !d.serviceIsSlow() && d.canQuarantineAnother() {
		h.quarantined, h.goodProbes, h.nextProbe = true, 0, now.Add(probeInterval)
		log.Info().Str("step", "target").Str("service", d.service).Str("target", p.target.name).
			Int("slow_of_eight", h.slowCount()).Dur("limit", d.latency.slow).Msg("target is in quarantine")
	}
}

// serviceIsSlow reports whether the median target is slow by the current limit. No target is an outlier then, and hedged
// requests would add load to an overloaded service.
func (d *dispatcher) serviceIsSlow() bool {
	slow, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.health.slowCount() > healthySlowOfEight {
			slow++
		}
	}
	return 2*slow > open
}

// canQuarantineAnother reports whether one more target may be quarantined.
func (d *dispatcher) canQuarantineAnother() bool {
	quarantined, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.health.quarantined {
			quarantined++
		}
	}
	return (quarantined+1)*quarantineDivisor <= open
}

// avoids reports whether a target is excluded for a waiter's request: the target is quarantined or down and no probe is due, or
// it has been stuck on a request for too long.
func (d *dispatcher) avoids(t *target, w *waiter, now time.Time) bool {
	if t.health.quarantined || t.health.down {
		return !d.canProbe(t, w, now)
	}
	// A target that still answers other requests is not stuck, even if one request takes many times as long as normal.
	return w.class == classShort && d.isStuck(t, now) && now.Sub(t.lastAnswer) > d.stuckAfter() && !d.manyStuck(now)
}

// stuckAfter returns how long a target with requests in flight may answer none of them; 0 while the slow limit is unknown.
func (d *dispatcher) stuckAfter() time.Duration {
	return time.Duration(stuckFactor * float64(d.latency.slow))
}

// isStuck reports whether the oldest short request at a target has been in flight for longer than stuckAfter.
func (d *dispatcher) isStuck(t *target, now time.Time) bool {
	out := t.health.inFlight
	limit := d.stuckAfter()
	return limit > 0 && len(out) > 0 && now.Sub(out[0].granted) > limit
}

// manyStuck reports whether so many targets are stuck or quarantined that the service as a whole must be the cause.
func (d *dispatcher) manyStuck(now time.Time) bool {
	avoided, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.health.quarantined || d.isStuck(t, now) {
			avoided++
		}
	}
	return avoided*quarantineDivisor > open
}
