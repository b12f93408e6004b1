package intake

import (
	"context"

	"github.com/rattanhitch/rattanhitch/internal/machine"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "intake"

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, New: func() kernel.Module { return &Module{} }})
}

// Module is the kernel module that owns the budget of the host.
type Module struct {
	*Budget
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the budget from the settings and the machine.
func (m *Module) Provision(app *kernel.App) error {
	m.Budget = NewBudget(Limits{
		MemoryBytes: machine.Memory(app.Settings.MemoryLimitMiB), Descriptors: machine.Descriptors(app.Settings.DescriptorLimit),
	})
	return nil
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start has nothing to start.
func (m *Module) Start(context.Context) error { return nil }

// Cleanup has nothing to release.
func (m *Module) Cleanup(context.Context) error { return nil }
