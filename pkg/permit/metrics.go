package permit

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// reportInterval is the time between two updates of a dispatcher's gauges. It equals the reporting interval of the metrics
// scope.
const reportInterval = time.Second

// acquireMetrics holds the counters of the results of Acquire on this host and the histogram of its wait times.
type acquireMetrics struct {
	granted, elsewhere, cancelled tally.Counter
	refused                       map[peerv1.RefusalReason]tally.Counter
	waited                        tally.Histogram
}

func newAcquireMetrics(scope tally.Scope) acquireMetrics {
	result := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"result": name}).Counter("acquired")
	}
	m := acquireMetrics{
		granted: result("granted"), elsewhere: result("elsewhere"), cancelled: result("cancelled"),
		refused: map[peerv1.RefusalReason]tally.Counter{},
		waited:  scope.Histogram("acquire_wait", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 12)),
	}
	for number, name := range peerv1.RefusalReason_name {
		m.refused[peerv1.RefusalReason(number)] = result("refused_" + strings.ToLower(strings.TrimPrefix(name, "REFUSAL_REASON_")))
	}
	return m
}

// count records the result and the wait time of one Acquire call.
func (m acquireMetrics) count(err error, waited time.Duration) {
	m.waited.RecordDuration(waited)
	var refused *RefusedError
	var elsewhere *RedirectError
	switch {
	case err == nil:
		m.granted.Inc(1)
	case errors.As(err, &refused):
		// The map lacks reasons that only a newer version of the program sends.
		if c := m.refused[refused.Reason]; c != nil {
			c.Inc(1)
		}
	case errors.As(err, &elsewhere):
		m.elsewhere.Inc(1)
	default:
		m.cancelled.Inc(1)
	}
}

// targetState is the state of a target in the metrics: usable, or the reason why it gets fewer requests or none.
type targetState string

const (
	targetUsable      targetState = "usable"
	targetDraining    targetState = "draining"
	targetUnreachable targetState = "unreachable"
	targetQuarantined targetState = "quarantined"
	targetCold        targetState = "cold"
)

var targetStates = []targetState{targetUsable, targetDraining, targetUnreachable, targetQuarantined, targetCold}

func (t *target) state(now time.Time) targetState {
	switch {
	case t.closed:
		return targetDraining
	case t.health.down:
		return targetUnreachable
	case t.health.quarantined:
		return targetQuarantined
	case now.Before(t.coldUntil):
		return targetCold
	}
	return targetUsable
}

// dispatcherMetrics holds the gauges of a dispatcher's slots, queue and targets.
type dispatcherMetrics struct {
	free, slots, waiting tally.Gauge
	targets              map[targetState]tally.Gauge
	reportedAt           time.Time
}

func newDispatcherMetrics(scope tally.Scope, key string) dispatcherMetrics {
	s := scope.Tagged(map[string]string{"service": key})
	m := dispatcherMetrics{
		free: s.Gauge("free_slots"), slots: s.Gauge("slots"), waiting: s.Gauge("waiting"), targets: map[targetState]tally.Gauge{},
	}
	for _, state := range targetStates {
		m.targets[state] = s.Tagged(map[string]string{"state": string(state)}).Gauge("targets")
	}
	return m
}

// updateGauges updates the gauges if reportInterval has passed since the last update.
func (d *dispatcher) updateGauges(now time.Time) {
	if now.Sub(d.metrics.reportedAt) < reportInterval {
		return
	}
	d.metrics.reportedAt = now
	counts := map[targetState]int{}
	for _, t := range d.slots.order {
		counts[t.state(now)]++
	}
	d.metrics.update(d.decision(nil, nil, now), counts)
}

func (m *dispatcherMetrics) update(decision Decision, counts map[targetState]int) {
	m.free.Update(float64(decision.FreeSlots))
	m.slots.Update(float64(decision.TotalSlots))
	m.waiting.Update(float64(decision.Waiting))
	for state, gauge := range m.targets {
		gauge.Update(float64(counts[state]))
	}
}

// reset sets all gauges to 0 when the dispatcher ends.
func (m *dispatcherMetrics) reset() { m.update(Decision{}, nil) }
