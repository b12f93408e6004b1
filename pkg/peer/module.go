package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
	"github.com/rattanhitch/rattanhitch/pkg/telemetry"
	"github.com/rattanhitch/rattanhitch/pkg/tlsfiles"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "peer"

func init() {
	kernel.Register(kernel.Info{ID: ModuleID, After: []string{intake.ModuleID, telemetry.ModuleID}, New: func() kernel.Module { return &Module{} }})
}

// Module owns the daemon's Node.
type Module struct {
	Node *Node
	// Self is the identity of this host, with the incarnation of this process.
	Self Identity
}

var _ kernel.Module = (*Module)(nil)

// Provision opens the listener for peers. Connections are accepted after Start.
func (m *Module) Provision(app *kernel.App) error {
	s := app.Settings
	var (
		scope  *telemetry.Module
		limits *intake.Module
	)
	err := kernel.Bind(app, kernel.To(&scope, telemetry.ModuleID), kernel.To(&limits, intake.ModuleID))
	if err != nil {
		return err
	}
	tlsConfig, err := peerTLS(s)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.PeerListen)
	if err != nil {
		return steperr.Wrap(err, "listen for peers", s.PeerListen)
	}
	m.Self = Identity{
		Host: s.Host, Incarnation: uint64(time.Now().UnixMicro()), FailureDomain: s.EffectiveDispatchDomain(), Place: s.FailureDomain,
		Region: s.Region,
	}
	m.Node = New(Options{
		Self: m.Self, Listener: listener, TLS: tlsConfig, Scope: scope.Scope, MaxHandshakes: limits.Handshakes(),
	})
	return nil
}

func peerTLS(s settings.Settings) (*tls.Config, error) {
	if s.TLSCert == "" {
		return nil, nil
	}
	loader, err := tlsfiles.NewLoader(tlsfiles.Files{Cert: s.TLSCert, Key: s.TLSKey, CA: s.TLSCA})
	if err != nil {
		return nil, err
	}
	return loader.PeerConfig(), nil
}

// Validate implements kernel.Module; there is nothing to validate.
func (m *Module) Validate() error { return nil }

// Start starts accepting connections.
func (m *Module) Start(ctx context.Context) error { return m.Node.Start(ctx) }

// Cleanup closes the node and all its sessions.
func (m *Module) Cleanup(context.Context) error {
	if m.Node == nil {
		return nil
	}
	return m.Node.Close()
}
