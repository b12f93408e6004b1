package config

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the ID under which the module is registered in the kernel.
const ModuleID = "config"

func init() {
	kernel.Register(kernel.Info{
		ID: ModuleID, After: []string{telemetry.ModuleID, store.ModuleID, peer.ModuleID, membership.ModuleID},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module is the kernel module that holds the daemon's dynamic configuration.
type Module struct {
	Store   *Store
	Manager *Manager
	// source is the external source of the configuration; it is nil if Manager reads the configuration from the platform's
	// table.
	source Source
	cancel context.CancelFunc
	tasks  conc.WaitGroup
}

var _ kernel.Module = (*Module)(nil)

// Provision builds an empty store, the manager and the external source, if one is selected.
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
	m.Store = NewStore()
	members.ConfigVersion = func() uint64 { return m.Store.Current().ReportedVersion() }
	if m.source, err = openSource(app); err != nil {
		return err
	}
	m.Manager = NewManager(p.Platform, m.Store, node.Node, node.Node, members.Tracker, Options{
		PeerVersions: func() map[string]uint64 { return hostVersions(members.Tracker.ConfigVersions()) },
		Scope:        scope.Scope,
		ReadOnly:     m.source != nil,
	})
	return nil
}

// hostVersions returns the reported configuration versions by host name.
func hostVersions(list []membership.PeerConfigVersion) map[string]uint64 {
	versions := make(map[string]uint64, len(list))
	for _, p := range list {
		if p.Host != "" {
			versions[p.Host] = p.Version
		}
	}
	return versions
}

// Age returns the time for which the configuration in force may have been out of date. ok is false if that is not known.
func (m *Module) Age(now time.Time) (age time.Duration, ok bool) {
	if m.source == nil {
		return 0, false
	}
	return m.source.Age(now)
}

// Lag returns the time for which the configuration in force may have been behind what this host could learn from others. ok is false if that is not
// known.
func (m *Module) Lag(now time.Time) (lag time.Duration, ok bool) {
	if m.source == nil {
		return 0, false
	}
	return m.source.Lag(now)
}

// Validate implements kernel.Module. There is nothing to check.
func (m *Module) Validate() error { return nil }

// Start starts the manager, or the external source if there is one.
func (m *Module) Start(ctx context.Context) error {
	ctx, m.cancel = context.WithCancel(ctx)
	if m.source == nil {
		m.tasks.Go(func() { m.Manager.Run(ctx) })
		return nil
	}
	m.tasks.Go(func() { m.source.Run(ctx, m.Store) })
	m.tasks.Go(func() { m.Manager.followSource(ctx) })
	return nil
}

// Cleanup stops the manager or the external source and waits for its tasks.
func (m *Module) Cleanup(context.Context) error {
	if m.cancel != nil {
		m.cancel()
		m.tasks.Wait()
	}
	return nil
}
