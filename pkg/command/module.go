package command

import (
	"context"

	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the ID under which the module is registered in the kernel.
const ModuleID = "command"

func init() {
	kernel.Register(kernel.Info{
		ID: ModuleID, After: []string{telemetry.ModuleID, store.ModuleID, peer.ModuleID, membership.ModuleID},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module is the kernel module that holds the daemon's command executor.
type Module struct {
	Executor *Executor
	cancel   context.CancelFunc
	tasks    conc.WaitGroup
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the executor and registers its RPC handlers.
func (m *Module) Provision(app *kernel.App) error {
	var (
		scope   *telemetry.Module
		p       *store.Module
		node    *peer.Module
		members *membership.Module
	)
	err := kernel.Bind(app,
		kernel.To(&scope, telemetry.ModuleID),
		kernel.To(&p, store.ModuleID),
		kernel.To(&node, peer.ModuleID),
		kernel.To(&members, membership.ModuleID),
	)
	if err != nil {
		return err
	}
	m.Executor = New(Options{
		Self: node.Self, Table: p.Platform, Caller: node.Node, Members: members.Tracker, Scope: scope.Scope,
	})
	m.Executor.Register(node.Node)
	return nil
}

// Validate implements kernel.Module. There is nothing to check.
func (m *Module) Validate() error { return nil }

// Start starts the periodic deletion of expired claims.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	m.tasks.Go(func() { m.Executor.SweepClaims(ctx) })
	return nil
}

// Cleanup stops the deletion of expired claims and waits for the transactions in progress.
func (m *Module) Cleanup(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.tasks.Wait()
	}
	if m.Executor != nil {
		m.Executor.Close()
	}
	return nil
}
