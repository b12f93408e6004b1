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

// maxDiscardBytes is the longest body that is read only to keep the connection.
const maxDiscardBytes = 4 << 10

var (
	errHedgeLost = errors.New("the other attempt answered first")
	errStalled   = errors.New("no progress")
)

// attempt is one request to a target under a permit, or to a remote host without one.
type attempt struct {
	id string
	// wireID is the ID that the target is told.
	wireID string
	grant  *permit.Grant
	ctx    context.Context
	cancel context.CancelCauseFunc
	stop   context.CancelFunc
	sent   time.Time
	// dialling is set when the transport starts to look for a connection and connected when it has one: from then on the
	// request may have been sent.
	dialling  atomic.Bool
	connected atomic.Bool
	released  atomic.Bool
	firstByte time.Duration
	bytes     uint64
	// report is what the target said beside its response.
	report dialect.ResponseInfo
	// returned is set once the permit was given back; that can be before the attempt is finished.
	returned bool
}

// answer is a response that is accepted but not yet streamed. Its attempt must be finished.
type answer struct {
	*attempt
	resp *http.Response
	// whole holds the body if all of it has arrived.
	whole []byte
	// start holds the part of the body that has arrived if it is a long one.
	start []byte
}

// prepare makes what all attempts have in common. It is called in the request's goroutine, and only once something is
// sent, because a refusal must cost little.
func (rq *request) prepare() {
	if rq.header == nil {
		rq.header = requestHeader(rq.in, !rq.forwarded)
	}
}

// newAttempt prepares an attempt. grant is nil for a remote host.
func (h *Handler) newAttempt(rq *request, id string, grant *permit.Grant) *attempt {
	a := &attempt{id: id, wireID: id, sent: time.Now(), stop: func() {}}
	if h.opts.Dialect.PreservesRequestID() {
		a.wireID = rq.hints.ID
	}
	a.ctx, a.cancel = context.WithCancelCause(rq.ctx)
	if grant != nil {
		a.bind(rq, grant)
	}
	return a
}

// bind gives an attempt its permit; the attempt ends with the permit at the latest.
func (a *attempt) bind(rq *request, grant *permit.Grant) {
	a.grant, a.sent = grant, time.Now()
	if !grant.Deadline.IsZero() && grant.Deadline.Before(rq.deadline) {
		a.ctx, a.stop = context.WithDeadline(a.ctx, grant.Deadline)
	}
}

// finish releases the permit and frees the attempt's context. It must be called exactly once.
func (a *attempt) finish(outcome peerv1.ReleaseOutcome) {
	again := a.released.Swap(true)
	if again {
		invariant.Check(false, "permit-released-once", "attempt %s was finished twice", a.id)
		return
	}
	a.giveBack(outcome)
	a.cancel(nil)
	a.stop()
}

// giveBack returns the permit unless that has been done.
func (a *attempt) giveBack(outcome peerv1.ReleaseOutcome) {
	if a.grant == nil || a.returned {
		return
	}
	a.returned = true
	a.grant.Release(permit.Observation{
		Outcome: outcome, FirstByte: a.firstByte, Total: time.Since(a.sent), Bytes: a.bytes, SlowdownPercent: a.report.SlowdownPercent,
	})
}

// mustBeFinished asserts that a permit was released.
func (a *attempt) mustBeFinished() {
	if !a.released.Load() {
		invariant.Check(false, "permit-released", "attempt %s was not finished", a.id)
	}
}

// traced returns the attempt's context with a trace that notes when a connection is used.
func (a *attempt) traced() context.Context {
	return httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{
		GetConn: func(string) { a.dialling.Store(true) },
		GotConn: func(httptrace.GotConnInfo) {
			a.connected.Store(true)
		},
	})
}

// maybeSent reports whether the request may have been sent. A transport that does not support the trace proves nothing.
func (a *attempt) maybeSent() bool { return a.connected.Load() || !a.dialling.Load() }

// send sends the request to the permitted target. It returns an answer whose attempt is open, or a failure with the
// attempt finished.
func (h *Handler) send(rq *request, a *attempt) (*answer, *failure) {
	out, f := h.outgoing(rq, a)
	if f != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, f
	}
	resp, err := h.targets.RoundTrip(out, upstream.Options{
		Address: a.grant.Address, Fresh: rq.hasRecord(),
		SkipLate: h.opts.Dialect.MayDuplicateResponses(), Belongs: func(resp *http.Response) bool { return h.answers(a, resp) },
	})
	a.firstByte = time.Since(a.sent)
	a.dialling.Store(true)
	a.connected.Store(!errors.Is(err, upstream.ErrNotSent))
	if err != nil {
		// The other idle connections to this target may be as unresponsive as this one.
		h.targets.CloseIdle(a.grant.Address)
		return nil, h.sendFailed(rq, a, err)
	}
	return h.accept(rq, a, resp)
}

func (h *Handler) outgoing(rq *request, a *attempt) (*http.Request, *failure) {
	if f := contextFailure(rq); f != nil {
		f.noAttempt = true
		return nil, f
	}
	reader, ok := rq.body.reader()
	if !ok {
		return nil, &failure{
			status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, noAttempt: true, next: nextNothing,
			err: errors.New("the body cannot be sent twice"),
		}
	}
	deadline, _ := a.ctx.Deadline()
	if rq.body.rest != nil {
		rq.body.control.SetReadDeadline(deadline) // the permit may end before the request
	}
	header := maps.Clone(rq.header) // values are replaced, never changed
	if a.grant == nil {
		dialect.Own{}.WriteRequest(header, dialect.AttemptInfo{ID: a.id, Remaining: time.Until(deadline)})
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
	return out.WithContext(a.traced()), nil
}

// sendFailed finishes an attempt that got no response.
func (h *Handler) sendFailed(rq *request, a *attempt, err error) *failure {
	connected := a.maybeSent()
	err = steperr.Wrap(err, "send request", a.grant.Target)
	f := &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, retryAfter: time.Second,
		mayHaveRun: connected, next: nextTarget, err: err,
	}
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST
	bodyFault := rq.body.fault()
	switch {
	case bodyFault != nil:
		f = bodyFault
		f.mayHaveRun = connected
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case errors.Is(context.Cause(a.ctx), errHedgeLost):
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	case a.ctx.Err() != nil:
		f.status, f.reason, f.next = http.StatusGatewayTimeout, reply.ReasonDeadline, nextNothing
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

// answers reads what a target says and reports whether its response belongs to an attempt. A target that does not repeat IDs
// is trusted.
func (h *Handler) answers(a *attempt, resp *http.Response) bool {
	a.report = h.opts.Dialect.ReadResponse(resp)
	return a.report.ID == "" || a.report.ID == a.wireID
}

// accept checks a target's response.
func (h *Handler) accept(rq *request, a *attempt, resp *http.Response) (*answer, *failure) {
	if !framed(resp) && !(h.opts.Dialect.AllowsCloseDelimited() && resp.StatusCode != http.StatusSwitchingProtocols) {
		return nil, h.reject(a, resp, "the end of the response cannot be detected")
	}
	if a.report.NotRun {
		return nil, h.shed(a, resp)
	}
	if resp.StatusCode == http.StatusInternalServerError && h.triesAgain(rq) {
		return nil, h.failedByTarget(a, resp)
	}
	return h.readStart(rq, &answer{attempt: a, resp: resp})
}

// triesAgain reports whether another target may run a request that one of them failed.
func (h *Handler) triesAgain(rq *request) bool {
	return rq.rule != nil && !rq.command && rq.attempts < rq.maxAttempts() && rq.body.replayable()
}

// failedByTarget finishes an attempt that the target ran and failed.
func (h *Handler) failedByTarget(a *attempt, resp *http.Response) *failure {
	discard(resp)
	a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	return &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetFailed, mayHaveRun: true, next: nextTarget,
		err: steperr.New("check response", a.grant.Target, "status %d", resp.StatusCode),
	}
}

// shed finishes an attempt that the target did not run.
func (h *Handler) shed(a *attempt, resp *http.Response) *failure {
	f := &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonTargetShed, retryAfter: a.report.RetryAfter, next: nextTarget,
	}
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED
	if a.report.InstanceGone {
		f.reason, outcome = reply.ReasonTargetUnreachable, peerv1.ReleaseOutcome_RELEASE_OUTCOME_UNREACHABLE
	}
	discard(resp)
	a.finish(outcome)
	return f
}

// discard ends a response that is not passed on. A short body is read, so that the connection can be used again.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close()
}

// reject finishes an attempt whose response cannot be passed on, and closes its connection.
func (h *Handler) reject(a *attempt, resp *http.Response, why string) *failure {
	a.cancel(nil)
	resp.Body.Close()
	a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	return &failure{
		status: http.StatusBadGateway, reason: reply.ReasonTargetBroken, mayHaveRun: true, next: nextTarget,
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
