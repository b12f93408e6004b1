// Package telemetry provides the tally scope of a daemon and serves it in the Prometheus text format.
package telemetry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/internal/port"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "telemetry"

// reportInterval is how often tally passes values on to the Prometheus registry.
const reportInterval = time.Second

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, New: func() kernel.Module { return &Module{} }})
}

// Module owns the root scope.
type Module struct {
	// Scope is the root scope of the daemon.
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
	// port is nil if the metrics are served on the operators' port only.
	port *port.Server
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the scope and its reporter.
func (m *Module) Provision(app *kernel.App) error {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	registry.MustRegister(prom.NewCounterFunc(prom.CounterOpts{
		Name: "rattanhitch_invariant_violations_total",
		Help: "Violations of internal invariants since the start.",
	}, func() float64 { return float64(invariant.Violations()) }))
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registry, Gatherer: registry})
	options := tally.ScopeOptions{
		Prefix:         "rattanhitch",
		Tags:           map[string]string{"host": app.Settings.Host, "failure_domain": app.Settings.FailureDomain},
		CachedReporter: reporter,
		Separator:      tallyprom.DefaultSeparator,
	}
	m.Scope, m.closer = tally.NewRootScope(options, reportInterval)
	m.handler = reporter.HTTPHandler()
	var err error
	m.port, err = listen(app.Settings.MetricsListen, m.handler)
	return err
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start serves the metrics if they have a port of their own. The scope reports from its own goroutine.
func (m *Module) Start(context.Context) error {
	if m.port != nil {
		m.port.Start()
	}
	return nil
}

// Cleanup reports once more, stops the scope and closes the port.
func (m *Module) Cleanup(context.Context) error {
	err := m.closer.Close()
	if m.port != nil {
		err = errors.Join(err, m.port.Close())
	}
	return err
}

// Handler serves the metrics in the Prometheus text format.
func (m *Module) Handler() http.Handler { return m.handler }
