package permit

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Guards against results of Acquire that no counter records, and against a panic on a refusal reason of a newer version.
func TestAcquireResultsAreCounted(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	m := newAcquireMetrics(scope)
	m.count(nil, time.Millisecond)
	m.count(newRefusal(peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, 0), time.Millisecond)
	m.count(errors.Wrap(&RedirectError{FailureDomain: "b"}, "acquire"), time.Millisecond)
	m.count(errors.New("the caller is gone"), time.Millisecond)
	m.count(newRefusal(peerv1.RefusalReason(9999), 0), time.Millisecond)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if c.Value() > 0 {
			counts[c.Tags()["result"]] = c.Value()
		}
	}
	is.Equal(counts, map[string]int64{"granted": 1, "refused_overload": 1, "elsewhere": 1, "cancelled": 1})
}

// Guards against gauges that do not show why a service lacks capacity: how many targets are usable, and the states of the others.
func TestGaugesShowTheTargets(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	d := newTestDispatcher(0, firstTerm)
	d.metrics = newDispatcherMetrics(scope, "s")
	now := time.Now()
	add := func(name string, set func(*target)) {
		target := d.slots.target(name)
		target.closed, target.slots = false, 4
		set(target)
	}
	add("a", func(t *target) { t.used = 1 })
	add("b", func(t *target) { t.closed = true })
	add("c", func(t *target) { t.health.down = true })
	add("d", func(t *target) { t.health.quarantined = true })
	add("e", func(t *target) { t.coldUntil = now.Add(time.Second) })
	d.updateGauges(now)
	gauges := func() map[string]float64 {
		values := map[string]float64{}
		for _, g := range scope.Snapshot().Gauges() {
			is.Equal(g.Tags()["service"], "s")
			values[g.Name()+g.Tags()["state"]] = g.Value()
		}
		return values
	}
	want := map[string]float64{
		"free_slots": 11, "slots": 12, "waiting": 0, "targetsusable": 1, "targetsdraining": 1, "targetsunreachable": 1,
		"targetsquarantined": 1, "targetscold": 1,
	}
	is.Equal(gauges(), want)
	add("f", func(*target) {})
	d.updateGauges(now.Add(reportInterval / 2)) // reportInterval has not passed yet
	is.Equal(gauges(), want)
	d.metrics.reset()
	for _, value := range gauges() {
		is.Equal(value, 0.0)
	}
}

// Guards against a shift between regions that no log or metric explains: what the dispatcher wants and allows, and what became of the requests.
func TestMetricsShowTheSharesAndWhatRan(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	d := newTestDispatcher(0, firstTerm)
	d.flowMetrics = newFlowMetrics(scope, "s")
	now := time.Now()
	own, forwarded := &waiter{}, &waiter{req: Request{Forwarded: true}}
	d.countRan(own, true, now)
	d.countRan(own, false, now)
	d.countRan(forwarded, true, now)
	d.countRefused(own)
	d.countRefused(forwarded)
	d.countLeft()
	d.reportFlow(now)
	d.countLeft()
	d.reportFlow(now.Add(flowInterval / 2)) // too early
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		is.Equal(c.Tags()["service"], "s")
		counts[c.Tags()["result"]] = c.Value()
	}
	is.Equal(counts, map[string]int64{"ran": 2, "ran_cached": 1, "left": 1, "refused": 1})
	gauges := map[string]float64{}
	for _, g := range scope.Snapshot().Gauges() {
		gauges[g.Name()] = g.Value()
	}
	is.Equal(gauges, map[string]float64{"own_share": 1, "own_share_wanted": 1, "own_demand_slots": 0, "own_capacity_slots": 0})
}
