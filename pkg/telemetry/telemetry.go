// Package telemetry provides the root metrics scope (tally) of a daemon and serves its metrics in the Prometheus text format.
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
	"github.com/rattanhitch/rattanhitch/pkg/intake"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "telemetry"

// reportInterval is the interval at which tally copies its values to the Prometheus registry.
const reportInterval = time.Second

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, After: []string{intake.ModuleID}, New: func() kernel.Module { return &Module{} }})
}

// Module is the kernel module that owns the root scope.
type Module struct {
	// Scope is the root scope of the daemon.
	Scope   tally.Scope
	handler http.Handler
	closer  io.Closer
	// port is the separate metrics port, or nil if the metrics are served only on the operator port.
	port *port.Server
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the scope and its reporter and opens the metrics port, if one is configured.
func (m *Module) Provision(app *kernel.App) error {
	var limits *intake.Module
	if err := kernel.Bind(app, kernel.To(&limits, intake.ModuleID)); err != nil {
		return err
	}
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
	limits.SetScope(m.Scope)
	m.handler = reporter.HTTPHandler()
	var err error
	m.port, err = listen(app.Settings.MetricsListen, m.handler, limits.Budget)
	return err
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start begins to serve the metrics port, if there is one. The scope's own goroutine, started by Provision, does the reporting.
func (m *Module) Start(context.Context) error {
	if m.port != nil {
		m.port.Start()
	}
	return nil
}

// Cleanup closes the scope, which reports a last time, and closes the metrics port.
func (m *Module) Cleanup(context.Context) error {
	err := m.closer.Close()
	if m.port != nil {
		err = errors.Join(err, m.port.Close())
	}
	return err
}

// Handler returns the HTTP handler that serves the metrics in the Prometheus text format.
func (m *Module) Handler() http.Handler { return m.handler }
