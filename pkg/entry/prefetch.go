package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// prefetchBytes is the part of a response that is read before its header goes to the caller. A response that breaks off
// within it can still be replaced by another target's, and its slot does not wait for a slow caller.
const prefetchBytes = 256 << 10

// readStart reads a response up to prefetchBytes. It returns the answer, or a failure with the attempt finished.
func (h *Handler) readStart(rq *request, ans *answer) (*answer, *failure) {
	if !h.prefetches(rq) || ans.resp.Body == http.NoBody {
		return ans, nil
	}
	var buf bytes.Buffer
	if n := ans.resp.ContentLength; n > 0 {
		buf.Grow(int(min(n, prefetchBytes)) + bytes.MinRead)
	}
	_, err := io.CopyN(&buf, ans.resp.Body, prefetchBytes)
	ans.bytes = uint64(buf.Len())
	switch {
	case errors.Is(err, io.EOF):
		ans.fullBody = buf.Bytes()
		ans.releasePermit(statusOutcome(ans.resp.StatusCode))
		return ans, nil
	case err == nil:
		ans.bodyPrefix = buf.Bytes()
		return ans, nil
	}
	return nil, h.brokeOff(rq, ans, err)
}

// prefetches reports whether the start of responses is read first. Callers of rules wait for whole answers; others may
// want the first bytes early.
func (h *Handler) prefetches(rq *request) bool { return rq.rule != nil }

// brokeOff finishes an attempt whose response ended early.
func (h *Handler) brokeOff(rq *request, ans *answer, err error) *failure {
	f := &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, mayHaveRun: true, retry: nextTarget,
		err: steperr.Wrap(err, "read response", ans.peer()),
	}
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
	switch {
	case errors.Is(rq.ctx.Err(), context.Canceled):
		f.status, f.reason, f.retry = http.StatusServiceUnavailable, reply.ReasonCallerGone, retryNone
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case ans.ctx.Err() != nil:
		f.status, f.reason, f.retry = http.StatusGatewayTimeout, reply.ReasonDeadline, retryNone
	}
	_ = ans.resp.Body.Close()
	ans.finish(outcome)
	return f
}

// peer names where an attempt was sent.
func (a *attempt) peer() string {
	if a.grant == nil {
		return ""
	}
	return a.grant.Target
}
