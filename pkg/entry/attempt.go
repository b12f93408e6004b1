package entry

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
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

var (
	errHedgeLost = errors.New("the other attempt of the hedged request answered first")
	errStalled   = errors.New("no progress within the stall timeout")
)

// attempt is one send of a request, either to a target under a permit or to a remote host without a permit.
type attempt struct {
	id string
	// targetRequestID is the request ID that the target receives and that its response may repeat.
	targetRequestID string
	grant           *permit.Grant
	ctx             context.Context
	cancel          context.CancelCauseFunc
	cancelDeadline  context.CancelFunc
	sent            time.Time
	// connRequested is set when the transport starts to obtain a connection, and connected when it has obtained one. From then
	// on the request may have been sent.
	connRequested atomic.Bool
	connected     atomic.Bool
	finished      atomic.Bool
	firstByte     time.Duration
	bytes         uint64
	// info holds the metadata of the target's response header.
	info dialect.ResponseInfo
	// responded is set once the target's response header has been read.
	responded bool
	// findLossCause finds out why the connection to the target was lost. silent is set if it was lost because nothing arrived on it.
	findLossCause func() lossCause
	silent        bool
	// targetEnded is set if the connection was lost because the target has ended.
	targetEnded bool
	// permitReleased is set once the permit is released, which may be before the attempt is finished.
	permitReleased bool
}

// answer is an accepted response that has not been streamed yet. Its attempt is still open, and whoever holds the answer must
// finish it.
type answer struct {
	*attempt
	resp *http.Response
	// fullBody holds the whole body if prefetching reached its end.
	fullBody []byte
	// bodyPrefix holds the prefetched part of a longer body; the rest is read from resp.Body.
	bodyPrefix []byte
}

// initHeader builds the header that all attempts share. It must be called in the request's goroutine. It is called only when
// an attempt is about to be sent, so that refused requests do not pay for it.
func (rq *request) initHeader() {
	if rq.header == nil {
		rq.header = requestHeader(rq.in, !rq.forwarded)
	}
}

// newAttempt returns an attempt with a context of its own. grant is nil for a remote host, and for a hedge attempt that has no
// permit yet.
func (h *Handler) newAttempt(rq *request, id string, grant *permit.Grant) *attempt {
	a := &attempt{id: id, targetRequestID: id, sent: time.Now(), cancelDeadline: func() {}}
	if h.opts.Dialect.PreservesRequestID() {
		a.targetRequestID = rq.hints.ID
	}
	a.ctx, a.cancel = context.WithCancelCause(rq.ctx)
	a.findLossCause = func() lossCause { return h.findLossCause(rq, a) }
	if grant != nil {
		a.setGrant(rq, grant)
	}
	return a
}

// setGrant attaches a permit to the attempt and limits the attempt's context to the permit's deadline.
func (a *attempt) setGrant(rq *request, grant *permit.Grant) {
	a.grant, a.sent = grant, time.Now()
	if !grant.Deadline.IsZero() && grant.Deadline.Before(rq.deadline) {
		a.ctx, a.cancelDeadline = context.WithDeadline(a.ctx, grant.Deadline)
	}
}

// finish releases the permit and cancels the attempt's context. It must be called exactly once.
func (a *attempt) finish(outcome peerv1.ReleaseOutcome) {
	again := a.finished.Swap(true)
	if again {
		invariant.Check(false, "permit-released-once", "attempt %s was finished twice", a.id)
		return
	}
	a.releasePermit(outcome)
	a.cancel(nil)
	a.cancelDeadline()
}

// releasePermit releases the permit, if there is one that has not been released yet.
func (a *attempt) releasePermit(outcome peerv1.ReleaseOutcome) {
	if a.grant == nil || a.permitReleased {
		return
	}
	a.permitReleased = true
	total := time.Since(a.sent)
	cause := lossNone
	if outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST {
		cause = a.findLossCause()
	}
	a.targetEnded = cause == lossTargetEnded
	if cause == lossHostIsolated {
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	}
	a.grant.Release(permit.Observation{
		Outcome: outcome, FirstByte: a.firstByte, Total: total, Bytes: a.bytes, SlowdownPercent: a.info.SlowdownPercent,
		TargetAlive: cause == lossConnectionOnly, Responded: a.responded && !a.info.InstanceGone, RateLimit: a.info.RateLimit,
	})
}

// assertFinished checks the invariant that the attempt is finished, and hence that its permit is released.
func (a *attempt) assertFinished() {
	if !a.finished.Load() {
		invariant.Check(false, "permit-released", "attempt %s was not finished", a.id)
	}
}

// tracedContext returns the attempt's context with an httptrace that sets connRequested and connected.
func (a *attempt) tracedContext() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GetConn: func(string) { a.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			a.connected.Store(true)
		},
	})
}

// mayHaveBeenSent reports whether the request may have been sent. It is true for a transport that does not support httptrace,
// because nothing is known then.
func (a *attempt) mayHaveBeenSent() bool { return a.connected.Load() || !a.connRequested.Load() }

// send sends the request to the target of the attempt's permit. On success the attempt stays open and belongs to the answer;
// on failure the attempt is finished.
func (h *Handler) send(rq *request, a *attempt) (*answer, *failure) {
	out, f := h.buildRequest(rq, a)
	if f != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, f
	}
	resp, err := h.targets.RoundTrip(out, upstream.Options{
		Address: a.grant.Address, DedicatedConn: rq.isRecordedCommand(),
		SkipMismatched: h.opts.Dialect.MayDuplicateResponses(),
		Matches:        func(resp *http.Response) bool { return h.matchesAttempt(a, resp) },
	})
	a.firstByte = time.Since(a.sent)
	a.connRequested.Store(true)
	a.connected.Store(!errors.Is(err, upstream.ErrNotSent))
	if err != nil {
		// The other idle connections to this target may be broken as well.
		h.targets.CloseIdle(a.grant.Address)
		return nil, h.sendFailed(rq, a, err)
	}
	return h.acceptResponse(rq, a, resp)
}

// buildRequest returns the request of an attempt, with the attempt's context and its metadata in the header.
func (h *Handler) buildRequest(rq *request, a *attempt) (*http.Request, *failure) {
	if f := contextFailure(rq); f != nil {
		f.notSent = true
		return nil, f
	}
	reader, ok := rq.body.reader()
	if !ok {
		return nil, &failure{
			status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, notSent: true, retryScope: retryNone,
			err: errors.New("the body cannot be sent twice"),
		}
	}
	deadline, _ := a.ctx.Deadline()
	if rq.body.rest != nil {
		rq.body.control.SetReadDeadline(deadline) // the permit may expire before the request's deadline
	}
	header := maps.Clone(rq.header) // a shallow copy is enough: value slices are replaced, never modified
	if a.grant == nil {
		dialect.Native{}.WriteRequest(header, dialect.AttemptInfo{ID: a.id, Remaining: time.Until(deadline)})
	} else {
		h.opts.Dialect.WriteRequest(header, dialect.AttemptInfo{ID: a.id, Remaining: time.Until(deadline), Instance: a.grant.Instance})
	}
	out := &http.Request{
		Method: rq.in.Method, Host: rq.in.Host, Header: header, Body: reader, ContentLength: rq.body.length,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Path: rq.path, RawPath: rq.rawPath, RawQuery: rq.in.URL.RawQuery, ForceQuery: rq.in.URL.ForceQuery,
		},
	}
	if a.grant != nil {
		out.URL.Host = a.grant.Address
		return out.WithContext(a.ctx), nil
	}
	return out.WithContext(a.tracedContext()), nil
}

// sendFailed finishes an attempt that got no response, and classifies err.
func (h *Handler) sendFailed(rq *request, a *attempt, err error) *failure {
	connected := a.mayHaveBeenSent()
	a.silent = isSilence(err)
	err = steperr.Wrap(err, "send request", a.grant.Target)
	f := &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, retryAfter: time.Second,
		mayHaveRun: connected, retryScope: retryTarget, err: err,
	}
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
	bodyFailure := rq.body.readFailure()
	switch {
	case bodyFailure != nil:
		f = bodyFailure
		f.mayHaveRun = connected
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case errors.Is(context.Cause(a.ctx), errHedgeLost):
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case a.ctx.Err() != nil:
		f.status, f.reason, f.retryScope = http.StatusGatewayTimeout, reply.ReasonDeadline, retryNone
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR
		if errors.Is(a.ctx.Err(), context.Canceled) {
			f.status, f.reason = http.StatusServiceUnavailable, reply.ReasonCallerGone
			outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
		}
	case errors.Is(err, upstream.ErrNoPath):
		f = noPathFailure()
		f.err = err
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT
	case !connected:
		f.status, f.reason, f.unreached = http.StatusServiceUnavailable, reply.ReasonTargetUnreachable, true
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE
	}
	a.finish(outcome)
	f.targetEnded = a.targetEnded
	return f
}

// matchesAttempt stores the metadata of a target's response in a.info and reports whether the response belongs to the attempt.
// A response without a request ID is taken as a match, because targets need not repeat the ID.
func (h *Handler) matchesAttempt(a *attempt, resp *http.Response) bool {
	a.info, a.responded = h.opts.Dialect.ReadResponse(resp), true
	return a.info.ID == "" || a.info.ID == a.targetRequestID
}

// acceptResponse checks a target's response header and returns the answer, or a failure with the attempt finished.
func (h *Handler) acceptResponse(rq *request, a *attempt, resp *http.Response) (*answer, *failure) {
	if !framed(resp) && !(h.opts.Dialect.AllowsCloseDelimited() && resp.StatusCode != http.StatusSwitchingProtocols) {
		return nil, h.rejectResponse(a, resp, "the end of the response cannot be detected")
	}
	if a.info.NotRun {
		return nil, h.notExecuted(a, resp)
	}
	if resp.StatusCode == http.StatusInternalServerError && h.retriesServerError(rq) {
		return nil, h.serverError(a, resp)
	}
	return h.prefetch(rq, &answer{attempt: a, resp: resp})
}

// retriesServerError reports whether a request that a target answered with status 500 is retried at another target.
func (h *Handler) retriesServerError(rq *request) bool {
	return rq.rule != nil && !rq.command && rq.attempts < rq.maxAttempts() && rq.body.replayable()
}

// serverError finishes an attempt that the target executed and answered with status 500.
func (h *Handler) serverError(a *attempt, resp *http.Response) *failure {
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
