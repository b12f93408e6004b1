// Package frontend serves callers: it owns their listener and the graceful stop.
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
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/lookup"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
	"github.com/rattanhitch/rattanhitch/pkg/steering"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "frontend"

const (
	// headerTimeout limits the time in which a caller must send a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes connections on which no request arrives.
	idleTimeout = 2 * time.Minute
	// headerMargin is what net/http accepts beyond the limit, so that the refusal comes from the entry handler, which
	// states an outcome.
	headerMargin = 64 << 10
)

func init() {
	kernel.Register(kernel.Info{
		ID:    ModuleID,
		After: []string{telemetry.ModuleID, peer.ModuleID, membership.ModuleID, config.ModuleID, permit.ModuleID, command.ModuleID, budget.ModuleID, burn.ModuleID, admin.ModuleID},
		New:   func() kernel.Module { return &Module{} },
	})
}

// Module serves callers.
type Module struct {
	// Entry is the request path.
	Entry    *entry.Handler
	members  *membership.Module
	store    *config.Store
	cancel   context.CancelFunc
	settings settings.Settings
	listener net.Listener
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
	)
	err := kernel.Bind(app,
		kernel.To(&conf, config.ModuleID),
		kernel.To(&m.members, membership.ModuleID),
		kernel.To(&adminModule, admin.ModuleID),
	)
	if err != nil {
		return err
	}
	m.store = conf.Store
	if err := m.provisionEntry(app, conf.Store); err != nil {
		return err
	}
	adminModule.InFlight = m.Entry.InFlight
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
	m.listener, err = net.Listen("tcp", m.settings.CallerListen)
	return steperr.Wrap(err, "listen for callers", m.settings.CallerListen)
}

func (m *Module) provisionEntry(app *kernel.App, store *config.Store) error {
	var (
		scope    *telemetry.Module
		node     *peer.Module
		permits  *permit.Module
		commands *command.Module
		counts   *burn.Module
		budgets  *budget.Module
	)
	err := kernel.Bind(app,
		kernel.To(&scope, telemetry.ModuleID),
		kernel.To(&node, peer.ModuleID),
		kernel.To(&permits, permit.ModuleID),
		kernel.To(&commands, command.ModuleID),
		kernel.To(&counts, burn.ModuleID),
		kernel.To(&budgets, budget.ModuleID),
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
	planner := steering.NewPlanner(store, headroom, s.EffectiveDispatchDomain(), s.Region)
	steerer := steering.NewSteerer(planner, m.members.Tracker, budgets.Admit)
	m.Entry = entry.New(entry.Options{
		Store:      store,
		Permits:    waitTracker,
		Steerer:    steerer,
		FindRemote: steerer.Find,
		RTT:        node.Node.RoundTripTime,
		Forwarder:  node.Node,
		Commands:   commands.Executor,
		Dialect:    requestDialect,
		Recorder:   burn.RequestRecorder{Recorder: counts.Recorder},
		Pacer:      budgets.Pacer,
		Scope:      scope.Scope,
		Self:       node.Self,
		Limits:     entry.Limits{MaxHeaderBytes: s.MaxHeaderBytes},
	})
	node.Node.HandleForward(m.Entry.ForwardedHandler())
	return nil
}

// newRouter sends the paths of this system to their handlers and all others to the request path.
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

// Start serves callers.
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

// Cleanup stops gracefully: it announces that the host leaves, serves on for the announce time, because callers hold
// earlier lookups, and then waits for the requests in flight, forwarded ones included.
func (m *Module) Cleanup(ctx context.Context) error {
	if !m.started {
		return m.closeListener()
	}
	m.cancel()
	m.Entry.SetLeaving(true)
	m.announce(ctx)
	// What the modules below need to stop is not taken from their time by requests that do not end.
	ctx, cancel := context.WithTimeout(ctx, m.settings.DrainTimeout)
	defer cancel()
	err := m.server.Shutdown(ctx)
	if err != nil {
		_ = m.server.Close()
	}
	m.tasks.Wait()
	m.waitForForwarded(ctx)
	if n := m.Entry.InFlight(); n > 0 {
		return steperr.New("drain", "", "%d requests were cut", n)
	}
	m.Entry.Close()
	return steperr.Wrap(err, "drain", "")
}

// announce tells the others that this host leaves and serves on for the announce time, whether or not they answer.
func (m *Module) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.settings.AnnounceFor)
	defer cancel()
	var leaving conc.WaitGroup
	defer leaving.Wait()
	leaving.Go(func() {
		if err := m.members.Tracker.Leave(ctx); err != nil {
			log.Warn().Err(err).Str("step", "announce stop").Msg("no live host of the failure domain confirmed")
		}
	})
	sleep.For(ctx, m.settings.AnnounceFor)
}

// waitForForwarded waits for requests that other hosts forwarded; they come over peer sessions, not over the listener.
func (m *Module) waitForForwarded(ctx context.Context) {
	const interval = 20 * time.Millisecond
	for m.Entry.InFlight() > 0 && ctx.Err() == nil {
		sleep.For(ctx, interval)
	}
}

func (m *Module) closeListener() error {
	if m.listener == nil {
		return nil
	}
	return m.listener.Close()
}
