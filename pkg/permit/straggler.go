package permit

import (
	"math/bits"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// slowPercentile is the percentile of the service's response times above which a response counts as slow. Hedged requests
	// are sent after that time too, so that 2% of the requests of a healthy service are eligible for one.
	slowPercentile = 98
	// latencyWindow is the number of responses in one window of the histogram, latencyWarmUp the number before the histogram is
	// used.
	latencyWindow = 2048
	latencyWarmUp = 200
	// refreshEvery is the number of responses after which the percentile is computed again.
	refreshEvery = 64
	// slowOfEight is how many of a target's last eight responses must be slow for quarantine. In a healthy service, 0.001% of
	// the responses cause a quarantine; with three it was 0.04%, which costs capacity at 95% load.
	slowOfEight = 4
	// healthySlowOfEight is how many of the last eight responses of the median target may be slow; if there are more, the
	// service as a whole is slow.
	healthySlowOfEight = 1
	// resetLatencyAfter is how long the service as a whole must be slow before its histogram is reset and the slow times count
	// as normal.
	resetLatencyAfter = 30 * time.Second
	// stuckFactor is the multiple of the slow limit for which a request must be in flight before its target gets no other short
	// request.
	stuckFactor = 1.5
	// quarantineDivisor limits the targets that are avoided at the same time to 1/quarantineDivisor of all.
	quarantineDivisor = 4
	// probeInterval is the time between two probes of a target that is quarantined or down.
	probeInterval = 100 * time.Millisecond
	// probesToReinstate is how many consecutive probes must not be slow before a target leaves quarantine.
	probesToReinstate = 2
)

// latency is the histogram of a service's response times over the last one or two windows.
type latency struct {
	current, previous *hdrhistogram.Histogram
	count             int
	// slow is the limit above which a response counts as slow; 0 until enough responses were recorded.
	slow time.Duration
}

func newLatency() latency { return latency{current: newLatencyHistogram()} }

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 2)
}

func (l *latency) record(t time.Duration) {
	_ = l.current.RecordValue(max(1, t.Microseconds()))
	l.count++
	if l.count%refreshEvery == 0 && l.count >= latencyWarmUp {
		l.refresh()
	}
	if l.current.TotalCount() >= latencyWindow {
		l.previous, l.current = l.current, newLatencyHistogram()
	}
}

// refresh computes the limit from the last full window, or from the current one if there is none.
func (l *latency) refresh() {
	h := l.previous
	if h == nil {
		h = l.current
	}
	l.slow = time.Duration(h.ValueAtQuantile(slowPercentile)) * time.Microsecond
}

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

// observeReachability marks a target that accepts no connections as down, however many other targets are avoided: it fails fast,
// always has free slots and would attract most requests. It returns true if the outcome has no response time to evaluate.
func (d *dispatcher) observeReachability(t *target, outcome peerv1.ReleaseOutcome, now time.Time) bool {
	h := &t.health
	before := h.down
	defer func() {
		if h.down != before {
			log.Info().Str("step", "target").Str("service", d.service).Str("target", t.name).Bool("down", h.down).
				Msg("reachability of a target changed")
		}
	}()
	switch outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE:
		h.down = true
		h.nextProbe = now.Add(probeInterval)
		return true
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR,
		peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED:
		t.lastAnswer = now
		if h.down {
			t.startReturnCold(now)
		}
		h.down = false
	}
	return false
}

// recordLatency adds a response time to the histogram. Nothing is recorded while the service as a whole is slow, so that the
// slow times do not become the normal ones; if it stays slow for resetLatencyAfter, the histogram is reset.
func (d *dispatcher) recordLatency(took time.Duration, now time.Time) {
	switch {
	case !d.serviceIsSlow():
		d.slowSince = time.Time{}
		d.latency.record(took)
	case d.slowSince.IsZero():
		d.slowSince = now
	case now.Sub(d.slowSince) > resetLatencyAfter:
		d.slowSince = time.Time{}
		d.latency = newLatency()
		for _, t := range d.slots.order {
			t.health.slowHistory = 0
		}
	}
}

// responseTime returns a lower bound of the target's response time, and whether the outcome allows a conclusion about the
// target.
func responseTime(o Observation) (time.Duration, bool) {
	took := o.FirstByte
	if took == 0 {
		took = o.Total
	}
	switch o.Outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED:
		return took, took > 0
	}
	return 0, false
}

// observeProbe counts the successful probes of a target and ends its quarantine after probesToReinstate of them.
func (d *dispatcher) observeProbe(t *target, took time.Duration, valid bool, now time.Time) {
	h := &t.health
	if !valid || d.latency.slow > 0 && took > d.latency.slow {
		h.goodProbes, h.nextProbe = 0, now.Add(probeInterval)
		return
	}
	h.goodProbes++
	if h.goodProbes >= probesToReinstate {
		h.quarantined, h.slowHistory = false, 0
		log.Info().Str("step", "target").Str("service", d.service).Str("target", t.name).Msg("target is out of quarantine")
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
	if !w.req.Objective.IsZero() {
		// A target that still answers other requests is not stuck, even if one request takes many times as long as normal.
		return d.isStuck(t, now) && now.Sub(t.lastAnswer) > d.stuckAfter() && !d.manyStuck(now)
	}
	return w.class == classShort && d.isStuck(t, now) && !d.manyStuck(now)
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

// canProbe reports whether a request may probe a target that is quarantined or down. Commands and hedged requests are not risked
// at a slow target. Any first attempt may probe a target that accepted no connections: it is not executed if the connection fails again,
// and is retried. A retry must not, because it could use up the attempts of its request on one such target after another.
func (d *dispatcher) canProbe(t *target, w *waiter, now time.Time) bool {
	h := &t.health
	if h.down {
		return !h.probing && !now.Before(h.nextProbe) && !w.req.Hedge && w.req.Attempt == 0
	}
	return h.quarantined && !h.probing && !now.Before(h.nextProbe) && w.class == classShort && !w.req.Command && !w.req.Hedge
}
