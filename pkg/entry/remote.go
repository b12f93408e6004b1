package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// tryRemote forwards the request to a host of another failure domain. Before that the request must pass the admission control of
// the place, and the rate limit of the link if it goes to another region.
func (h *Handler) tryRemote(rq *request, place Place) (*answer, retryScope) {
	if h.opts.Forwarder == nil {
		return nil, rq.recordFailure(&failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, notSent: true, retryScope: retryPlace,
		})
	}
	if f := h.checkEnd(rq, 0); f != nil {
		return nil, rq.recordFailure(f)
	}
	if place.Admit != nil {
		if err := place.Admit(rq.ctx); err != nil {
			return nil, rq.recordFailure(acquireFailure(rq, err))
		}
	}
	if place.Shifted && h.opts.Pacer != nil {
		if err := h.paceRequest(rq, place.Host.Host); err != nil {
			return nil, rq.recordFailure(acquireFailure(rq, err))
		}
	}
	ans, f := h.forward(rq, place.Host, rq.sessionClass(place), modeRun, place.Shifted)
	rq.history.addSend(forwardRecord(place.Host, ans, f))
	if f != nil {
		return nil, rq.recordFailure(f)
	}
	return ans, retryNone
}

// paceRequest waits for budget on the link to another region, for a part of the spare time at most: the request may have to wait for a permit
// there too, and one that is sent later would probably end without an answer.
func (h *Handler) paceRequest(rq *request, toHost string) error {
	ctx, cancel := context.WithTimeout(rq.ctx, h.spareTime(rq)/spareParts)
	defer cancel()
	return h.opts.Pacer.Pace(ctx, toHost, rq.estimatedBytes())
}

// estimatedBytes returns the approximate size of the request on the network. A body of unknown length (chunked encoding) counts
// as the body limit that the service sets.
func (rq *request) estimatedBytes() int {
	bytes := headerBytes(rq.in)
	if rq.body.length >= 0 {
		return bytes + int(rq.body.length)
	}
	return bytes + int(rq.service.GetMaxBodyBytes())
}

// sessionClass returns the class of the session to forward the request over: that of the place if it is set, the long one for
// routes of the long request class, and the short one for all others.
func (rq *request) sessionClass(place Place) peer.SessionClass {
	if place.Session != "" {
		return place.Session
	}
	if rq.class() == configv1.RequestClass_REQUEST_CLASS_LONG {
		return peer.SessionLong
	}
	return peer.SessionShort
}

// forward sends the request to another host. On success the attempt stays open and belongs to the answer; on failure it is
// finished.
func (h *Handler) forward(rq *request, to peer.Address, class peer.SessionClass, m mode, shifted bool) (*answer, *failure) {
	rq.initHeader()
	rq.history.sentTo = to.Host
	a := h.newAttempt(rq, rq.attemptID(), nil)
	rq.attempts++
	out, f := h.buildRequest(rq, a)
	if f != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, f
	}
	if err := h.setOrigin(out.Header, rq, a.id, m); err != nil {
		a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT)
		return nil, &failure{
			status: http.StatusInternalServerError, reason: reply.ReasonInternal, notSent: true, retryScope: retryLocal,
			err: steperr.Wrap(err, "forward request", to.Host),
		}
	}
	if shifted {
		out.Header.Set(headerShifted, "1")
	}
	if first := rq.in.Header.Get(reply.HeaderFirstSend); first != "" && m == modeRelay {
		out.Header.Set(reply.HeaderFirstSend, first)
	}
	out.URL.Host = to.Name()
	resp, err := h.opts.Forwarder.Transport(to, class).RoundTrip(out)
	a.firstByte = time.Since(a.sent)
	if err != nil {
		return nil, h.forwardFailed(rq, a, to, err)
	}
	return h.acceptRemote(rq, a, to, resp)
}

// forwardFailed finishes an attempt that got no response from the other host, and classifies err.
func (h *Handler) forwardFailed(rq *request, a *attempt, to peer.Address, err error) *failure {
	defer a.finish(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST)
	sent := a.mayHaveBeenSent()
	if f := rq.body.readFailure(); f != nil {
		f.mayHaveRun = sent
		return f
	}
	if f := contextFailure(rq); f != nil {
		f.mayHaveRun = sent
		return f
	}
	f := &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, retryAfter: unreachableRetryAfter,
		retryScope: retryPlace, err: steperr.Wrap(err, "forward request", to.Host),
	}
	if sent {
		f.status, f.reason, f.mayHaveRun = http.StatusBadGateway, reply.ReasonHostBroken, true
	}
	return f
}

// acceptRemote checks another host's response, which must repeat the identity of the request, and turns a refusal into a
// failure.
func (h *Handler) acceptRemote(rq *request, a *attempt, to peer.Address, resp *http.Response) (*answer, *failure) {
	ans := &answer{attempt: a, resp: resp}
	if !h.matchesForwarded(resp, a.id) || !framed(resp) {
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
		return nil, &failure{
			status: http.StatusBadGateway, reason: reply.ReasonHostBroken, mayHaveRun: true, retryScope: retryPlace,
			err: steperr.New("check response", to.Host, "the response belongs to another request or has no end"),
		}
	}
	refused, ok := reply.FromResponse(resp)
	switch {
	case ok:
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
		return nil, refusedByHost(to, refused)
	case h.opts.Dialect.PromisesNotRun(resp.StatusCode):
		// Only a host of an earlier version passes on such a status of a target.
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
		return nil, &failure{
			status: http.StatusBadGateway, reason: reply.ReasonTargetFailed, mayHaveRun: true, retryScope: retryNone,
			err: steperr.New("check response", to.Host, "status %d", resp.StatusCode),
		}
	}
	return h.prefetch(rq, ans)
}

// refusedByHost returns the failure of a request that another host has refused.
func refusedByHost(to peer.Address, refused reply.Refusal) *failure {
	f := &failure{
		status: refused.Status, reason: refused.Reason, retryAfter: refused.RetryAfter,
		mayHaveRun: refused.Outcome != reply.NotRun, outcomeStated: true, retryScope: retryPlace,
		err: errors.Newf("refused by host %s", to.Host),
	}
	if lacksConfiguration(refused.Reason) {
		f.status, f.reason, f.retryAfter = http.StatusServiceUnavailable, reply.ReasonNotReady, notReadyRetryAfter
		f.retryScope = retryLocal
	}
	// On an unknown outcome the remote host has already used its own retries; retrying here would multiply them.
	if f.mayHaveRun || refused.Reason == reply.ReasonPoison {
		f.retryScope = retryNone
	}
	return f
}

// lacksConfiguration reports whether another host refused a request because it has no configuration yet, or one without the
// service. This host knows the service, so the caller must not be told that it does not exist.
func lacksConfiguration(reason reply.Reason) bool {
	return reason == reply.ReasonNotReady || reason == reply.ReasonUnknownService
}

// detachedContext returns a context that ends at the request's deadline but not when the caller disconnects.
func detachedContext(rq *request) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(rq.in.Context()), rq.deadline)
}
