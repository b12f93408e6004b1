package burn

import (
	"context"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
)

// ModuleID is the name under which the module is registered in the kernel.
const ModuleID = "burn"

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, After: []string{config.ModuleID}, New: func() kernel.Module { return &Module{} }})
}

// Module provides the recorder in which the daemon counts its requests.
type Module struct {
	Recorder *Recorder
}

var _ kernel.Module = (*Module)(nil)

// Provision creates the recorder on top of the configuration store.
func (m *Module) Provision(app *kernel.App) error {
	conf, err := kernel.Get[*config.Module](app, config.ModuleID)
	if err != nil {
		return err
	}
	m.Recorder = NewRecorder(func(name string) *configv1.Service { return conf.Store.Current().Service(name) })
	return nil
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start has nothing to start.
func (m *Module) Start(context.Context) error { return nil }

// Cleanup has nothing to release.
func (m *Module) Cleanup(context.Context) error { return nil }

// RequestRecorder adapts a Recorder to an interface that reports success as a bool.
type RequestRecorder struct {
	*Recorder
}

// Record counts a completed request as OK or Failed.
func (r RequestRecorder) Record(service string, success bool, latency time.Duration) {
	outcome := Failed
	if success {
		outcome = OK
	}
	r.Recorder.Record(service, outcome, latency)
}
