package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

const refusalNoTarget = peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET

type result struct {
	status int
	header http.Header
	body   []byte
	err    error
	// closing is set if the response carries Connection: close.
	closing bool
}

func (w *fixture) do(method, url, body string, header ...string) result {
	return w.doContext(context.Background(), method, url, body, header...)
}

func (w *fixture) doContext(ctx context.Context, method, url, body string, header ...string) result {
	r, _ := http.NewRequestWithContext(ctx, method, "http://entry"+url, strings.NewReader(body))
	r.Header.Set(target.HeaderRequestID, "c1")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	resp, err := w.client.Do(r)
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, data, err, resp.Close}
}

// checkReleased checks that no permit is held and that the permits were released with these outcomes, in this order.
func (w *fixture) checkReleased(is *is.I, outcomes ...peerv1.ReleaseOutcome) {
	is.Helper()
	synctest.Wait()
	w.permits.mu.Lock()
	defer w.permits.mu.Unlock()
	var got []peerv1.ReleaseOutcome
	for _, o := range w.permits.released {
		got = append(got, o.Outcome)
	}
	is.Equal(w.permits.open, 0)
	is.Equal(got, outcomes)
}

const (
	outcomeOK        = peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK
	outcomeError     = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
	outcomeLost      = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
	outcomeCancelled = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	outcomeShed      = peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED
)

// Guards against short and long responses that are incomplete or belong to another caller.
func TestServe(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, nil)
		got := w.do("GET", "/lookup/a?work=20ms", "")
		is.NoErr(got.err)
		is.Equal(got.body, target.Body("c1", 0))
		got = w.do("GET", "/lookup/a?size=3000000", "")
		is.NoErr(got.err)
		is.Equal(got.body, target.Body("c1", 3000000))
		is.Equal(got.header.Get("Rattanhitch-Request-Id"), "") // internal headers do not reach the caller
		w.checkReleased(is, outcomeOK, outcomeOK)
		is.Equal(w.handler.InFlight(), 0)
	})
}

// Guards against refusals with a wrong status, reason or outcome.
func TestRefusals(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		w := newFixture(t, 1, nil)
		for _, c := range []struct {
			method, url, body string
			header            []string
			status            int
			reason            reply.Reason
			outcome           reply.Outcome
		}{
			{"GET", "/nothing/a", "", nil, 404, reply.ReasonUnknownService, reply.NotRun},
			{"POST", "/nothing/a", "", []string{reply.HeaderKey, "k"}, 404, reply.ReasonUnknownService, reply.Unknown},
			{"GET", "/lookup/a", "", []string{"Request-Timeout", "soon"}, 400, reply.ReasonBadTimeout, reply.NotRun},
			{"GET", "/lookup/a", "", []string{"X-Big", strings.Repeat("x", 70000)}, 431, reply.ReasonHeaderTooLarge, reply.NotRun},
			{"PUT", "/lookup/a", strings.Repeat("x", 1<<20+1), nil, 413, reply.ReasonBodyTooLarge, reply.NotRun},
		} {
			is := is.New(t)
			got := w.do(c.method, c.url, c.body, c.header...)
			is.NoErr(got.err)
			is.Equal(got.status, c.status)
			is.Equal(got.header.Get("Rattanhitch-Reason"), string(c.reason))
			is.Equal(got.header.Get("Rattanhitch-Outcome"), string(c.outcome))
		}
		w.permits.refuse = &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, RetryAfter: 1500 * time.Millisecond}
		is := is.New(t)
		got := w.do("GET", "/lookup/a", "")
		is.Equal(got.status, 503)
		is.Equal(got.header.Get("Retry-After"), "2") // rounded up
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
	})
}
