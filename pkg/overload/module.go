package overload

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "overload"

// reportInterval is the time between two looks at the meter for the metrics, the log and the other hosts.
const reportInterval = 100 * time.Millisecond

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, After: []string{telemetry.ModuleID, membership.ModuleID}, New: func() kernel.Module { return &Module{} }})
}

// Module is the kernel module that owns the meter of the daemon.
type Module struct {
	Meter   *Meter
	members *membership.Module
	wait    tally.Gauge
	// shortage is the state of this process, and told what the other hosts know of it.
	shortage shortage
	told     bool
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
}

var _ kernel.Module = (*Module)(nil)

// Provision creates the meter and its metrics.
func (m *Module) Provision(app *kernel.App) error {
	var scope *telemetry.Module
	if err := kernel.Bind(app, kernel.To(&scope, telemetry.ModuleID), kernel.To(&m.members, membership.ModuleID)); err != nil {
		return err
	}
	m.Meter = NewMeter()
	m.wait = scope.Scope.SubScope("overload").Gauge("processor_wait_seconds")
	return nil
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start begins to report.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.tasks.Go(func() {
		for sleep.For(ctx, reportInterval) {
			m.report(time.Now())
		}
	})
	return nil
}

// report updates the metrics, and tells operators and the other hosts when a lasting shortage of processor time begins or ends.
func (m *Module) report(now time.Time) {
	wait := m.Meter.Wait(now)
	m.wait.Update(wait.Seconds())
	lasting := m.shortage.update(m.Meter, now)
	if lasting == m.told {
		return
	}
	m.told = lasting
	m.members.Tracker.SetOverloaded(lasting)
	log.Info().Str("step", "overload").Bool("short_of_processor_time", lasting).Dur("wait", wait).Msg("processor time changed")
}

// Cleanup ends the reports.
func (m *Module) Cleanup(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.tasks.Wait()
	}
	return nil
}
