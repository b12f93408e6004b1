package entry

import (
	"io"
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// maxDrainBytes and drainTimeout limit how much of a discarded response is read so that its connection can be reused, and for how
// long the next attempt waits for that.
const (
	maxDrainBytes = 4 << 10
	drainTimeout  = 50 * time.Millisecond
)

// match tells whether a response with the given metadata belongs to the attempt. Targets need not repeat the request ID.
func (a *attempt) match(info dialect.ResponseInfo) upstream.Match {
	switch {
	case info.ID == "" && info.NotRun:
		return upstream.MatchNoIDNotRun
	case info.ID == "":
		return upstream.MatchNoID
	case info.ID == a.targetRequestID:
		return upstream.MatchID
	}
	return upstream.MatchOther
}

// note hands on what the target has stated about itself in the response to an attempt.
func (a *attempt) note() {
	if a.grant.Note != nil {
		a.grant.Note(permit.Notice{Leaving: a.processLeaves(), HoldOff: a.info.HoldOff})
	}
}

// processLeaves reports whether the target's process wants no more requests, or is gone: its entry may stay in the configuration for some time.
func (a *attempt) processLeaves() bool { return a.info.Leaving || a.info.InstanceGone }

// acceptResponse checks a target's response header and returns the answer, or a failure with the attempt finished.
func (h *Handler) acceptResponse(rq *request, a *attempt, resp *http.Response) (*answer, *failure) {
	if !framed(resp) && !(h.opts.Dialect.AllowsCloseDelimited() && resp.StatusCode != http.StatusSwitchingProtocols) {
		return nil, h.rejectResponse(a, resp, "the end of the response cannot be detected")
	}
	if a.info.NotRun {
		return nil, h.notExecuted(a, resp)
	}
	retried := resp.StatusCode == http.StatusInternalServerError && h.retriesServerError(rq)
	if retried || h.opts.Dialect.PromisesNotRun(resp.StatusCode) {
		return nil, h.targetFailed(a, resp)
	}
	return h.prefetch(rq, &answer{attempt: a, resp: resp})
}

// retriesServerError reports whether a request that a target answered with status 500 is retried at another target.
func (h *Handler) retriesServerError(rq *request) bool {
	return rq.rule != nil && !rq.command && rq.attempts < rq.maxAttempts() && rq.body.replayable()
}

// targetFailed finishes an attempt that the target may have executed, and whose response does not reach the caller.
func (h *Handler) targetFailed(a *attempt, resp *http.Response) *failure {
	drainAndClose(resp)
	a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	return &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetFailed, mayHaveRun: true, retryScope: retryTarget,
		err: steperr.New("check response", a.grant.Target, "status %d", resp.StatusCode),
	}
}

// notExecuted finishes an attempt whose response states that the target did not execute the request: the target shed load, or
// the expected instance is no longer at its address.
func (h *Handler) notExecuted(a *attempt, resp *http.Response) *failure {
	f := &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonTargetShed, retryAfter: a.info.RetryAfter, retryScope: retryTarget,
	}
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED
	if a.info.InstanceGone {
		f.reason, outcome = reply.ReasonTargetUnreachable, peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE
	}
	drainAndClose(resp)
	a.finish(outcome)
	return f
}

// drainAndClose discards a response. It reads a short body to its end so that the connection can be reused.
func drainAndClose(resp *http.Response) {
	timeout := time.AfterFunc(drainTimeout, func() { _ = resp.Body.Close() })
	defer timeout.Stop()
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

// rejectResponse finishes an attempt whose response must not reach the caller, and closes its connection.
func (h *Handler) rejectResponse(a *attempt, resp *http.Response, why string) *failure {
	a.cancel(nil)
	resp.Body.Close()
	a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	return &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, mayHaveRun: true, retryScope: retryTarget,
		err: steperr.New("check response", a.grant.Target, "%s", why),
	}
}

// framed reports whether the truncation of a response can be detected: it has no body, a length or a transfer encoding.
// A close-delimited body gives no sign of truncation, and a connection that switches protocols has no end of the body at all.
func framed(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
