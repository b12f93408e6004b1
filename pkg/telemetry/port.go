package telemetry

import (
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/rattanhitch/rattanhitch/internal/port"
	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

// MetricsPath is the HTTP path of the metrics.
const MetricsPath = "/metrics"

// listen opens a port that serves only the metrics, without authentication. It returns nil if the address is empty.
func listen(address string, metrics http.Handler, limits *intake.Budget) (*port.Server, error) {
	if address == "" {
		return nil, nil
	}
	router := httprouter.New()
	router.Handler(http.MethodGet, MetricsPath, metrics)
	return port.Listen("metrics", address, router, limits, limits.OperatorConnections())
}
