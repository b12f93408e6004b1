package permit

import (
	"slices"
	"sort"
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
	// trial is set for a request that is let through although its route seems to need more time than it has.
	trial bool
	// waitUntil is when the wait of a request ends.
	waitUntil time.Time
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

// queue is a priority queue of waiters, earliest deadline first. It is a sorted slice because admission control needs the rank
// of a deadline, which a binary search finds; most arrivals have the latest deadline, so that insertion is an append.
type queue struct {
	items []*waiter
	// head is the index of the first waiter; the items before it were removed.
	head int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) waiting() []*waiter { return q.items[q.head:] }

// rank returns the number of waiters that are served before a new one with the given deadline.
func (q *queue) rank(deadline time.Time) int {
	w := q.waiting()
	return sort.Search(len(w), func(i int) bool { return w[i].deadline.After(deadline) })
}

func (q *queue) push(w *waiter) {
	q.items = slices.Insert(q.items, q.head+q.rank(w.deadline), w)
}

// removeAt removes the waiter at index i of waiting(). Removing the first one only advances head; the slice is compacted once
// more than half of it is unused.
func (q *queue) removeAt(i int) {
	if i > 0 {
		q.items = slices.Delete(q.items, q.head+i, q.head+i+1)
		return
	}
	q.items[q.head] = nil
	q.head++
	if q.head > len(q.items)/2 {
		q.items = slices.Delete(q.items, 0, q.head)
		q.head = 0
	}
}

// remove removes w and reports whether it was queued.
func (q *queue) remove(w *waiter) bool {
	i := slices.Index(q.waiting(), w)
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}
