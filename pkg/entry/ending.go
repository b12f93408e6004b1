package entry

import (
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

const (
	// expectedTimeFactor is the multiple of its expected time in which a request ends with a high probability.
	expectedTimeFactor = 2
	// leavingRetryAfter is the Retry-After of refusals by a host that is about to end. Another host can serve the request at once.
	leavingRetryAfter = 10 * time.Millisecond
)

// SetEnd sets when this host cuts the requests that are in flight, because its process ends. From then on it refuses requests that may not
// be complete by that time, which another host can serve.
func (h *Handler) SetEnd(at time.Time) { h.end.Store(&at) }

// endOf returns the deadline of a request or, if that comes first, when this host cuts it.
func (h *Handler) endOf(rq *request) time.Time {
	if end := h.end.Load(); end != nil && end.Before(rq.deadline) {
		return *end
	}
	return rq.deadline
}

// mayBeCut reports whether a request that is sent now may still run when this host ends. A request that may be repeated is sent if it will
// probably be complete; any other one only if its deadline comes first, because its caller would not learn whether it has run.
func (h *Handler) mayBeCut(rq *request, expected time.Duration) bool {
	end := h.endOf(rq)
	if end.Equal(rq.deadline) {
		return false
	}
	if rq.command || expected == 0 {
		return true
	}
	return time.Now().Add(expectedTimeFactor * expected).After(end)
}

// checkEnd returns a failure if the request must not be sent because it may be cut when this host ends. An expected time of 0 means that none
// is known.
func (h *Handler) checkEnd(rq *request, expected time.Duration) *failure {
	if !h.mayBeCut(rq, expected) {
		return nil
	}
	return &failure{
		status: http.StatusServiceUnavailable, reason: reply.ReasonHostLeaving, retryAfter: leavingRetryAfter,
		notSent: true, retryScope: retryNone,
	}
}
