// Package admin serves the operator port: the operators' RPC service, metrics, health checks and profiles.
package admin

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/internal/port"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/burn"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/operator"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
	"github.com/rattanhitch/rattanhitch/pkg/tlsfiles"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "admin"

const (
	// headerTimeout limits the time that a client may take to send a request's header.
	headerTimeout = 10 * time.Second
	// shutdownTimeout limits the wait for operators' requests in progress when the port closes.
	shutdownTimeout = 2 * time.Second
	// profilesPath is the path prefix that the handlers of net/http/pprof require.
	profilesPath = "/debug/pprof/"
)

func init() {
	kernel.Register(kernel.Info{
		ID: ModuleID, After: []string{intake.ModuleID, telemetry.ModuleID, peer.ModuleID, membership.ModuleID, config.ModuleID, permit.ModuleID, burn.ModuleID},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module is the kernel module that serves the operator port.
type Module struct {
	// InFlight returns the number of callers' requests in flight. The module frontend sets it in its Provision. The frontend is
	// cleaned up before this module, so operators can watch the drain of a stop.
	InFlight func() int
	// ConfigOutdated reports whether this host refuses requests because it is behind with its configuration. The module frontend sets it, too.
	ConfigOutdated func(now time.Time) bool
	router         *httprouter.Router
	conf           *config.Module
	members        *membership.Module
	listener       net.Listener
	server         *http.Server
	tasks          conc.WaitGroup
	started        bool
}

var _ kernel.Module = (*Module)(nil)

// Provision builds the routes and opens the listener for operators.
func (m *Module) Provision(app *kernel.App) error {
	var (
		scope  *telemetry.Module
		limits *intake.Module
	)
	err := kernel.Bind(app,
		kernel.To(&limits, intake.ModuleID),
		kernel.To(&scope, telemetry.ModuleID),
		kernel.To(&m.conf, config.ModuleID),
		kernel.To(&m.members, membership.ModuleID),
	)
	if err != nil {
		return err
	}
	m.InFlight = func() int { return 0 }
	m.ConfigOutdated = func(time.Time) bool { return false }
	m.router = httprouter.New()
	m.router.Handler(http.MethodGet, "/metrics", scope.Handler())
	registerProfiles(m.router)
	if err := m.provisionOperatorServer(app); err != nil {
		return err
	}
	m.server = &http.Server{
		Handler:           withTLS(m.routes(operator.Authenticate(app.Settings.OperatorListen, app.Settings.OperatorToken, m.router))),
		ReadHeaderTimeout: headerTimeout,
	}
	listener, err := listen(app.Settings)
	if err != nil {
		return steperr.Wrap(err, "listen for operators", app.Settings.OperatorListen)
	}
	m.listener = port.Limit("operators", listener, m.server, limits.Budget, limits.OperatorConnections())
	return nil
}

// withTLS sets the state of the TLS connection of a request, which net/http does not see behind the listener with the limits.
func withTLS(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.TLS = intake.FromContext(r.Context()).TLS()
		next.ServeHTTP(w, r)
	})
}

// routes serves the health checks without authentication, because probes have no credentials, and passes all other requests to
// the authenticated handler.
func (m *Module) routes(authenticated http.Handler) http.Handler {
	healthRouter := httprouter.New()
	healthRouter.HandlerFunc(http.MethodGet, "/healthz", m.health)
	healthRouter.HandlerFunc(http.MethodGet, "/readyz", m.ready)
	healthRouter.NotFound = authenticated
	healthRouter.HandleMethodNotAllowed = false
	return healthRouter
}

// provisionOperatorServer adds the operators' RPC service and the burn rate page to the router.
func (m *Module) provisionOperatorServer(app *kernel.App) error {
	var (
		node    *peer.Module
		permits *permit.Module
		counts  *burn.Module
	)
	err := kernel.Bind(app,
		kernel.To(&node, peer.ModuleID),
		kernel.To(&permits, permit.ModuleID),
		kernel.To(&counts, burn.ModuleID),
	)
	if err != nil {
		return err
	}
	server := operator.New(operator.Options{
		Config: m.conf.Manager, View: m.members.Tracker, Caller: node.Node, Registrar: node.Node, Burn: counts.Recorder,
		InFlight: func() uint32 { return uint32(m.InFlight()) }, HeldPermits: permits.Manager.HeldPermits,
	})
	mux := http.NewServeMux()
	server.Register(mux)
	m.router.NotFound = mux
	m.router.HandleMethodNotAllowed = false
	return nil
}

// listen opens the operator port, with TLS if the settings name a certificate. Client certificates are then optional, because
// operators may also authenticate with a token.
func listen(s settings.Settings) (net.Listener, error) {
	listener, err := net.Listen("tcp", s.OperatorListen)
	if err != nil || s.TLSCert == "" {
		return listener, err
	}
	loader, err := tlsfiles.NewLoader(tlsfiles.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA})
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	return tls.NewListener(listener, loader.ServerConfig(tls.VerifyClientCertIfGiven)), nil
}

// registerProfiles serves the paths that go tool pprof and the index page of net/http/pprof use. httprouter does not allow static
// paths beside a catch-all parameter, so one handler dispatches by name.
func registerProfiles(router *httprouter.Router) {
	router.GET(profilesPath+"*name", func(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
		switch params.ByName("name") {
		case "/cmdline":
			pprof.Cmdline(w, r)
		case "/profile":
			pprof.Profile(w, r)
		case "/symbol":
			pprof.Symbol(w, r)
		case "/trace":
			pprof.Trace(w, r)
		default:
			pprof.Index(w, r)
		}
	})
}

// health is the handler of /healthz. It always responds with 200.
func (m *Module) health(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, health{Status: "ok"})
}

// health is the body of /healthz and /readyz.
type health struct {
	Status        string `json:"status"`
	ConfigVersion uint64 `json:"config_version,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
	InFlight      int    `json:"in_flight,omitempty"`
}

// ready is the handler of /readyz. It responds with 503 until a configuration is in force, while the host is leaving, and while it refuses requests
// because it is behind with its configuration.
func (m *Module) ready(w http.ResponseWriter, _ *http.Request) {
	h := health{
		Status:        "ready",
		ConfigVersion: m.conf.Store.Current().ReportedVersion(),
		Leaving:       m.members.Tracker.Self().State == membership.StateLeaving,
		InFlight:      m.InFlight(),
	}
	status := http.StatusOK
	if !m.Ready() {
		h.Status, status = "not ready", http.StatusServiceUnavailable
	}
	writeJSON(w, status, h)
}

// Ready reports whether a configuration is in force, this host can decide by it, and it is not leaving.
func (m *Module) Ready() bool {
	return m.loaded() && !m.ConfigOutdated(time.Now()) && m.members.Tracker.Self().State != membership.StateLeaving
}

func (m *Module) loaded() bool {
	select {
	case <-m.conf.Manager.Ready():
		return true
	default:
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Validate has nothing to check.
func (m *Module) Validate() error { return nil }

// Start begins to serve operators.
func (m *Module) Start(context.Context) error {
	m.started = true
	m.tasks.Go(func() {
		if err := m.server.Serve(m.listener); err != nil && err != http.ErrServerClosed {
			log.Error().Err(err).Str("step", "serve operators").Msg("listener failed")
		}
	})
	return nil
}

// Cleanup closes the port.
func (m *Module) Cleanup(context.Context) error {
	if !m.started {
		if m.listener != nil {
			return m.listener.Close()
		}
		return nil
	}
	// A separate deadline, because ctx may have ended during the drain.
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := m.server.Shutdown(ctx)
	_ = m.server.Close()
	m.tasks.Wait()
	return steperr.Wrap(err, "close operator port", "")
}
