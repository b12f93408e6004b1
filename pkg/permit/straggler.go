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
	// slowPercentile is the quantile of the service's response times above which a response counts as slow. Hedged requests
	// are sent after that time too, so that 2% of the requests of a healthy service ask for one.
	slowPercentile = 98
	// latencyWindow is the number of responses in one latencyWindow of the distribution, warmUp the number before it is used at all.
	latencyWindow = 2048
	latencyWarmUp = 200
	// refreshEvery is after how many responses the quantile is computed again.
	refreshEvery = 64
	// slowOfEight is how many of a target's last eight responses must be slow for quarantine. In a healthy service this
	// happens to 0.001% of the responses; with three it was 0.04%, which costs capacity at 95% load.
	slowOfEight = 4
	// healthySlowOfEight is how many slow ones the median target may have; more mean that the service as a whole is slow.
	healthySlowOfEight = 1
	// resetLatencyAfter is how long the service as a whole must be slow before that counts as normal.
	resetLatencyAfter = 30 * time.Second
	// stuckFactor is how many times the slow limit a request must be in flight for its target to get no other short one.
	stuckFactor = 1.5
	// quarantineDivisor is the part of the targets, as 1/n, that can be avoided at a time.
	quarantineDivisor = 4
	// probeInterval is the pause between probes of a quarantined target.
	probeInterval = 100 * time.Millisecond
	// probesToReinstate is how many probes in a row must not be slow.
	probesToReinstate = 2
)

// latency is the distribution of a service's response times over the last one or two windows.
type latency struct {
	current, previous *hdrhistogram.Histogram
	count             int
	// slow is the limit above which a response counts as slow; 0 until it is known.
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

// refresh computes the limit from the last full window if there is one.
func (l *latency) refresh() {
	h := l.previous
	if h == nil {
		h = l.current
	}
	l.slow = time.Duration(h.ValueAtQuantile(slowPercentile)) * time.Microsecond
}

// targetHealth is what the dispatcher knows of a target's response times.
type targetHealth struct {
	// slowHistory has a bit for each of the last eight responses, set if it was slow.
	slowHistory uint8
	quarantined bool
	nextProbe   time.Time
	probing     bool
	goodProbes  int
	// inFlight holds the short permits in order of their grants.
	inFlight []*permit
	// down is set while the target accepts no connection.
	down bool
}

func (q *targetHealth) slowCount() int { return bits.OnesCount8(q.slowHistory) }

// remove removes a permit that is no longer out.
func (q *targetHealth) remove(p *permit) {
	if p.probe {
		q.probing = false
	}
	if i := slices.Index(q.inFlight, p); i >= 0 {
		q.inFlight = slices.Delete(q.inFlight, i, i+1)
	}
}

// observeResponse judges a target by one response.
func (d *dispatcher) observeResponse(p *permit, r *release, now time.Time) {
	q := &p.target.quality
	if d.observeReachability(p.target, r.observation.Outcome, now) {
		return
	}
	took, valid := responseTime(r.observation)
	if p.probe {
		d.observeProbe(p.target, took, valid, now)
		return
	}
	if !valid || p.class != classShort || q.quarantined {
		return
	}
	slow := d.latency.slow > 0 && took > d.latency.slow
	if r.observation.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED && !slow {
		return // an early cancellation says nothing of the target
	}
	d.recordLatency(took, now)
	q.slowHistory <<= 1
	if slow {
		q.slowHistory |= 1
	}
	if q.slowCount() >= slowOfEight && !d.serviceIsSlow() && d.canQuarantineAnother() {
		q.quarantined, q.goodProbes, q.nextProbe = true, 0, now.Add(probeInterval)
		log.Info().Str("step", "target").Str("service", d.service).Str("target", p.target.name).
			Int("slow_of_eight", q.slowCount()).Dur("limit", d.latency.slow).Msg("target is in quarantine")
	}
}

// observeReachability takes a target that accepts no connection out of use, however many others are avoided: it fails fast,
// has free slots all the time and would get most requests. It returns whether that is all there is to learn.
func (d *dispatcher) observeReachability(t *target, outcome peerv1.ReleaseOutcome, now time.Time) bool {
	q := &t.quality
	before := q.down
	defer func() {
		if q.down != before {
			log.Info().Str("step", "target").Str("service", d.service).Str("target", t.name).Bool("down", q.down).
				Msg("reachability of a target changed")
		}
	}()
	switch outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE:
		q.down = true
		q.nextProbe = now.Add(probeInterval)
		return true
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR,
		peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED:
		t.lastAnswer = now
		q.down = false
	}
	return false
}

// recordLatency records a response time. While the service as a whole is slow nothing is learned, so that the slow times do not
// become the normal ones; if it stays slow, the distribution is learned anew.
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
			t.quality.slowHistory = 0
		}
	}
}

// responseTime returns how long the target took, at least, and whether that says anything about the target.
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

// observeProbe reinstates a target after enough good probes.
func (d *dispatcher) observeProbe(t *target, took time.Duration, valid bool, now time.Time) {
	q := &t.quality
	if !valid || d.latency.slow > 0 && took > d.latency.slow {
		q.goodProbes, q.nextProbe = 0, now.Add(probeInterval)
		return
	}
	q.goodProbes++
	if q.goodProbes >= probesToReinstate {
		q.quarantined, q.slowHistory = false, 0
		log.Info().Str("step", "target").Str("service", d.service).Str("target", t.name).Msg("target is out of quarantine")
	}
}

// serviceIsSlow reports whether the median target is slow by the limit learned earlier. No target is an outlier then, and
// hedged requests would add load where there is too much.
func (d *dispatcher) serviceIsSlow() bool {
	slow, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.quality.slowCount() > healthySlowOfEight {
			slow++
		}
	}
	return 2*slow > open
}

// canQuarantineAnother reports whether one more target can be avoided.
func (d *dispatcher) canQuarantineAnother() bool {
	quarantined, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.quality.quarantined {
			quarantined++
		}
	}
	return (quarantined+1)*quarantineDivisor <= open
}

// avoids reports whether a target gets no request of the waiter's kind: it is in quarantine and no probe is due, or a short
// request has been stuck there for long.
func (d *dispatcher) avoids(t *target, w *waiter, now time.Time) bool {
	if t.quality.quarantined || t.quality.down {
		return !d.canProbe(t, w, now)
	}
	if !w.req.Objective.IsZero() {
		// A request that takes many times as long as others says nothing of a target that answers the others meanwhile.
		return d.isStuck(t, now) && now.Sub(t.lastAnswer) > d.stuckAfter() && !d.manyStuck(now)
	}
	return w.class == classShort && d.isStuck(t, now) && !d.manyStuck(now)
}

// stuckAfter is how long a target with requests in flight may answer none of them.
func (d *dispatcher) stuckAfter() time.Duration {
	return time.Duration(stuckFactor * float64(d.latency.slow))
}

func (d *dispatcher) isStuck(t *target, now time.Time) bool {
	out := t.quality.inFlight
	limit := d.stuckAfter()
	return limit > 0 && len(out) > 0 && now.Sub(out[0].granted) > limit
}

// manyStuck reports whether so many targets are stuck or in quarantine that it must be the service as a whole.
func (d *dispatcher) manyStuck(now time.Time) bool {
	avoided, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.quality.quarantined || d.isStuck(t, now) {
			avoided++
		}
	}
	return avoided*quarantineDivisor > open
}

// canProbe reports whether a request can probe a quarantined target. Commands and hedged requests are not risked at a slow
// target. Any request can probe one that accepts no connection: it is not executed if that is still so.
func (d *dispatcher) canProbe(t *target, w *waiter, now time.Time) bool {
	q := &t.quality
	if q.down {
		return !q.probing && !now.Before(q.nextProbe) && !w.req.Hedge
	}
	return q.quarantined && !q.probing && !now.Before(q.nextProbe) && w.class == classShort && !w.req.Command && !w.req.Hedge
}
