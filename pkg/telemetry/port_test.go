package telemetry

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/intake"
)

// Guards against metrics that a collector cannot fetch, and against an unauthenticated port that serves other paths as well.
func TestPortServesMetricsOnly(t *testing.T) {
	is := is.New(t)
	none, err := listen("", http.NotFoundHandler(), nil)
	is.NoErr(err)
	is.True(none == nil)
	limits := intake.NewBudget(intake.Limits{MemoryBytes: 64 << 20, Descriptors: 1000})
	p, err := listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "up 1\n") }), limits)
	is.NoErr(err)
	p.Start()
	base := "http://" + p.Address()
	resp, err := http.Get(base + MetricsPath)
	is.NoErr(err)
	body, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(string(body), "up 1\n")
	resp, err = http.Get(base + "/debug/pprof/")
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusNotFound)
	is.NoErr(p.Close())
	_, err = http.Get(base + MetricsPath)
	is.True(err != nil)
}
