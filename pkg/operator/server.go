// Package operator implements the operators' RPC service and the burn rate page.
package operator

import (
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanhitch/rattanhitch/pkg/burn"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	// maxMessageBytes limits the size of a request message.
	maxMessageBytes = 1 << 20
	// watchInterval is the interval between two messages of a WatchDrain or WatchMove stream.
	watchInterval = 500 * time.Millisecond
)

// Options are the dependencies of a Server.
type Options struct {
	Config    *config.Manager
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	Burn      *burn.Recorder
	// InFlight returns the number of callers' requests in flight on this host. If nil, 0 is reported.
	InFlight func() uint32
	// HeldPermits returns the number of permits that this host holds, per target. If nil, none are reported.
	HeldPermits func() []*peerv1.HeldPermits
}

// Server implements operatorv1connect.OperatorServiceHandler.
type Server struct {
	options Options
}

var _ operatorv1connect.OperatorServiceHandler = (*Server)(nil)

// New returns a server and registers the handlers by which other hosts query this one.
func New(options Options) *Server {
	if options.InFlight == nil {
		options.InFlight = func() uint32 { return 0 }
	}
	if options.HeldPermits == nil {
		options.HeldPermits = func() []*peerv1.HeldPermits { return nil }
	}
	s := &Server{options: options}
	options.Registrar.Handle(methodStatus, s.handleStatus)
	options.Registrar.Handle(methodBurn, s.handleBurn)
	return s
}

// Register adds the operators' RPC service and the page /burn to a mux. The caller must wrap the mux with Authenticate.
func (s *Server) Register(mux *http.ServeMux) {
	path, handler := operatorv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, handler)
	mux.HandleFunc("GET /burn", s.serveBurnPage)
}
