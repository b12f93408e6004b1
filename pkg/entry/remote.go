package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// tryRemote forwards the request to a host of another failure domain.
func (h *Handler) tryRemote(rq *request, place Place) (*answer, retryScope) {
	if h.opts.Forwarder == nil {
		return nil, rq.recordFailure(&failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, notSent: true, retryScope: retryPlace,
		})
	}
	if place.Admit != nil {
		if err := place.Admit(rq.ctx); err != nil {
			return nil, rq.recordFailure(acquireFailure(rq, err))
		}
	}
	if place.Shifted && h.opts.Pacer != nil {
		if err := h.opts.Pacer.Pace(rq.ctx, place.Host.Host, rq.estimatedBytes()); err != nil {
			return nil, rq.recordFailure(acquireFailure(rq, err))
		}
	}
	ans, f := h.forward(rq, place.Host, rq.sessionClass(place), modeRun, place.Shifted)
	if f != nil {
		return nil, rq.recordFailure(f)
	}
	return ans, retryNone
}

// estimatedBytes returns about how many bytes the request takes on a link. The length of a body that is sent in chunks is not
// known beforehand; such a body counts as its limit.
func (rq *request) estimatedBytes() int {
	bytes := headerBytes(rq.in)
	if rq.body.length >= 0 {
		return bytes + int(rq.body.length)
	}
	return bytes + int(rq.service.GetMaxBodyBytes())
}

// sessionClass chooses the class of sessionClass: only routes that are known to be long go over the long one.
func (rq *request) sessionClass(place Place) peer.SessionClass {
	if place.Session != "" {
		return place.Session
	}
	if rq.class() == configv1.RequestClass_REQUEST_CLASS_LONG {
		return peer.SessionLong
	}
	return peer.SessionShort
}

// forward sends the request to another host. It returns an answer whose attempt is open, or a failure.
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
	h.setOrigin(out.Header, rq, a.id, m)
	if objective := rq.objective(); !objective.IsZero() {
		left := time.Until(objective) - h.opts.RTT(to)
		out.Header.Set(headerObjective, strconv.FormatInt(max(left.Milliseconds(), 0), 10))
	}
	if shifted {
		out.Header.Set(headerShifted, "1")
	}
	if first := rq.in.Header.Get(reply.HeaderFirstSend); first != "" && m == modeRelay {
		out.Header.Set(reply.HeaderFirstSend, first)
	}
	if out.URL.Host = to.Host; out.URL.Host == "" {
		out.URL.Host = to.Addr
	}
	resp, err := h.opts.Forwarder.Transport(to, class).RoundTrip(out)
	a.firstByte = time.Since(a.sent)
	if err != nil {
		return nil, h.forwardFailed(rq, a, to, err)
	}
	return h.acceptRemote(rq, a, to, resp)
}

// forwardFailed finishes an attempt to which a host gave no response.
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
		status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, retryAfter: time.Second,
		retryScope: retryPlace, err: steperr.Wrap(err, "forward request", to.Host),
	}
	if sent {
		f.status, f.reason, f.mayHaveRun = http.StatusBadGateway, reply.ReasonHostBroken, true
	}
	return f
}

// acceptRemote checks a host's response: it must repeat the identity of the request.
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
	if !ok {
		return h.prefetch(rq, ans)
	}
	ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR)
	f := &failure{
		status: refused.Status, reason: refused.Reason, retryAfter: refused.RetryAfter,
		mayHaveRun: refused.Outcome != reply.NotRun, outcomeStated: true, retryScope: retryPlace, err: errors.Newf("refused by host %s", to.Host),
	}
	// After an unknown outcome the remote host has used its own retries; repeating them here would multiply them.
	if f.mayHaveRun || refused.Reason == reply.ReasonPoison {
		f.retryScope = retryNone
	}
	return nil, f
}

// detachedContext returns a context that ends at the deadline but not when the caller goes away.
func detachedContext(rq *request) (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.WithoutCancel(rq.in.Context()), rq.deadline)
}
