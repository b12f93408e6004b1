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
)

// headerTimeout is the read timeout for the header of a request.
const headerTimeout = 5 * time.Second

// Server is an HTTP server with its listener.
type Server struct {
	purpose    string
	listener   net.Listener
	server     *http.Server
	background conc.WaitGroup
}

// Listen opens a TCP listener without serving it yet. The purpose, for example "metrics", is part of errors and log lines.
func Listen(purpose, address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for "+purpose, address)
	}
	return &Server{
		purpose: purpose, listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
	}, nil
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
