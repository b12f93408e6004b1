package membership

import (
	"context"

	"github.com/phuslu/log"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "membership"

func init() {
	kernel.Register(kernel.Info{
		ID: ModuleID, After: []string{telemetry.ModuleID, store.ModuleID, peer.ModuleID}, New: func() kernel.Module { return &Module{} },
	})
}

// Module owns the daemon's member table.
type Module struct {
	Tracker *Tracker
	// HeldPermits, Headroom and ConfigVersion supply the content of heartbeats and summaries. Modules that depend on this one
	// set them in their Provision.
	HeldPermits   func() []*peerv1.HeldPermits
	Headroom      func() []*peerv1.ServiceHeadroom
	ConfigVersion func() uint64
	started       bool
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the member table.
func (m *Module) Provision(app *kernel.App) error {
	var (
		scope *telemetry.Module
		p     *store.Module
		node  *peer.Module
	)
	err := kernel.Bind(app,
		kernel.To(&scope, telemetry.ModuleID),
		kernel.To(&p, store.ModuleID),
		kernel.To(&node, peer.ModuleID),
	)
	if err != nil {
		return err
	}
	s := app.Settings
	m.HeldPermits = func() []*peerv1.HeldPermits { return nil }
	m.Headroom = func() []*peerv1.ServiceHeadroom { return nil }
	m.ConfigVersion = func() uint64 { return 0 }
	m.Tracker = New(Options{
		Self: Member{
			Host: s.Host, Incarnation: node.Self.Incarnation, FailureDomain: s.EffectiveDispatchDomain(), Place: s.FailureDomain, Region: s.Region,
			PeerAddress: s.PeerListen, CallerAddress: s.CallerListen, OperatorAddress: s.OperatorListen,
			Capacity: uint32(s.Capacity),
		},
		Caller:        node.Node,
		Registrar:     node.Node,
		HostList:      p.Platform,
		Seeds:         s.Seeds,
		HeldPermits:   func() []*peerv1.HeldPermits { return m.HeldPermits() },
		Headroom:      func() []*peerv1.ServiceHeadroom { return m.Headroom() },
		ConfigVersion: func() uint64 { return m.ConfigVersion() },
		OnSuperseded: func(incarnation uint64) {
			log.Error().Str("step", "membership").Uint64("incarnation", incarnation).
				Msg("another process with this host name has a later incarnation; stop one of the two")
		},
		Scope: scope.Scope,
	})
	return nil
}

// Validate does nothing.
func (m *Module) Validate() error { return nil }

// Start starts heartbeats, gossip and summaries.
func (m *Module) Start(ctx context.Context) error {
	m.Tracker.Start(ctx)
	m.started = true
	return nil
}

// Cleanup stops the tracker. The module frontend announces earlier that the host leaves.
func (m *Module) Cleanup(context.Context) error {
	if m.started {
		m.Tracker.Close()
	}
	return nil
}
