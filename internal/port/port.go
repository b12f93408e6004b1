// Package port serves HTTP at one address from the start of a module to its end.
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

// headerTimeout limits the time in which a client must send a request's header.
const headerTimeout = 5 * time.Second

// Port is a listener with its server.
type Port struct {
	use      string
	listener net.Listener
	server   *http.Server
	tasks    conc.WaitGroup
}

// Listen opens a port. The use names it in errors and log lines, such as "metrics".
func Listen(use, address string, handler http.Handler) (*Port, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for "+use, address)
	}
	return &Port{
		use: use, listener: listener, server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout},
	}, nil
}

// Address returns where the port listens.
func (p *Port) Address() string { return p.listener.Addr().String() }

// Start serves until Close.
func (p *Port) Start() {
	p.tasks.Go(func() {
		if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Str("step", "serve "+p.use).Msg("listener failed")
		}
	})
}

// Close ends requests in progress and closes the port, also one that was not started.
func (p *Port) Close() error {
	err := p.server.Close()
	// A server that was not started does not know its listener.
	if closed := p.listener.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	p.tasks.Wait()
	return steperr.Wrap(err, "close port for "+p.use, p.Address())
}
