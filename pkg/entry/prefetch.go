package entry

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// prefetchBytes is how much of a response body is read before the header is sent to the caller. If the response breaks off within it, the
	// request can still be retried at another target. A response that ends within it frees its slot without waiting for a slow caller.
	prefetchBytes = 256 << 10
	// minPrefetchBytes is the size of the first buffer for a body of unknown length.
	minPrefetchBytes = 8 << 10
)

// prefetch reads up to prefetchBytes of the response body, or less if this host has read ahead as much as it may. If that is the whole body, it
// also releases the permit. It returns the answer, or a failure with the attempt finished.
func (h *Handler) prefetch(rq *request, ans *answer) (*answer, *failure) {
	if !h.shouldPrefetch(rq) || ans.resp.Body == http.NoBody {
		return ans, nil
	}
	ans.reserved.From = h.opts.Answers
	start, err := readPart(ans.resp.Body, prefetchBytes, firstPrefetchBytes(ans.resp.ContentLength), func(n int) bool {
		return ans.reserved.Grow(int64(n))
	})
	ans.bytes = uint64(len(start))
	switch {
	case errors.Is(err, io.EOF):
		ans.fullBody = start
		ans.releasePermit(statusOutcome(ans.resp.StatusCode))
		return ans, nil
	case err == nil || errors.Is(err, errNoMemory):
		ans.bodyPrefix = start
		return ans, nil
	}
	return nil, h.responseTruncated(rq, ans, err)
}

// firstPrefetchBytes returns the size of the first buffer for a body with a length, which is negative if it is unknown. One byte more than the body
// has is needed to read its end.
func firstPrefetchBytes(length int64) int {
	if length < 0 {
		return minPrefetchBytes
	}
	return int(min(length+1, prefetchBytes))
}

// shouldPrefetch reports whether the start of the response is prefetched. Callers of requests that match a rule wait for the
// whole response anyway; other callers may need the first bytes early.
func (h *Handler) shouldPrefetch(rq *request) bool { return rq.rule != nil }

// responseTruncated finishes an attempt whose response broke off with err, and classifies err.
func (h *Handler) responseTruncated(rq *request, ans *answer, err error) *failure {
	f := &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, mayHaveRun: true, retryScope: retryTarget,
		err: steperr.Wrap(err, "read response", ans.targetName()),
	}
	ans.silent = isSilence(err)
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
	switch {
	case errors.Is(rq.ctx.Err(), context.Canceled):
		f.status, f.reason, f.retryScope = http.StatusServiceUnavailable, reply.ReasonCallerGone, retryNone
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case ans.ctx.Err() != nil:
		f.status, f.reason, f.retryScope = http.StatusGatewayTimeout, reply.ReasonDeadline, retryNone
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
	}
	_ = ans.resp.Body.Close()
	ans.finish(outcome)
	f.targetEnded = ans.targetEnded
	return f
}

// targetName returns the target of the attempt, or an empty name if it was sent to a remote host.
func (a *attempt) targetName() string {
	if a.grant == nil {
		return ""
	}
	return a.grant.Target
}
