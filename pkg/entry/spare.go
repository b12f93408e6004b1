package entry

import (
	"context"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// The spare time of a request is the time until its deadline, or until its host ends, beyond the work that it needs. A request that matches a
// rule uses a third of it for the wait that its dispatcher expects, and another third in case that the wait turns out longer. The rest is left
// for another failure domain, in case that the dispatcher does not answer: replacing a failed one takes seconds. A wait for budget on a link to
// another region takes a third at most, too.

const (
	// spareParts is the number of parts of the spare time: the expected wait, its error, and the wait in another failure domain.
	spareParts = 3
	// decisionDelay is the time that the dispatcher's answer takes beyond the wait: the network, and a busy processor at both ends.
	decisionDelay = 20 * time.Millisecond
	// minQueueTimeout stands for no wait: a queue timeout of 0 means that there is none.
	minQueueTimeout = time.Millisecond
	// maxWorkEstimates bounds the memory of the estimates; routes and rules come from the configuration.
	maxWorkEstimates = 4096
)

// workEstimates holds how long the requests of each route take, as the dispatchers expected at the last grant.
type workEstimates struct {
	mu      sync.Mutex
	byRoute map[workKey]time.Duration
}

type workKey struct{ service, route string }

func newWorkEstimates() *workEstimates { return &workEstimates{byRoute: map[workKey]time.Duration{}} }

func (e *workEstimates) record(rq *request, expected time.Duration) {
	if expected <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.byRoute) >= maxWorkEstimates {
		clear(e.byRoute)
	}
	e.byRoute[workKey{rq.name, rq.statisticsRoute()}] = expected
}

// of returns how long a request is expected to take, and whether that is known.
func (e *workEstimates) of(rq *request) (work time.Duration, known bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	work, known = e.byRoute[workKey{rq.name, rq.statisticsRoute()}]
	return work, known
}

// spareTime returns the spare time that is left now. A route of which nothing is known counts as one that needs half of the time left.
func (h *Handler) spareTime(rq *request) time.Duration {
	left := time.Until(h.endOf(rq))
	work, known := h.work.of(rq)
	if !known {
		work = left / 2
	}
	return max(0, left-work)
}

// queueTimeout returns the longest expected wait for a permit, or 0 if the request may wait until its deadline.
func (h *Handler) queueTimeout(rq *request) time.Duration {
	if rq.rule == nil {
		return 0
	}
	return max(minQueueTimeout, (h.spareTime(rq)-decisionDelay)/spareParts)
}

// acquireContext limits how long a request with a queue timeout waits for the dispatcher's answer. It can be refused afterwards, also if this
// host ends.
func (h *Handler) acquireContext(rq *request, queueTimeout time.Duration) (context.Context, context.CancelFunc) {
	if queueTimeout > 0 {
		return context.WithTimeout(rq.ctx, permit.WaitErrorFactor*queueTimeout+decisionDelay)
	}
	if end := h.endOf(rq); end.Before(rq.deadline) {
		return context.WithDeadline(rq.ctx, end.Add(-decisionDelay))
	}
	return rq.ctx, func() {}
}
