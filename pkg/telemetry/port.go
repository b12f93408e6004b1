package telemetry

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/rattanhitch/rattanhitch/internal/port"
)

// MetricsPath is where the metrics are served.
const MetricsPath = "/metrics"

// listen opens the port that serves the metrics, and nothing else, without authentication. It returns nil for an empty address.
func listen(address string, metrics http.Handler) (*port.Server, error) {
	if address == "" {
		return nil, nil
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, MetricsPath, metrics)
	return port.Listen("metrics", address, router)
}
