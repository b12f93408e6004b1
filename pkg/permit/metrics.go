package permit

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// reportInterval is the time between two updates of a dispatcher's gauges; the scope passes values on as often.
const reportInterval = time.Second

// acquireMetrics count the results of Acquire on this host.
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

func (m acquireMetrics) count(err error, waited time.Duration) {
	m.waited.RecordDuration(waited)
	var refused *RefusedError
	var elsewhere *ElsewhereError
	switch {
	case err == nil:
		m.granted.Inc(1)
	case errors.As(err, &refused):
		// A reason that another version of the program sends is not in the map.
		if c := m.refused[refused.Reason]; c != nil {
			c.Inc(1)
		}
	case errors.As(err, &elsewhere):
		m.elsewhere.Inc(1)
	default:
		m.cancelled.Inc(1)
	}
}

// dispatcherMetrics show what a dispatcher knows of its targets.
type dispatcherMetrics struct {
	free, slots, waiting                             tally.Gauge
	usable, draining, unreachable, quarantined, cold tally.Gauge
	reportedAt                                       time.Time
}

func newDispatcherMetrics(scope tally.Scope, key string) dispatcherMetrics {
	s := scope.Tagged(map[string]string{"service": key})
	targets := func(state string) tally.Gauge { return s.Tagged(map[string]string{"state": state}).Gauge("targets") }
	return dispatcherMetrics{
		free: s.Gauge("free_slots"), slots: s.Gauge("slots"), waiting: s.Gauge("waiting"), usable: targets("usable"),
		draining: targets("draining"), unreachable: targets("unreachable"), quarantined: targets("quarantined"), cold: targets("cold"),
	}
}

// report updates the gauges if they are due.
func (d *dispatcher) report(now time.Time) {
	if now.Sub(d.metrics.reportedAt) < reportInterval {
		return
	}
	d.metrics.reportedAt = now
	made := d.decision(nil, nil, now)
	d.metrics.free.Update(float64(made.FreeSlots))
	d.metrics.slots.Update(float64(made.TotalSlots))
	d.metrics.waiting.Update(float64(made.Waiting))
	var usable, draining, unreachable, quarantined, cold float64
	for _, t := range d.slots.order {
		switch {
		case t.closed:
			draining++
		case t.quality.down:
			unreachable++
		case t.quality.quarantined:
			quarantined++
		case now.Before(t.coldUntil):
			cold++
		default:
			usable++
		}
	}
	d.metrics.usable.Update(usable)
	d.metrics.draining.Update(draining)
	d.metrics.unreachable.Update(unreachable)
	d.metrics.quarantined.Update(quarantined)
	d.metrics.cold.Update(cold)
}

// clear ends what the gauges say, for a dispatcher that ends.
func (m *dispatcherMetrics) clear() {
	for _, g := range []tally.Gauge{m.free, m.slots, m.waiting, m.usable, m.draining, m.unreachable, m.quarantined, m.cold} {
		g.Update(0)
	}
}
