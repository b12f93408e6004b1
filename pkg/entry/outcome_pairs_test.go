package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// sendEnd is how a send to a target ends. A nil serve means that the target accepts no connection.
type sendEnd struct {
	name  string
	runs  bool
	serve func(c *targetConn, r *http.Request)
}

// sendEnds lists the ends of a send that give the caller no response of the target.
var sendEnds = []sendEnd{
	{"lost answer", true, func(c *targetConn, _ *http.Request) { c.ended = true }},
	{"cut response", true, func(c *targetConn, r *http.Request) {
		_, _ = fmt.Fprintf(c.out, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 9\r\n\r\nend", target.HeaderRequestID, r.Header.Get(target.HeaderRequestID))
		c.ended = true
	}},
	{"response of another request", true, func(c *targetConn, _ *http.Request) {
		_, _ = fmt.Fprintf(c.out, "HTTP/1.1 503 Busy\r\n%s: other\r\n%sContent-Length: 0\r\n\r\n", target.HeaderRequestID, notRunHeader)
	}},
	{"bytes that are no response", true, func(c *targetConn, _ *http.Request) { _, _ = io.WriteString(c.out, "garbage\r\n\r\n") }},
	{"status of its own", true, func(c *targetConn, r *http.Request) { c.answer(r, http.StatusServiceUnavailable, "") }},
	{"own status of another process", true, func(c *targetConn, r *http.Request) { c.answer(r, http.StatusMisdirectedRequest, "") }},
	{"shed", false, func(c *targetConn, r *http.Request) { c.answer(r, http.StatusServiceUnavailable, notRunHeader) }},
	{"instance gone", false, func(c *targetConn, r *http.Request) { c.answer(r, http.StatusMisdirectedRequest, notRunHeader) }},
	{"no connection", false, nil},
}

// serveEnd serves a target whose sends all end alike.
func (w *fixture) serveEnd(t *testing.T, name string, end sendEnd) *scriptedTarget {
	tg := newScriptedTarget(func(c *targetConn, r *http.Request) {
		if end.runs {
			c.run(r)
		}
		end.serve(c, r)
	})
	if end.serve != nil {
		w.net.serve(t, name, tg)
	}
	return tg
}

// refusals lists what a dispatcher may answer to the request for a second permit.
var refusals = []error{
	&permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD},
	&permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_DEADLINE},
	&permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET},
	&permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_POISON},
	&permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_RETRY_BUDGET},
	&permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER},
	&permit.RedirectError{FailureDomain: "d2"},
	context.DeadlineExceeded,
}

// refusingAfter grants one permit and refuses all others.
type refusingAfter struct {
	permit.Acquirer
	granted bool
	refusal error
}

func (a *refusingAfter) Acquire(ctx context.Context, q permit.Request) (*permit.Grant, error) {
	if a.granted {
		return nil, a.refusal
	}
	a.granted = true
	return a.Acquirer.Acquire(ctx, q)
}

// forEachWay runs a test for commands and reads, at the host that got the request and at one to which it was forwarded. check gets the host
// that serves the request, and the response.
func forEachWay(t *testing.T, name string, prepare func(t *testing.T, server *fixture), check func(is *is.I, method string, got result)) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, forwarded := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, %s, forwarded %v", name, method, forwarded), func(t *testing.T) {
				bubble.Run(t, func(t *testing.T) {
					is := is.New(t)
					caller := promisingFixture(t)
					server := caller
					if forwarded {
						caller, server = promisingPair(t)
						caller.permits.targets = nil
					}
					prepare(t, server)
					path := map[string]string{http.MethodPost: "/r/c/a", http.MethodGet: "/r/a"}[method]
					got := caller.do(method, path, map[string]string{http.MethodPost: "x"}[method])
					is.NoErr(got.err)
					synctest.Wait()
					check(is, method, got)
					is.Equal(server.permits.open, 0)
				})
			})
		}
	}
}

// Guards against a request that is refused as not run, or a command that is sent again, although an earlier send may have run: for all pairs of
// ends of two sends.
func TestNoPairOfSendsMakesAFalsePromise(t *testing.T) {
	for _, one := range sendEnds {
		for _, two := range sendEnds {
			var a, b *scriptedTarget
			prepare := func(t *testing.T, server *fixture) {
				a, b = server.serveEnd(t, "a", one), server.serveEnd(t, "b", two)
				server.permits.targets = []string{"a", "b"}
			}
			forEachWay(t, one.name+" then "+two.name, prepare, func(is *is.I, method string, got result) {
				ran := a.runsOf("c1") + b.runsOf("c1")
				is.Equal(isPromise(got.status), ran == 0)
				is.Equal(got.header.Get("Rattanhitch-Outcome") == "not-run", ran == 0)
				if method == http.MethodPost && one.runs {
					is.Equal(ran, 1)
				}
			})
		}
	}
}

// Guards against a request that is refused as not run because no second permit is granted, although its first send may have run.
func TestNoRefusalAfterASendMakesAFalsePromise(t *testing.T) {
	for _, one := range sendEnds {
		for _, refusal := range refusals {
			var a *scriptedTarget
			prepare := func(t *testing.T, server *fixture) {
				a = server.serveEnd(t, "a", one)
				server.permits.targets = []string{"a"}
				server.handler.opts.Permits = &refusingAfter{Acquirer: server.permits, refusal: refusal}
			}
			forEachWay(t, fmt.Sprintf("%s then %v", one.name, refusal), prepare, func(is *is.I, _ string, got result) {
				ran := a.runsOf("c1")
				is.Equal(isPromise(got.status), ran == 0)
				is.Equal(got.header.Get("Rattanhitch-Outcome") == "not-run", ran == 0)
			})
		}
	}
}
