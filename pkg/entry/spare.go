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

// spareTime returns the spare time of a request that has some time left. A route of which nothing is known counts as one that needs half of it.
func (e *workEstimates) spareTime(rq *request, left time.Duration) time.Duration {
	e.mu.Lock()
	work, known := e.byRoute[workKey{rq.name, rq.statisticsRoute()}]
	e.mu.Unlock()
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
	return max(minQueueTimeout, (h.work.spareTime(rq, h.timeLeft(rq))-decisionDelay)/spareParts)
}

// acquireContext limits how long a request waits for the dispatcher's answer. It can be refused afterwards, also if this host ends.
func (h *Handler) acquireContext(rq *request) (context.Context, context.CancelFunc) {
	if rq.rule == nil {
		if left := h.timeLeft(rq); time.Now().Add(left).Before(rq.deadline) {
			return context.WithTimeout(rq.ctx, left-decisionDelay)
		}
		return rq.ctx, func() {}
	}
	return context.WithTimeout(rq.ctx, permit.WaitErrorFactor*h.queueTimeout(rq)+decisionDelay)
}
