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

// maxDrainBytes is the longest body that is read only to keep the connection.
const maxDrainBytes = 4 << 10

var (
	errHedgeLost = errors.New("the other attempt answered first")
	errStalled   = errors.New("no progress")
)

// attempt is one request to a target under a permit, or to a remote host without one.
type attempt struct {
	id string
	// targetRequestID is the ID that the target is told.
	targetRequestID string
	grant           *permit.Grant
	ctx             context.Context
	cancel          context.CancelCauseFunc
	cancelDeadline  context.CancelFunc
	sent            time.Time
	// connRequested is set when the transport starts to look for a connection and connected when it has one: from then on the
	// request may have been sent.
	connRequested atomic.Bool
	connected     atomic.Bool
	finished      atomic.Bool
	firstByte     time.Duration
	bytes         uint64
	// info is what the target said beside its response.
	info dialect.ResponseInfo
	// permitReleased is set once the permit was given back; that can be before the attempt is finished.
	permitReleased bool
}

// answer is a response that is accepted but not yet streamed. Its attempt must be finished.
type answer struct {
	*attempt
	resp *http.Response
	// fullBody holds the body if all of it has arrived.
	fullBody []byte
	// bodyPrefix holds the part of the body that has arrived if it is a long one.
	bodyPrefix []byte
}

// initHeader makes what all attempts have in common. It is called in the request's goroutine, and only once something is
// sent, because a refusal must cost little.
func (rq *request) initHeader() {
	if rq.header == nil {
		rq.header = requestHeader(rq.in, !rq.forwarded)
	}
}

// newAttempt prepares an attempt. grant is nil for a remote host.
func (h *Handler) newAttempt(rq *request, id string, grant *permit.Grant) *attempt {
	a := &attempt{id: id, targetRequestID: id, sent: time.Now(), cancelDeadline: func() {}}
	if h.opts.Dialect.PreservesRequestID() {
		a.targetRequestID = rq.hints.ID
	}
	a.ctx, a.cancel = context.WithCancelCause(rq.ctx)
	if grant != nil {
		a.setGrant(rq, grant)
	}
	return a
}

// setGrant gives an attempt its permit; the attempt ends with the permit at the latest.
func (a *attempt) setGrant(rq *request, grant *permit.Grant) {
	a.grant, a.sent = grant, time.Now()
	if !grant.Deadline.IsZero() && grant.Deadline.Before(rq.deadline) {
		a.ctx, a.cancelDeadline = context.WithDeadline(a.ctx, grant.Deadline)
	}
}

// finish releases the permit and frees the attempt's context. It must be called exactly once.
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

// releasePermit returns the permit unless that has been done.
func (a *attempt) releasePermit(outcome peerv1.ReleaseOutcome) {
	if a.grant == nil || a.permitReleased {
		return
	}
	a.permitReleased = true
	a.grant.Release(permit.Observation{
		Outcome: outcome, FirstByte: a.firstByte, Total: time.Since(a.sent), Bytes: a.bytes, SlowdownPercent: a.info.SlowdownPercent,
	})
}

// assertFinished asserts that a permit was released.
func (a *attempt) assertFinished() {
	if !a.finished.Load() {
		invariant.Check(false, "permit-released", "attempt %s was not finished", a.id)
	}
}

// tracedContext returns the attempt's context with a trace that notes when a connection is used.
func (a *attempt) tracedContext() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GetConn: func(string) { a.connRequested.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			a.connected.Store(true)
		},
	})
}

// mayHaveBeenSent reports whether the request may have been sent. A transport that does not support the trace proves nothing.
func (a *attempt) mayHaveBeenSent() bool { return a.connected.Load() || !a.connRequested.Load() }

// send sends the request to the permitted target. It returns an answer whose attempt is open, or a failure with the
// attempt finished.
func (h *Handler) send(rq *request, a *attempt) (*answer, *failure) {
	out, f := h.buildRequest(rq, a)
	if f != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, f
	}
	resp, err := h.targets.RoundTrip(out, upstream.Options{
		Address: a.grant.Address, DedicatedConn: rq.isRecordedCommand(),
		SkipMismatched: h.opts.Dialect.MayDuplicateResponses(), Matches: func(resp *http.Response) bool { return h.matchesAttempt(a, resp) },
	})
	a.firstByte = time.Since(a.sent)
	a.connRequested.Store(true)
	a.connected.Store(!errors.Is(err, upstream.ErrNotSent))
	if err != nil {
		// The other idle connections to this target may be as unresponsive as this one.
		h.targets.CloseIdle(a.grant.Address)
		return nil, h.sendFailed(rq, a, err)
	}
	return h.acceptResponse(rq, a, resp)
}

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
		rq.body.control.SetReadDeadline(deadline) // the permit may end before the request
	}
	header := maps.Clone(rq.header) // values are replaced, never changed
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

// sendFailed finishes an attempt that got no response.
func (h *Handler) sendFailed(rq *request, a *attempt, err error) *failure {
	connected := a.mayHaveBeenSent()
	err = steperr.Wrap(err, "send request", a.grant.Target)
	f := &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, retryAfter: time.Second,
		mayHaveRun: connected, retryScope: retryTarget, err: err,
	}
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
	bodyFault := rq.body.readFailure()
	switch {
	case bodyFault != nil:
		f = bodyFault
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
	case !connected:
		f.status, f.reason = http.StatusServiceUnavailable, reply.ReasonTargetUnreachable
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE
	}
	a.finish(outcome)
	return f
}

// matchesAttempt reads what a target says and reports whether its response belongs to an attempt. A target that does not repeat IDs
// is trusted.
func (h *Handler) matchesAttempt(a *attempt, resp *http.Response) bool {
	a.info = h.opts.Dialect.ReadResponse(resp)
	return a.info.ID == "" || a.info.ID == a.targetRequestID
}

// acceptResponse checks a target's response.
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

// retriesServerError reports whether another target may run a request that one of them failed.
func (h *Handler) retriesServerError(rq *request) bool {
	return rq.rule != nil && !rq.command && rq.attempts < rq.maxAttempts() && rq.body.replayable()
}

// serverError finishes an attempt that the target ran and failed.
func (h *Handler) serverError(a *attempt, resp *http.Response) *failure {
	drainAndClose(resp)
	a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	return &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetFailed, mayHaveRun: true, retryScope: retryTarget,
		err: steperr.New("check response", a.grant.Target, "status %d", resp.StatusCode),
	}
}

// notExecuted finishes an attempt that the target did not run.
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

// drainAndClose ends a response that is not passed on. A short body is read, so that the connection can be used again.
func drainAndClose(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDrainBytes)
	_ = resp.Body.Close()
}

// rejectResponse finishes an attempt whose response cannot be passed on, and closes its connection.
func (h *Handler) rejectResponse(a *attempt, resp *http.Response, why string) *failure {
	a.cancel(nil)
	resp.Body.Close()
	a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	return &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, mayHaveRun: true, retryScope: retryTarget,
		err: steperr.New("check response", a.grant.Target, "%s", why),
	}
}

// framed reports whether a truncated response can be told from a complete one. A body that ends with the connection
// cannot, and a switch of protocols has no end.
func framed(resp *http.Response) bool {
	if resp.StatusCode == http.StatusSwitchingProtocols {
		return false
	}
	return resp.Body == http.NoBody || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
