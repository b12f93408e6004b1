package entry

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// send sends the request to the target of the attempt's permit. On success the attempt stays open and belongs to the answer;
// on failure the attempt is finished.
func (h *Handler) send(rq *request, a *attempt) (*answer, *failure) {
	out, f := h.buildRequest(rq, a)
	if f != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, f
	}
	var info dialect.ResponseInfo
	resp, err := h.targets.RoundTrip(out, upstream.Options{
		Address: a.grant.Address, DedicatedConn: rq.isRecordedCommand(), RequestID: a.sharedID(),
		SkipMismatched: h.opts.Dialect.MayDuplicateResponses(), Trace: &a.record.trace, Reserve: a.head.Grow,
		Matches: func(resp *http.Response) upstream.Match {
			info = h.opts.Dialect.ReadResponse(resp)
			return a.match(info)
		},
	})
	if err == nil {
		// The response that was read last has been accepted. Those before it belong to other requests.
		a.info, a.responded = info, true
	}
	a.firstByte = time.Since(a.sent)
	a.connRequested.Store(true)
	a.connected.Store(!errors.Is(err, upstream.ErrNotSent))
	h.observePath(rq, a, err)
	a.recordSend(resp)
	h.metrics.countSend(a.record, h.opts.Dialect.PromisesNotRun(a.record.status))
	if err != nil {
		// The other idle connections to this target may be broken as well.
		h.targets.CloseIdle(a.grant.Address)
		return nil, h.sendFailed(rq, a, err)
	}
	a.note()
	return h.acceptResponse(rq, a, resp)
}

// observePath records whether the target of an attempt has answered. An attempt that did not reach the target, or that the caller or this
// host has ended, tells nothing.
func (h *Handler) observePath(rq *request, a *attempt, err error) {
	switch {
	case err == nil:
		h.opts.Paths.Observe(rq.ctx, a.grant.Address, true)
	case a.mayHaveBeenSent() && !errors.Is(a.ctx.Err(), context.Canceled) && rq.body.readFailure() == nil:
		h.opts.Paths.Observe(rq.ctx, a.grant.Address, false)
	}
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
		rq.body.deadline = deadline // the permit may expire before the request's deadline
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
