package telemetry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/julienschmidt/httprouter"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

const (
	// Path is where the metrics are served.
	Path = "/metrics"
	// headerTimeout limits the time in which a collector must send a request's header.
	headerTimeout = 5 * time.Second
)

// port serves the metrics, and nothing else, without authentication.
type port struct {
	listener net.Listener
	server   *http.Server
	tasks    conc.WaitGroup
}

// listen opens a port; an empty address opens none and returns nil.
func listen(address string, metrics http.Handler) (*port, error) {
	if address == "" {
		return nil, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "listen for collectors of metrics", address)
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, Path, metrics)
	return &port{listener: listener, server: &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout}}, nil
}

func (p *port) start() {
	p.tasks.Go(func() {
		if err := p.server.Serve(p.listener); !errors.Is(err, http.ErrServerClosed) {
			log.Error().Err(err).Str("step", "serve metrics").Msg("listener failed")
		}
	})
}

// close also closes a port that was not started.
func (p *port) close(context.Context) error {
	err := p.server.Close()
	if closed := p.listener.Close(); !errors.Is(closed, net.ErrClosed) {
		err = errors.Join(err, closed)
	}
	p.tasks.Wait()
	return steperr.Wrap(err, "close port for metrics", "")
}
