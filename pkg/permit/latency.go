package permit

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

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
	// resetLatencyAfter is how long the service as a whole must be slow before its histogram is reset and the slow times count
	// as normal.
	resetLatencyAfter = 30 * time.Second
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
