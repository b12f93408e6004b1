package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// unlimitedAcquirer grants the same target for every request, or refuses every request.
type unlimitedAcquirer struct {
	address string
	refuse  error
}

func (f unlimitedAcquirer) Acquire(_ context.Context, q permit.Request) (*permit.Grant, error) {
	if f.refuse != nil {
		return nil, f.refuse
	}
	return &permit.Grant{Target: "t", Address: f.address, Deadline: q.Deadline, Release: func(permit.Observation) {}}, nil
}

var overloaded = &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, RetryAfter: time.Second}

func listen(b *testing.B, handler http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	b.Cleanup(func() { server.Close() })
	return l.Addr().String()
}

func benchTarget(b *testing.B) string {
	return listen(b, target.New(target.Options{Slots: 1000}))
}

func benchHandler(b *testing.B, permits permit.Acquirer) *Handler {
	h := New(Options{Store: testStore(), Permits: permits, Steerer: LocalOnly{}})
	b.Cleanup(h.Close)
	return h
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureLoad requests a URL from parallel callers and reports the CPU time of callers, host and target together.
func measureLoad(b *testing.B, url string, want int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2 * runtime.GOMAXPROCS(0), DisableCompression: true}}
	b.ReportAllocs()
	b.ResetTimer()
	start := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Get(url)
			if err != nil || resp.StatusCode != want {
				b.Error("unexpected answer", err)
				return
			}
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
	})
	b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N)/1000, "cpu-us/op")
	b.StopTimer()
	client.CloseIdleConnections()
}

// BenchmarkLoopback measures requests over the loopback interface. The CPU cost of the entry path is the difference between Entry
// and Direct.
func BenchmarkLoopback(b *testing.B) {
	for _, size := range []string{"", "?size=65536", "?size=1048576", "?size=10485760"} {
		b.Run("Direct"+size, func(b *testing.B) { measureLoad(b, "http://"+benchTarget(b)+"/a"+size, 200) })
		b.Run("Entry"+size, func(b *testing.B) {
			h := benchHandler(b, unlimitedAcquirer{address: benchTarget(b)})
			measureLoad(b, "http://"+listen(b, h)+"/lookup/a"+size, 200)
		})
	}
	b.Run("Refusal", func(b *testing.B) {
		measureLoad(b, "http://"+listen(b, benchHandler(b, unlimitedAcquirer{refuse: overloaded}))+"/lookup/a", 503)
	})
	empty := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) })
	b.Run("EmptyHandler", func(b *testing.B) { measureLoad(b, "http://"+listen(b, empty)+"/lookup/a", 503) })
}

// BenchmarkHandler measures the handler without a connection to the caller, for a served and for a refused request.
func BenchmarkHandler(b *testing.B) {
	run := func(b *testing.B, permits permit.Acquirer) {
		h := benchHandler(b, permits)
		r := httptest.NewRequest("GET", "/lookup/a", nil)
		b.ReportAllocs()
		start := cpuTime()
		for b.Loop() {
			h.ServeHTTP(httptest.NewRecorder(), r)
		}
		b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/float64(b.N)/1000, "cpu-us/op")
	}
	b.Run("Served", func(b *testing.B) { run(b, unlimitedAcquirer{address: benchTarget(b)}) })
	b.Run("Refused", func(b *testing.B) { run(b, unlimitedAcquirer{refuse: overloaded}) })
}
