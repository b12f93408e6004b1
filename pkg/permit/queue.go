package permit

import (
	"cmp"
	"slices"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// waiter is a pending acquire call. It is also the event that submits the call to the dispatcher.
type waiter struct {
	req  Request
	from holder
	// place is the failure domain of the requesting host; empty if it is unknown.
	place     string
	deadline  time.Time
	arrivedAt time.Time
	class     configv1.RequestClass
	sequence  uint64
	// precedence orders the waiters of one priority (see dispatcher.precedence).
	precedence int
	// work is the time for which the request is expected to occupy a slot.
	work time.Duration
	// trial is set for a request that is let through although its route seems to need more time than it has.
	trial bool
	// kept is set for a request that stays in this failure domain only because no more may leave it.
	kept bool
	// startBy is the latest start that was expected when the request was queued. waitUntil is when its wait ends.
	startBy, waitUntil time.Time
	// awaitedTarget is a target without a free slot that is still expected to complete the request before any other target
	// would; nil if there is none. awaitUntil is when the request takes any other target.
	awaitedTarget *target
	awaitUntil    time.Time
	// awaitedEnd is when the request is expected to be complete at the awaited target.
	awaitedEnd time.Time
	// newest is the newest dispatcher known to the requesting host. A dispatcher that is older is superseded by the call.
	newest dispatcherID
	// result has capacity for the single answer, so that the dispatcher never blocks on a caller.
	result chan answer
}

// answer is the result of an acquire call: a permit, a refusal, or a redirect to another failure domain.
type answer struct {
	permit   *permit
	address  string
	instance string
	// hedgeAfter is the delay after which a hedged request may be sent; 0 if none may.
	hedgeAfter time.Duration
	refusal    *RefusedError
	decision   Decision
	// redirectTo is the failure domain to which the request is redirected; empty if it is not.
	redirectTo string
}

// queue holds the waiters in the order in which they are served.
type queue []*waiter

// compareWaiters orders waiters by priority, then by precedence, and then by deadline: of two callers with the same rank the one with less time
// comes first, whatever the response time that their routes aim for.
func compareWaiters(a, b *waiter) int {
	return cmp.Or(
		cmp.Compare(a.req.Priority, b.req.Priority),
		cmp.Compare(a.precedence, b.precedence),
		a.deadline.Compare(b.deadline),
		cmp.Compare(a.sequence, b.sequence),
	)
}

func (q *queue) push(w *waiter) {
	*q = slices.Insert(*q, q.position(w), w)
}

// remove removes w and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(*q, w)
	if i < 0 {
		return false
	}
	*q = slices.Delete(*q, i, i+1)
	w.stopAwaiting()
	return true
}

// removeFunc removes the waiters for which remove returns true.
func (q *queue) removeFunc(remove func(*waiter) bool) {
	*q = slices.DeleteFunc(*q, func(w *waiter) bool {
		if !remove(w) {
			return false
		}
		w.stopAwaiting()
		return true
	})
}

// backlog is a number of waiting requests of a class, and the sum of their expected work.
type backlog struct {
	requests int
	work     time.Duration
}

// backlog returns the waiters of a request class.
func (q queue) backlog(class configv1.RequestClass) backlog {
	var b backlog
	for _, w := range q {
		if w.class == class {
			b.add(w)
		}
	}
	return b
}

func (b *backlog) add(w *waiter) {
	b.requests++
	b.work += w.work
}

// ahead returns the waiters of the class of w that are served before w.
func (q queue) ahead(w *waiter) backlog {
	return q[:q.position(w)].backlog(w.class)
}

// behind returns the waiters that are served after w.
func (q queue) behind(w *waiter) []*waiter { return q[q.position(w):] }

// position returns the index in the queue that a new waiter gets.
func (q queue) position(w *waiter) int {
	i, _ := slices.BinarySearchFunc(q, w, compareWaiters)
	return i
}

// hasRankOf reports whether only the deadlines decide which of two waiters comes first.
func (w *waiter) hasRankOf(o *waiter) bool {
	return w.req.Priority == o.req.Priority && w.precedence == o.precedence
}
