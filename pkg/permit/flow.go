package permit

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
)

// flowInterval is the time between two reports of a dispatcher's shares, and of what became of the requests of its callers.
const flowInterval = time.Second

// minReportedChange is the change of a share from which on it is reported without refusals.
const minReportedChange = 0.01

// flow counts what became of the first attempts of this failure domain's callers since the last report.
type flow struct {
	ran, cached, left, refused int
	// share and wanted are those of the last report.
	share, wanted float64
	reportedAt    time.Time
}

// flowMetrics holds the metrics of a dispatcher's shares.
type flowMetrics struct {
	share, wanted, demand, capacity tally.Gauge
	ran, cached, left, refused      tally.Counter
}

func newFlowMetrics(scope tally.Scope, key string) flowMetrics {
	s := scope.Tagged(map[string]string{"service": key})
	result := func(name string) tally.Counter {
		return scope.Tagged(map[string]string{"service": key, "result": name}).Counter("own_requests")
	}
	return flowMetrics{
		share: s.Gauge("own_share"), wanted: s.Gauge("own_share_wanted"), demand: s.Gauge("own_demand_slots"), capacity: s.Gauge("own_capacity_slots"),
		ran: result("ran"), cached: result("ran_cached"), left: result("left"), refused: result("refused"),
	}
}

// isOwn reports whether a request counts for the shares of this failure domain: a first attempt of one of its callers.
func (w *waiter) isOwn() bool { return !w.req.Forwarded && !w.req.Hedge && w.req.Attempt == 0 }

// countRan counts a request that was granted a slot, and whether the target has probably cached its object. Only those that may be redirected count for the
// limit on shifts.
func (d *dispatcher) countRan(w *waiter, cached bool, now time.Time) {
	if !w.isOwn() {
		return
	}
	d.flow.ran++
	if d.mayRedirect(w) {
		d.balance.CountRun(now)
	}
	if cached {
		d.flow.cached++
	}
}

// countLeft counts a request that is redirected.
func (d *dispatcher) countLeft() { d.flow.left++ }

// countRefused counts a request that was to stay and was refused.
func (d *dispatcher) countRefused(w *waiter) {
	if w.isOwn() {
		d.flow.refused++
	}
}

// reportFlow updates the metrics of the shares, and logs them if they have changed or requests were refused.
func (d *dispatcher) reportFlow(now time.Time) {
	f := &d.flow
	if now.Sub(f.reportedAt) < flowInterval {
		return
	}
	plan := d.balance.Plan()
	d.flowMetrics.update(plan)
	d.flowMetrics.count(*f)
	if d.balancingEnabled() && (f.refused > 0 || changed(f.share, plan.Share) || changed(f.wanted, plan.Wanted)) {
		d.logFlow(plan)
		f.share, f.wanted = plan.Share, plan.Wanted
	}
	*f = flow{share: f.share, wanted: f.wanted, reportedAt: now}
}

func (d *dispatcher) logFlow(plan balance.Plan) {
	f := d.flow
	log.Info().Str("step", "balance").Str("service", d.service).Float64("share", round(plan.Share)).Float64("wanted", round(plan.Wanted)).
		Float64("demand", round(plan.Demand)).Float64("capacity", round(plan.Capacity)).Dur("hold", d.meanHoldTime[classShort]).
		Int("ran", f.ran).Int("cached", f.cached).Int("left", f.left).Int("refused", f.refused).Int("waiting", len(d.queue)).
		Msg("shares of the region's requests")
}

// update sets the gauges. The dispatcher sets them to 0 when it ends: its successor may be on another host.
func (m flowMetrics) update(plan balance.Plan) {
	m.share.Update(plan.Share)
	m.wanted.Update(plan.Wanted)
	m.demand.Update(plan.Demand)
	m.capacity.Update(plan.Capacity)
}

func (m flowMetrics) count(f flow) {
	m.ran.Inc(int64(f.ran))
	m.cached.Inc(int64(f.cached))
	m.left.Inc(int64(f.left))
	m.refused.Inc(int64(f.refused))
}

func changed(before, after float64) bool {
	return after-before >= minReportedChange || before-after >= minReportedChange
}

// round rounds to thousandths.
func round(v float64) float64 { return float64(int(v*1000+0.5)) / 1000 }
