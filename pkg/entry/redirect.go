package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// acquireTimeoutDivisor is the part of a request's objective, as 1/n, for which its host waits for an answer of the dispatcher.
// The dispatcher itself keeps a request waiting for less, unless a full target that remembers the object is worth the wait.
const acquireTimeoutDivisor = 4

// acquireContext limits the wait for a permit of a request with an objective: a dispatcher that is lost is replaced within
// seconds, and other failure domains can serve the request meanwhile.
func (rq *request) acquireContext() (context.Context, context.CancelFunc) {
	if rq.latency() == 0 {
		return rq.ctx, func() {}
	}
	return context.WithTimeout(rq.ctx, rq.latency()/acquireTimeoutDivisor)
}

// obtainByDispatcher lets the dispatcher of the own failure domain place the request. If that sends it elsewhere and no host there
// can be reached, or if there is no dispatcher, the other way is tried once.
func (h *Handler) obtainByDispatcher(rq *request) (*answer, *reply.Refusal) {
	rq.acceptsRedirect = true
	ans, n := h.tryLocal(rq)
	if ans != nil {
		return ans, nil
	}
	switch {
	case rq.redirectDomain != "":
		ans, n = h.forwardToDomain(rq, rq.redirectDomain)
		if ans == nil && n == retryLocal && h.regionAllowed(rq) {
			rq.acceptsRedirect = false
			ans, _ = h.tryLocal(rq)
		}
	case n == retryOtherDomain:
		ans, _ = h.forwardToDomain(rq, "")
	}
	if ans != nil {
		return ans, nil
	}
	return nil, rq.refusal()
}

// regionAllowed reports whether the rule allows the request to be served in this region.
func (h *Handler) regionAllowed(rq *request) bool {
	homes := rq.rule.GetHomeRegions()
	return len(homes) == 0 || slices.Contains(homes, h.opts.Self.Region)
}

// forwardToDomain forwards the request to a host of a failure domain, or of any other one that may serve it if the name is empty.
func (h *Handler) forwardToDomain(rq *request, domain string) (*answer, retryScope) {
	if h.opts.FindRemote == nil {
		return nil, retryLocal
	}
	place, ok := h.opts.FindRemote(domain, rq.rule.GetHomeRegions())
	if !ok {
		return nil, rq.recordFailure(&failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, retryAfter: time.Second,
			notSent: true, retryScope: retryLocal,
		})
	}
	ans, n := h.tryRemote(rq, place)
	if n == retryPlace && rq.lastFailure.reason == reply.ReasonHostUnreachable {
		n = retryLocal
	}
	return ans, n
}
