// Package frontend serves callers: it owns their listener, routes their requests to the lookup and the entry handler, and stops
// gracefully.
package frontend

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/admin"
	"github.com/rattanhitch/rattanhitch/pkg/budget"
	"github.com/rattanhitch/rattanhitch/pkg/burn"
	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/lookup"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/overload"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
	"github.com/rattanhitch/rattanhitch/pkg/steering"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
	"github.com/rattanhitch/rattanhitch/pkg/tunnel"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "frontend"

const (
	// headerTimeout limits the time that a caller may take to send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is the time after which a connection without requests is closed.
	idleTimeout = 2 * time.Minute
	// silentTimeout is how long a connection may be open without a request while the host waits for its last ones.
	silentTimeout = 500 * time.Millisecond
	// headerMargin, in bytes, is added to the header limit of net/http, which is thus never reached: the listener refuses longer heads before.
	headerMargin = 64 << 10
)

func init() {
	kernel.Register(kernel.Info{
		ID:    ModuleID,
		After: []string{intake.ModuleID, telemetry.ModuleID, peer.ModuleID, membership.ModuleID, config.ModuleID, permit.ModuleID, command.ModuleID, budget.ModuleID, burn.ModuleID, admin.ModuleID, overload.ModuleID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module is the kernel module that serves callers.
type Module struct {
	// Entry handles all requests that are not for this system's own paths.
	Entry *entry.Handler
	// Dial opens direct connections to targets; nil means tunnel.NewDirect. Set it before Provision.
	Dial     upstream.DialFunc
	tunnels  *tunnel.Dialer
	members  *membership.Module
	store    *config.Store
	cancel   context.CancelFunc
	settings settings.Settings
	limits   *intake.Budget
	listener *intake.Listener
	server   *http.Server
	tasks    conc.WaitGroup
	started  bool
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the handlers and listens for callers.
func (m *Module) Provision(app *kernel.App) error {
	m.settings = app.Settings
	var (
		conf        *config.Module
		adminModule *admin.Module
		limits      *intake.Module
	)
	err := kernel.Bind(app,
		kernel.To(&limits, intake.ModuleID),
		kernel.To(&conf, config.ModuleID),
		kernel.To(&m.members, membership.ModuleID),
		kernel.To(&adminModule, admin.ModuleID),
	)
	if err != nil {
		return err
	}
	m.store, m.limits = conf.Store, limits.Budget
	if err := m.provisionEntry(app, conf); err != nil {
		return err
	}
	adminModule.InFlight, adminModule.ConfigOutdated = m.Entry.InFlight, m.Entry.ConfigOutdated
	lookupHandler := lookup.New(lookup.Options{
		Members: m.members.Tracker, Config: conf.Store, Prefixes: prefix.NewStore(),
		FailureDomain: m.settings.EffectiveDispatchDomain(), Region: m.settings.Region, TTL: m.settings.LookupTTL,
	})
	m.server = &http.Server{
		Handler:           newRouter(lookupHandler, m.Entry),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    m.settings.MaxHeaderBytes + headerMargin,
	}
	return m.listen()
}

// listen opens the port for callers, within the limits of the host.
func (m *Module) listen() error {
	inner, err := net.Listen("tcp", m.settings.CallerListen)
	if err != nil {
		return steperr.Wrap(err, "listen for callers", m.settings.CallerListen)
	}
	m.listener = m.limits.Listen(inner, intake.Port{
		Name: "callers", Connections: m.limits.CallerConnections(), MaxHeadBytes: m.Entry.MaxHeadBytes,
		Refusal: func(r intake.Reason) []byte { return m.Entry.EncodeRefusal(entry.RefusalFor(r)) },
	})
	m.listener.Attach(m.server)
	return nil
}

func (m *Module) provisionEntry(app *kernel.App, conf *config.Module) error {
	var (
		scope    *telemetry.Module
		node     *peer.Module
		permits  *permit.Module
		commands *command.Module
		counts   *burn.Module
		budgets  *budget.Module
		load     *overload.Module
	)
	err := kernel.Bind(app,
		kernel.To(&scope, telemetry.ModuleID),
		kernel.To(&node, peer.ModuleID),
		kernel.To(&permits, permit.ModuleID),
		kernel.To(&commands, command.ModuleID),
		kernel.To(&counts, burn.ModuleID),
		kernel.To(&budgets, budget.ModuleID),
		kernel.To(&load, overload.ModuleID),
	)
	if err != nil {
		return err
	}
	s := app.Settings
	requestDialect, err := dialect.Get(s.Dialect)
	if err != nil {
		return err
	}
	waitTracker := steering.NewWaitTracker(permits.Manager)
	headroom := steering.NewHeadroom(s.EffectiveDispatchDomain(), waitTracker, m.members.Tracker)
	planner := steering.NewPlanner(conf.Store, headroom, s.EffectiveDispatchDomain(), s.Region)
	steerer := steering.NewSteerer(planner, m.members.Tracker, budgets.Admit)
	targets := &domainTargets{store: conf.Store, domain: s.EffectiveDispatchDomain()}
	m.tunnels = tunnel.New(tunnel.Options{
		Dial: m.Dial, Forwarder: node.Node, Members: m.members.Tracker, Targets: targets.list, Place: s.FailureDomain,
		SetIsolated: m.setIsolated, Forbids: permits.Manager.ForbidsAddress, Scope: scope.Scope,
	})
	m.Entry = entry.New(entry.Options{
		Store:      conf.Store,
		Permits:    waitTracker,
		Steerer:    steerer,
		FindRemote: steerer.Find,
		Forwarder:  node.Node,
		Commands:   commands.Executor,
		Dial:       m.tunnels.DialContext,
		Paths:      m.tunnels,
		Dialect:    requestDialect,
		Freshness:  conf,
		Load:       load.Meter,
		Recorder:   burn.RequestRecorder{Recorder: counts.Recorder},
		Pacer:      budgets.Pacer,
		Scope:      scope.Scope,
		Self:       node.Self,
		Limits:     entry.Limits{MaxHeaderBytes: s.MaxHeaderBytes},
		Answers:    m.limits.Answers,
		Heads:      m.limits.Heads,
		Bodies:     m.limits.Bodies,
	})
	node.Node.HandleForward(m.tunnels.Handler(m.Entry.ForwardedHandler()))
	return nil
}

// setIsolated tells the other hosts whether this host reaches no target. The connections that it has may not work then.
func (m *Module) setIsolated(isolated bool) {
	if isolated {
		m.Entry.CloseIdle()
	}
	m.members.Tracker.SetTargetsUnreachable(isolated)
}

// newRouter routes lookups to lookupHandler and all other requests to entryHandler.
func newRouter(lookupHandler, entryHandler http.Handler) http.Handler {
	router := httprouter.New()
	router.RedirectTrailingSlash = false
	router.RedirectFixedPath = false
	router.HandleMethodNotAllowed = false
	router.HandleOPTIONS = false
	router.Handler(http.MethodGet, lookup.Path, lookupHandler)
	router.NotFound = entryHandler
	return router
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start begins to serve callers.
func (m *Module) Start(ctx context.Context) error {
	m.started = true
	ctx, m.cancel = context.WithCancel(ctx)
	m.tasks.Go(func() { m.watchDrains(ctx, m.store) })
	m.tasks.Go(func() {
		if err := m.server.Serve(m.listener); err != nil && err != http.ErrServerClosed {
			log.Error().Err(err).Str("step", "serve callers").Msg("listener failed")
		}
	})
	return nil
}

// Cleanup stops gracefully. It announces that the host leaves and keeps serving for the announce time, because callers still
// use cached lookups. It then waits for the requests in flight, including those forwarded by other hosts, for the drain
// timeout at most.
func (m *Module) Cleanup(ctx context.Context) error {
	if !m.started {
		return m.closeListener()
	}
	m.cancel()
	defer m.tunnels.Close()
	m.Entry.SetLeaving(true)
	m.Entry.SetEnd(time.Now().Add(m.settings.AnnounceFor + m.settings.DrainTimeout))
	m.announce(ctx)
	// A separate deadline for the drain leaves time for the cleanup of the other modules if requests do not end.
	ctx, cancel := context.WithTimeout(ctx, m.settings.DrainTimeout)
	defer cancel()
	err := m.shutDown(ctx)
	if err != nil {
		_ = m.server.Close()
	}
	m.tasks.Wait()
	m.waitForForwarded(ctx)
	if n := m.Entry.InFlight(); n > 0 {
		return steperr.New("drain", "", "%d requests were still in flight at the end of the drain", n)
	}
	m.Entry.Close()
	return steperr.Wrap(err, "drain", "")
}

// shutDown closes the listener and waits for the connections with requests. net/http would also wait for those on which no request has begun, for
// longer than most drains last, although their callers may have nothing to send.
func (m *Module) shutDown(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var closing conc.WaitGroup
	defer closing.Wait()
	defer cancel()
	closing.Go(func() {
		for ctx.Err() == nil {
			m.listener.CloseIdle(silentTimeout)
			sleep.For(ctx, silentTimeout/10)
		}
	})
	return m.server.Shutdown(ctx)
}

// announce notifies other hosts that this host leaves and returns after the announce time, whether or not they confirm.
func (m *Module) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.AnnounceFor)
	defer cancel()
	var leaving conc.WaitGroup
	defer leaving.Wait()
	leaving.Go(func() {
		if err := m.members.Tracker.Leave(ctx); err != nil {
			log.Warn().Err(err).Str("step", "announce stop").Msg("no live host of the failure domain confirmed the leave")
		}
	})
	sleep.For(ctx, m.settings.AnnounceFor)
}

// waitForForwarded waits for requests that other hosts forwarded, and for tunnels of other hosts. They arrive over peer sessions, so
// http.Server.Shutdown does not wait for them.
func (m *Module) waitForForwarded(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for m.Entry.InFlight()+m.tunnels.Serving() > 0 && ctx.Err() == nil {
		sleep.For(ctx, interval)
	}
}

func (m *Module) closeListener() error {
	if m.listener == nil {
		return nil
	}
	return m.listener.Close()
}
