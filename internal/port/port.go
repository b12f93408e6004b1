// Package port provides an HTTP server on one TCP address with the life cycle of a module: listen, start, close.
package port

import (
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

const (
	// headerTimeout is the read timeout for the header of a request.
	headerTimeout = 5 * time.Second
	// maxHeadBytes is the longest head of a request that is read.
	maxHeadBytes = 16 << 10
)

// Server is an HTTP server with its listener.
type Server struct {
	purpose    string
	listener   *intake.Listener
	server     *http.Server
	background conc.WaitGroup
}

// Listen opens a TCP listener without serving it yet. The purpose, for example "metrics", is part of errors, metrics and log lines. The heads of its
// requests take part in the budget, and it accepts up to the given number of connections.
func Listen(purpose, address string, handler http.Handler, budget *intake.Budget, connections int) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for "+purpose, address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	return &Server{purpose: purpose, listener: Limit(purpose, listener, server, budget, connections), server: server}, nil
}

// Limit returns a listener for the connections that inner accepts and the server serves, with the limits of Listen. It wraps the handler of the server,
// so that bodies take part in the budget, too.
func Limit(purpose string, inner net.Listener, server *http.Server, budget *intake.Budget, connections int) *intake.Listener {
	listener := budget.Listen(inner, intake.Port{
		Name: purpose, Connections: connections, MaxHeadBytes: func() int { return maxHeadBytes },
	})
	listener.Attach(server)
	server.Handler = budget.LimitBodies(server.Handler)
	return listener
}

// Address returns the address of the listener, with the port number that the system chose if none was given.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Start serves requests in the background until Close.
func (s *Server) Start() {
	s.background.Go(func() {
		if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Str("step", "serve "+s.purpose).Msg("listener failed")
		}
	})
}

// Close aborts requests in progress and closes the listener, also if Start was not called.
func (s *Server) Close() error {
	err := s.server.Close()
	// http.Server.Close closes only the listeners that Serve was called with.
	if closed := s.listener.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	s.background.Wait()
	return steperr.Wrap(err, "close port for "+s.purpose, s.Address())
}
