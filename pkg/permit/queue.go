package permit

import (
	"slices"
	"sort"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// waiter is an acquire call that the dispatcher has not answered yet.
type waiter struct {
	req       Request
	from      holder
	deadline  time.Time
	arrivedAt time.Time
	class     configv1.RequestClass
	sequence  uint64
	// waitUntil is when a request with an objective stops waiting.
	waitUntil time.Time
	// minWaitUntil is until when it waits in any case.
	minWaitUntil time.Time
	// willMissObjective is set if it can be in time at no target.
	willMissObjective bool
	// awaitedTarget is a target that is full now but expected to end the request before any other; nil if there is none.
	awaitedTarget *target
	// newest is the newest dispatcher that the caller knows of.
	newest dispatcherID
	// result has room for the one answer, so that the dispatcher never blocks on a caller.
	result chan answer
}

// answer is a granted permit, a refusal, or another failure domain.
type answer struct {
	permit   *permit
	address  string
	instance string
	// hedgeAfter is 0 if no hedged request may be sent.
	hedgeAfter time.Duration
	refusal    *RefusedError
	decision   Decision
	// redirectTo is the failure domain that serves the request instead.
	redirectTo string
}

// queue holds waiters in order of deadline. A sorted slice gives the rank of a deadline, which admission control needs, by
// binary search; most arrivals have the latest deadline and are appended.
type queue struct {
	items []*waiter
	head  int
}

func (q *queue) len() int { return len(q.items) - q.head }

func (q *queue) waiting() []*waiter { return q.items[q.head:] }

// rank returns how many waiters precede a deadline.
func (q *queue) rank(deadline time.Time) int {
	w := q.waiting()
	return sort.Search(len(w), func(i int) bool { return w[i].deadline.After(deadline) })
}

func (q *queue) push(w *waiter) {
	q.items = slices.Insert(q.items, q.head+q.rank(w.deadline), w)
}

// removeAt removes the waiter at index i of waiting.
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
