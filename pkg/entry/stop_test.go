package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Guards against a planned stop that aborts requests in flight: a slow request, a long response or a command.
func TestShutdownCompletesRequestsInFlight(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 2, func(o *Options) { o.Commands = directExecutor{} })
		server := w.net.serve(t, "entry", w.handler)
		idle := w.net.client(t)
		resp, err := idle.Get("http://entry/lookup/a")
		is.NoErr(err)
		resp.Body.Close()

		var wg sync.WaitGroup
		var mu sync.Mutex
		whole := 0
		for _, c := range []struct{ method, url, want string }{
			{"GET", "/lookup/a?work=3s", string(target.Body("c1", 0))},
			{"GET", "/lookup/files?work=2s&size=2000000", string(target.Body("c1", 2000000))},
			{"POST", "/lookup/pay?work=4s", string(target.Body("c1", 0))},
		} {
			wg.Go(func() {
				got := w.do(c.method, c.url, "", "Idempotency-Key", "k", "Request-Timeout", "20")
				mu.Lock()
				defer mu.Unlock()
				if got.err == nil && got.closing && string(got.body) == c.want {
					whole++
				}
			})
		}
		synctest.Wait()
		is.Equal(w.handler.InFlight(), 3)
		w.handler.SetLeaving(true)
		start := time.Now()
		is.NoErr(server.Shutdown(context.Background()))
		is.Equal(w.handler.InFlight(), 0)
		is.True(time.Since(start) >= 4*time.Second) // virtual time: the command in flight has ended
		wg.Wait()
		is.Equal(whole, 3)
		w.checkReleased(is, outcomeOK, outcomeShed, outcomeOK, outcomeOK, outcomeOK) // three requests for the first target's two slots
	})
}

// Guards against a request that is taken by a host which is about to end and cut when its process ends, although another host could serve
// it, and against refusals of requests that have enough time.
func TestRequestsThatMayBeCutAreRefused(t *testing.T) {
	const untilEnd = 3 * time.Second
	for _, c := range []struct {
		name, method string
		timeout      string // seconds
		expected     time.Duration
		served       bool
	}{
		{"command whose deadline comes first", "POST", "2.9", 0, true},
		{"command with a later deadline", "POST", "3.1", 100 * time.Millisecond, false},
		{"read whose deadline comes first", "GET", "2.9", 10 * time.Second, true},
		{"read of unknown time", "GET", "3.1", 0, false},
		{"short read", "GET", "10", time.Second, true},
		{"long read", "GET", "10", 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 1, func(o *Options) { o.Commands = directExecutor{} })
				w.permits.expected = c.expected
				w.handler.SetLeaving(true)
				is.Equal(w.do(c.method, "/lookup/a", "", "Idempotency-Key", "k", "Request-Timeout", c.timeout).status, 200) // drained, not stopping
				w.handler.SetEnd(time.Now().Add(untilEnd))
				got := w.do(c.method, "/lookup/a", "", "Idempotency-Key", "k", "Request-Timeout", c.timeout)
				runs := w.targets[0].Report().Total - 1
				if c.served {
					is.Equal(got.status, 200)
					is.Equal(runs, 1)
					return
				}
				is.Equal(got.status, 503)
				is.Equal(got.header.Get("Rattanhitch-Reason"), "host-leaving")
				is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
				is.True(got.closing)
				is.Equal(runs, 0)
				is.Equal(w.permits.open, 0)
			})
		})
	}
}

// Guards against a request that ends with the refusal of a host of another failure domain which is about to end.
func TestForwardedRequestOfALeavingHostIsServedElsewhere(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := twoDomains(t, fixedPlaces{atSecond, {}})
		first.net.serve(t, "own", target.New(target.Options{}))
		first.permits.targets = []string{"own"}
		second.handler.SetEnd(time.Now().Add(time.Second))
		got := first.do("GET", "/lookup/a", "")
		is.Equal(got.status, 200)
		is.Equal(second.targets[0].Report().Total, 0)
	})
}

// Guards against a shutdown that works over the in-memory connections of the other tests but not over TCP.
func TestShutdownOverLoopback(t *testing.T) {
	is := is.New(t)
	serve := func(handler http.Handler) (*http.Server, string) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		server := &http.Server{Handler: handler}
		go server.Serve(l)
		t.Cleanup(func() { server.Close() })
		return server, l.Addr().String()
	}
	started, proceed := make(chan struct{}), make(chan struct{})
	_, address := serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Write(target.Body("c1", 1000000))
		close(started)
		<-proceed
		w.Write(target.Body("c1", 1000000))
	}))
	handler := New(Options{Store: testStore(), Permits: &permits{targets: []string{address}}, Steerer: LocalOnly{}})
	server, entryAddress := serve(handler)
	w := &fixture{client: &http.Client{Transport: &http.Transport{
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, network, entryAddress)
		},
	}}}
	results := make(chan result)
	go func() { results <- w.do("GET", "/lookup/files", "") }()
	<-started
	handler.SetLeaving(true)
	done := make(chan error)
	go func() { done <- server.Shutdown(context.Background()) }()
	close(proceed)
	got := <-results
	is.NoErr(got.err)
	is.Equal(len(got.body), 2000000)
	is.NoErr(<-done)
	is.Equal(handler.InFlight(), 0)
	handler.Close()
}

// Guards against a request that is cut off because its connection seemed to stay open: the response before it belongs to a request from
// before the leave, and ended just before the host closed its idle connections.
func TestResponsesOfRequestsBeforeTheLeaveCloseTheConnection(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) { o.Commands = directExecutor{} })
		for _, method := range []string{"GET", "POST"} {
			w.handler.SetLeaving(false)
			time.AfterFunc(500*time.Millisecond, func() { w.handler.SetLeaving(true) })
			got := w.do(method, "/lookup/a?work=1s", "", "Idempotency-Key", "k")
			is.NoErr(got.err)
			is.Equal(got.status, 200)
			is.True(got.closing)
		}
		is.True(w.do("GET", "/nothing", "").closing)
	})
}

// silentAcquirer is a dispatcher that does not answer.
type silentAcquirer struct{}

func (silentAcquirer) Acquire(ctx context.Context, _ permit.Request) (*permit.Grant, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// Guards against a read that still waits for a permit when its host ends, and gets no answer.
func TestNoRequestWaitsForAPermitBeyondTheEnd(t *testing.T) {
	const untilEnd = time.Second
	for _, path := range []string{"/r/a", "/lookup/a"} {
		t.Run(path, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				w := newFixture(t, 1, func(o *Options) {
					if path == "/r/a" {
						o.Store = ruleStore()
					}
				})
				w.permits.expected = 200 * time.Millisecond
				is.NoErr(w.do("GET", path, "").err)
				w.handler.opts.Permits = silentAcquirer{}
				start := time.Now()
				w.handler.SetEnd(start.Add(untilEnd))
				got := w.do("GET", path, "")
				is.NoErr(got.err)
				is.Equal(got.status, http.StatusServiceUnavailable)
				is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
				is.True(time.Since(start) < untilEnd)
			})
		})
	}
}
