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
	// slowQuantile is the quantile of the service's response times above which a response counts as slow. Hedged requests
	// are sent after that time too, so that 2% of the requests of a healthy service ask for one.
	slowQuantile = 98
	// window is the number of responses in one window of the distribution, warmUp the number before it is used at all.
	window = 2048
	warmUp = 200
	// refreshEvery is after how many responses the quantile is computed again.
	refreshEvery = 64
	// slowOfEight is how many of a target's last eight responses must be slow for quarantine. In a healthy service this
	// happens to 0.001% of the responses; with three it was 0.04%, which costs capacity at 95% load.
	slowOfEight = 4
	// healthySlowOfEight is how many slow ones the median target may have; more mean that the service as a whole is slow.
	healthySlowOfEight = 1
	// relearnAfter is how long the service as a whole must be slow before that counts as normal.
	relearnAfter = 30 * time.Second
	// stuckFactor is how many times the slow limit a request must be in flight for its target to get no other short one.
	stuckFactor = 1.5
	// maxQuarantinedShare is the part of the targets, as 1/n, that can be avoided at a time.
	maxQuarantinedShare = 4
	// probeAfter is the pause between probes of a quarantined target.
	probeAfter = 100 * time.Millisecond
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
	if l.count%refreshEvery == 0 && l.count >= warmUp {
		l.refresh()
	}
	if l.current.TotalCount() >= window {
		l.previous, l.current = l.current, newLatencyHistogram()
	}
}

// refresh computes the limit from the last full window if there is one.
func (l *latency) refresh() {
	h := l.previous
	if h == nil {
		h = l.current
	}
	l.slow = time.Duration(h.ValueAtQuantile(slowQuantile)) * time.Microsecond
}

// quality is what the dispatcher knows of a target's response times.
type quality struct {
	// history has a bit for each of the last eight responses, set if it was slow.
	history     uint8
	quarantined bool
	probeAt     time.Time
	probing     bool
	goodProbes  int
	// out holds the short permits in order of their grants.
	out []*permit
	// down is set while the target accepts no connection.
	down bool
}

func (q *quality) slowCount() int { return bits.OnesCount8(q.history) }

// forget removes a permit that is no longer out.
func (q *quality) forget(p *permit) {
	if p.probe {
		q.probing = false
	}
	if i := slices.Index(q.out, p); i >= 0 {
		q.out = slices.Delete(q.out, i, i+1)
	}
}

// observeQuality judges a target by one response.
func (d *dispatcher) observeQuality(p *permit, r *release, now time.Time) {
	q := &p.target.quality
	if d.observeReachability(p.target, r.observation.Outcome, now) {
		return
	}
	took, judged := responseTime(r.observation)
	if p.probe {
		d.judgeProbe(p.target, took, judged, now)
		return
	}
	if !judged || p.class != classShort || q.quarantined {
		return
	}
	slow := d.latency.slow > 0 && took > d.latency.slow
	if r.observation.Outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED && !slow {
		return // an early cancellation says nothing of the target
	}
	d.learnLatency(took, now)
	q.history <<= 1
	if slow {
		q.history |= 1
	}
	if q.slowCount() >= slowOfEight && !d.serviceIsSlow() && d.mayAvoidAnother() {
		q.quarantined, q.goodProbes, q.probeAt = true, 0, now.Add(probeAfter)
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
		q.probeAt = now.Add(probeAfter)
		return true
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR,
		peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED:
		t.answeredAt = now
		q.down = false
	}
	return false
}

// learnLatency records a response time. While the service as a whole is slow nothing is learned, so that the slow times do not
// become the normal ones; if it stays slow, the distribution is learned anew.
func (d *dispatcher) learnLatency(took time.Duration, now time.Time) {
	switch {
	case !d.serviceIsSlow():
		d.slowSince = time.Time{}
		d.latency.record(took)
	case d.slowSince.IsZero():
		d.slowSince = now
	case now.Sub(d.slowSince) > relearnAfter:
		d.slowSince = time.Time{}
		d.latency = newLatency()
		for _, t := range d.slots.order {
			t.quality.history = 0
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

// judgeProbe reinstates a target after enough good probes.
func (d *dispatcher) judgeProbe(t *target, took time.Duration, judged bool, now time.Time) {
	q := &t.quality
	if !judged || d.latency.slow > 0 && took > d.latency.slow {
		q.goodProbes, q.probeAt = 0, now.Add(probeAfter)
		return
	}
	q.goodProbes++
	if q.goodProbes >= probesToReinstate {
		q.quarantined, q.history = false, 0
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

// mayAvoidAnother reports whether one more target can be avoided.
func (d *dispatcher) mayAvoidAnother() bool {
	avoided, open := 0, 0
	for _, t := range d.slots.order {
		if t.closed {
			continue
		}
		open++
		if t.quality.quarantined {
			avoided++
		}
	}
	return (avoided+1)*maxQuarantinedShare <= open
}

// avoids reports whether a target gets no request of the waiter's kind: it is in quarantine and no probe is due, or a short
// request has been stuck there for long.
func (d *dispatcher) avoids(t *target, w *waiter, now time.Time) bool {
	if t.quality.quarantined || t.quality.down {
		return !d.isProbe(t, w, now)
	}
	if !w.req.Objective.IsZero() {
		// A request that takes many times as long as others says nothing of a target that answers the others meanwhile.
		return d.isStuck(t, now) && now.Sub(t.answeredAt) > d.silentAfter() && !d.manyStuck(now)
	}
	return w.class == classShort && d.isStuck(t, now) && !d.manyStuck(now)
}

// silentAfter is how long a target with requests in flight may answer none of them.
func (d *dispatcher) silentAfter() time.Duration {
	return time.Duration(stuckFactor * float64(d.latency.slow))
}

func (d *dispatcher) isStuck(t *target, now time.Time) bool {
	out := t.quality.out
	limit := d.silentAfter()
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
	return avoided*maxQuarantinedShare > open
}

// isProbe reports whether a request can probe a quarantined target. Commands and hedged requests are not risked at a slow
// target. Any request can probe one that accepts no connection: it is not executed if that is still so.
func (d *dispatcher) isProbe(t *target, w *waiter, now time.Time) bool {
	q := &t.quality
	if q.down {
		return !q.probing && !now.Before(q.probeAt) && !w.req.Hedge
	}
	return q.quarantined && !q.probing && !now.Before(q.probeAt) && w.class == classShort && !w.req.Command && !w.req.Hedge
}
