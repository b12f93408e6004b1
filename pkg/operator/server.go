// Package operator serves the operators' interface.
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
	// maxMessageBytes limits the size of a call's message.
	maxMessageBytes = 1 << 20
	// watchInterval is the period of the messages of WatchDrain and WatchMove.
	watchInterval = 500 * time.Millisecond
)

// Options are what a Server needs.
type Options struct {
	Config    *config.Manager
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	Burn      *burn.Recorder
	// InFlight returns the number of requests in flight on this host; it may be nil.
	InFlight func() uint32
	// HeldPermits returns the permits that this host holds, as counts per target; it may be nil.
	HeldPermits func() []*peerv1.HeldPermits
}

// Server implements operatorv1connect.OperatorServiceHandler.
type Server struct {
	options Options
}

var _ operatorv1connect.OperatorServiceHandler = (*Server)(nil)

// New returns a server and registers its control calls.
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

// Register adds the operators' RPC and the page /burn to a mux. The caller puts Authenticate in front of the mux.
func (s *Server) Register(mux *http.ServeMux) {
	path, handler := operatorv1connect.NewOperatorServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
	mux.Handle(path, handler)
	mux.HandleFunc("GET /burn", s.serveBurnPage)
}
