package entry

import (
	"net/http"
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// obtainByDispatcher requests a permit from the dispatcher of this failure domain, which may redirect the request to another one.
// If no host of that one can be reached, the request is tried once more in this failure domain. If this failure domain has no
// dispatcher, the request is forwarded once to any other failure domain that may serve it.
func (h *Handler) obtainByDispatcher(rq *request) (*answer, *reply.Refusal) {
	rq.followsRedirects = true
	ans, scope := h.tryLocal(rq)
	if ans != nil {
		return ans, nil
	}
	switch {
	case rq.redirectDomain != "":
		ans, scope = h.forwardToDomain(rq, rq.redirectDomain)
		if ans == nil && scope == retryLocal && h.regionAllowed(rq) {
			rq.followsRedirects = false
			ans, _ = h.tryLocal(rq)
		}
	case scope == retryOtherDomain:
		ans, _ = h.forwardToDomain(rq, "")
	}
	if ans != nil {
		return ans, nil
	}
	return nil, rq.refusal()
}

// regionAllowed reports whether this host's region is one of the rule's home regions; a rule without home regions allows any.
func (h *Handler) regionAllowed(rq *request) bool {
	homes := rq.rule.GetHomeRegions()
	return len(homes) == 0 || slices.Contains(homes, h.opts.Self.Region)
}

// unreachable reports whether a request was refused because the other host, or the targets from there, cannot be reached, or because that
// host is about to end or has no processor time for it.
func unreachable(reason reply.Reason) bool {
	switch reason {
	case reply.ReasonHostUnreachable, reply.ReasonTargetUnreachable, reply.ReasonHostLeaving, reply.ReasonOverloaded:
		return true
	}
	return false
}

// forwardToDomain forwards the request to a host of the named failure domain. An empty name selects any other failure domain that
// the rule's home regions allow.
func (h *Handler) forwardToDomain(rq *request, domain string) (*answer, retryScope) {
	if h.opts.FindRemote == nil {
		return nil, retryLocal
	}
	place, ok := h.opts.FindRemote(domain, rq.rule.GetHomeRegions())
	if !ok {
		return nil, rq.recordFailure(&failure{
			status: http.StatusServiceUnavailable, reason: reply.ReasonHostUnreachable, retryAfter: unreachableRetryAfter,
			notSent: true, retryScope: retryLocal,
		})
	}
	ans, scope := h.tryRemote(rq, place)
	if scope == retryPlace && unreachable(rq.lastFailure.reason) {
		scope = retryLocal
	}
	return ans, scope
}
