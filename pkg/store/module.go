package store

import (
	"context"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "platform"

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, After: []string{telemetry.ModuleID}, New: func() kernel.Module { return &Module{} }})
}

// Module is the kernel module that opens the platform.
type Module struct {
	// Platform is set by Provision.
	Platform Platform
}

var _ kernel.Module = (*Module)(nil)

// Provision opens the platform with the driver of the settings. Drivers connect on demand, so the daemon also starts during an
// outage of the platform.
func (m *Module) Provision(app *kernel.App) error {
	var scope *telemetry.Module
	if err := kernel.Bind(app, kernel.To(&scope, telemetry.ModuleID)); err != nil {
		return err
	}
	p, err := Open(app.Settings.PlatformDriver, app.Settings.PlatformURL)
	if err != nil {
		return steperr.Wrap(err, "open platform", app.Settings.PlatformURL)
	}
	m.Platform = Instrument(p, scope.Scope)
	return nil
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start has nothing to start.
func (m *Module) Start(context.Context) error { return nil }

// Cleanup has nothing to release.
func (m *Module) Cleanup(context.Context) error { return nil }
