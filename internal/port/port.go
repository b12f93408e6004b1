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
	use      string
	listener net.Listener
	server   *http.Server
	tasks    conc.WaitGroup
}

// Listen opens a TCP listener without serving it yet. use names its purpose in errors and log lines, for example "metrics".
func Listen(use, address string, handler http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for "+use, address)
	}
	return &Server{
		use: use, listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
	}, nil
}

// Address returns the address of the listener, with the port number that the system chose if none was given.
func (p *Server) Address() string { return p.listener.Addr().String() }

// Start serves requests in the background until Close.
func (p *Server) Start() {
	p.tasks.Go(func() {
		if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Str("step", "serve "+p.use).Msg("listener failed")
		}
	})
}

// Close aborts requests in progress and closes the listener, also if Start was not called.
func (p *Server) Close() error {
	err := p.server.Close()
	// http.Server.Close closes only the listeners that Serve was called with.
	if closed := p.listener.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	p.tasks.Wait()
	return steperr.Wrap(err, "close port for "+p.use, p.Address())
}
