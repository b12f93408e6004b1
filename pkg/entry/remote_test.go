package entry

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

type fixedPlaces []Place

func (f fixedPlaces) Places(SteerRequest) []Place { return f }

// twoDomains returns a host without targets that forwards to a second host with one target.
func twoDomains(t *testing.T, places fixedPlaces) (first, second *fixture) {
	second = newFixture(t, 1, func(o *Options) {
		o.Self = peer.Identity{Host: "h2", Incarnation: 9}
		o.Steerer = fixedPlaces{{Host: peer.Address{Host: "h3", Addr: "nowhere"}}}
	})
	first = newFixture(t, 0, func(o *Options) { o.Steerer = places })
	first.handler.opts.Forwarder = first.net
	first.net.serve(t, "h2", second.handler.ForwardedHandler())
	return first, second
}

var atSecond = Place{Host: peer.Address{Host: "h2", Addr: "h2"}}

// Guards against forwarded requests that are forwarded again, and against forwarded responses and refusals that are altered.
func TestForward(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := twoDomains(t, fixedPlaces{atSecond})
		got := first.do("GET", "/lookup/a?size=200000", "")
		is.NoErr(got.err)
		is.Equal(got.body, target.Body("c1", 200000))
		is.True(second.permits.requests[0].Forwarded)
		second.checkReleased(is, outcomeOK)
		second.permits.refuse = &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD}
		got = first.do("GET", "/lookup/a", "")
		is.Equal(got.status, 503) // not forwarded to h3
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		is.Equal(got.header.Get("Rattanhitch-Reason"), "no-capacity")
	})
}

// Guards against a wrong outcome when forwarding fails, and against a next place that is not tried.
func TestForwardFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		handler http.Handler
		status  int
		outcome string
	}{
		{"not connected", nil, 503, "not-run"},
		{"broken", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), 502, "unknown"},
		{"identity of another request", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Rattanhitch-Request-Id", "other")
		}), 502, "unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				is := is.New(t)
				bad := Place{Host: peer.Address{Host: "bad", Addr: "bad"}}
				first, _ := twoDomains(t, fixedPlaces{bad})
				if c.handler != nil {
					first.net.serve(t, "bad", c.handler)
				}
				got := first.do("GET", "/lookup/a", "")
				is.Equal(got.status, c.status)
				is.Equal(got.header.Get("Rattanhitch-Outcome"), c.outcome)
				first.handler.opts.Steerer = fixedPlaces{bad, atSecond}
				is.Equal(first.do("GET", "/lookup/a", "").status, 200)
			})
		})
	}
}

// Guards against a truncated response that looks complete after being forwarded by a second host.
func TestForwardedTruncationAborts(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := twoDomains(t, fixedPlaces{atSecond})
		second.targets[0].SetFaults(target.Faults{Truncate: true})
		is.True(first.do("GET", "/lookup/a?size=200000", "").err != nil)
		second.checkReleased(is, outcomeLost)
	})
}

// reportCounter is a Recorder and a Pacer that counts its calls.
type reportCounter struct{ recorded, failed, paced int }

func (c *reportCounter) Record(_ string, success bool, _ time.Duration) {
	c.recorded++
	if !success {
		c.failed++
	}
}

func (c *reportCounter) Pace(_ context.Context, toHost string, n int) error {
	if toHost == "h1" {
		c.paced += n
	}
	return nil
}

// blockingPacer is a Pacer whose link has no budget.
type blockingPacer struct{}

func (blockingPacer) Pace(ctx context.Context, _ string, _ int) error {
	<-ctx.Done()
	return context.Cause(ctx)
}

// Guards against a request that waits for most of its timeout while no budget of the link to another region is to be had, and ends with
// an unknown outcome because it is sent too late. It must be refused early, as not run.
func TestRequestWithoutLinkBudgetIsRefusedEarly(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		shifted := atSecond
		shifted.Shifted = true
		first, second := twoDomains(t, fixedPlaces{shifted})
		first.handler.opts.Pacer = blockingPacer{}
		start := time.Now()
		got := first.do("GET", "/lookup/a", "", "Request-Timeout", "4")
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		is.True(got.header.Get("Retry-After") != "")
		is.True(time.Since(start) <= time.Second)
		is.Equal(len(second.permits.requests), 0)

		first.handler.work.byRoute[workKey{"lookup", ""}] = 3500 * time.Millisecond
		start = time.Now()
		is.Equal(first.do("GET", "/lookup/a", "", "Request-Timeout", "4").status, 503)
		is.True(time.Since(start) <= 500*time.Millisecond) // work that takes most of the time leaves less for the wait
	})
}

// Guards against requests that both hosts or none count, bytes that bypass the Pacer, and forwarding without the admission
// control of the place.
func TestRecorderPacerAndAdmission(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		capped := atSecond
		capped.Admit = func(context.Context) error { return &permit.RefusedError{RetryAfter: 3 * time.Second} }
		first, second := twoDomains(t, fixedPlaces{atSecond})
		var atFirst, atOther reportCounter
		first.handler.opts.Recorder, second.handler.opts.Recorder, second.handler.opts.Pacer = &atFirst, &atOther, &atOther
		is.Equal(first.do("GET", "/lookup/a?size=200000", "").status, 200)
		is.Equal(atOther, reportCounter{paced: 200000})
		is.Equal(first.do("GET", "/nothing", "").status, 404)
		is.Equal(atFirst, reportCounter{recorded: 1})
		first.handler.opts.Steerer = fixedPlaces{capped}
		got := first.do("GET", "/lookup/a", "")
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Retry-After"), "3")
		is.Equal(atFirst, reportCounter{recorded: 2, failed: 1})
		is.Equal(len(second.permits.requests), 1) // nothing was forwarded
		first.handler.opts.Steerer = fixedPlaces{capped, atSecond}
		is.Equal(first.do("GET", "/lookup/a", "").status, 200)
	})
}
