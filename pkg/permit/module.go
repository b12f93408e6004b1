package permit

import (
	"context"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the ID under which the module is registered with the kernel.
const ModuleID = "permit"

func init() {
	kernel.Register(kernel.Info{
		ID: ModuleID, After: []string{telemetry.ModuleID, peer.ModuleID, membership.ModuleID, config.ModuleID, store.ModuleID},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module is the kernel module that owns the permit manager of the daemon.
type Module struct {
	Manager *Manager
}

var _ kernel.Module = (*Module)(nil)

// Provision creates the manager and makes it the source of the held permits in heartbeats and of the headroom reports.
func (m *Module) Provision(app *kernel.App) error {
	var (
		node    *peer.Module
		members *membership.Module
		conf    *config.Module
		scope   *telemetry.Module
		p       *store.Module
	)
	err := kernel.Bind(app,
		kernel.To(&node, peer.ModuleID),
		kernel.To(&members, membership.ModuleID),
		kernel.To(&conf, config.ModuleID),
		kernel.To(&scope, telemetry.ModuleID),
		kernel.To(&p, store.ModuleID),
	)
	if err != nil {
		return err
	}
	m.Manager = NewManager(Options{
		Store: conf.Store, View: members.Tracker, Caller: node.Node, Registrar: node.Node,
		Table: p.Platform, FailureDomain: app.Settings.EffectiveDispatchDomain(),
		ShiftShare: app.Settings.ShiftPercent / 100, ShiftWindow: app.Settings.ShiftWindow,
		RetryRatio: app.Settings.RetryPercent / 100, RetryBurst: float64(app.Settings.RetryBurst),
		Scope: scope.Scope,
		DomainLoads: func(service string) []DomainLoad {
			return domainLoads(members.Tracker, conf.Store.Current(), service)
		},
		LastReportedPermits: func(host string) []*peerv1.HeldPermits { return lastReportedPermits(members.Tracker, host) },
	})
	members.HeldPermits = m.Manager.HeldPermits
	members.Headroom = m.Manager.Headroom
	return nil
}

// lastReportedPermits returns what a host's last heartbeat reported, with deadlines relative to now.
func lastReportedPermits(tracker *membership.Tracker, host string) []*peerv1.HeldPermits {
	reports, _, _ := tracker.LastReportedPermits(host)
	list := make([]*peerv1.HeldPermits, 0, len(reports))
	for _, r := range reports {
		left := time.Until(r.Deadline)
		if left <= 0 {
			continue
		}
		list = append(list, &peerv1.HeldPermits{
			Service: r.Service, Target: r.Target, Count: uint32(r.Count), LatestDeadlineMs: uint32(left.Milliseconds()) + 1,
		})
	}
	return list
}

// Validate always succeeds: the module has no settings of its own.
func (m *Module) Validate() error { return nil }

// Start starts the dispatchers of this host.
func (m *Module) Start(context.Context) error {
	m.Manager.Start()
	return nil
}

// Cleanup stops the dispatchers and waits until they have ended.
func (m *Module) Cleanup(context.Context) error {
	if m.Manager != nil {
		m.Manager.Close()
	}
	return nil
}
