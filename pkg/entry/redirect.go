package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// dispatcherPatience is the part of a request's objective, as 1/n, for which its host waits for an answer of the dispatcher.
// The dispatcher itself keeps a request waiting for less, unless a full target that remembers the object is worth the wait.
const dispatcherPatience = 4

// acquireContext limits the wait for a permit of a request with an objective: a dispatcher that is lost is replaced within
// seconds, and other failure domains can serve the request meanwhile.
func (rq *request) acquireContext() (context.Context, context.CancelFunc) {
	if rq.latency() == 0 {
		return rq.ctx, func() {}
	}
	return context.WithTimeout(rq.ctx, rq.latency()/dispatcherPatience)
}

// obtainPlaced lets the dispatcher of the own failure domain place the request. If that sends it elsewhere and no host there
// can be reached, or if there is no dispatcher, the other way is tried once.
func (h *Handler) obtainPlaced(rq *request) (*answer, *reply.Refusal) {
	rq.follows = true
	ans, n := h.local(rq)
	if ans != nil {
		return ans, nil
	}
	switch {
	case rq.elsewhere != "":
		ans, n = h.elsewhere(rq, rq.elsewhere)
		if ans == nil && n == retryLocal && h.mayServeHere(rq) {
			rq.follows = false
			ans, _ = h.local(rq)
		}
	case n == retryOtherDomain:
		ans, _ = h.elsewhere(rq, "")
	}
	if ans != nil {
		return ans, nil
	}
	return nil, rq.refusal()
}

// mayServeHere reports whether the rule allows the request to be served in this region.
func (h *Handler) mayServeHere(rq *request) bool {
	homes := rq.rule.GetHomeRegions()
	return len(homes) == 0 || slices.Contains(homes, h.opts.Self.Region)
}

// elsewhere forwards the request to a host of a failure domain, or of any other one that may serve it if the name is empty.
func (h *Handler) elsewhere(rq *request, domain string) (*answer, retryScope) {
	if h.opts.FindRemote == nil {
		return nil, retryLocal
	}
	place, ok := h.opts.FindRemote(domain, rq.rule.GetHomeRegions())
	if !ok {
		return nil, rq.recordFailure(&failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, retryAfter: time.Second,
			notSent: true, retry: retryLocal,
		})
	}
	ans, n := h.remote(rq, place)
	if n == retryPlace && rq.last.reason == reply.ReasonHostUnreachable {
		n = retryLocal
	}
	return ans, n
}
