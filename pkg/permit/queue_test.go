package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that is refused for the sake of one that waits longer than expected although slots are free: that one excludes their
// targets, or waits for a cold one.
func TestOnlyContendedSlotsDisplaceWaitingRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	d := &dispatcher{queue: queue{{
		class: classShort, deadline: now.Add(2 * time.Second), startBy: now.Add(-time.Millisecond), work: 300 * time.Millisecond,
	}}}
	w := &waiter{class: classShort, deadline: now.Add(time.Second), work: 300 * time.Millisecond}
	displaces := func(free int) bool {
		return d.displaces(w, d.queue.ahead(w), classCapacity{free: free, usable: 4, meanHold: 300 * time.Millisecond}, now)
	}
	is.True(!displaces(2))
	is.True(displaces(0))
	w.deadline = now.Add(3 * time.Second)
	is.True(!displaces(0)) // it comes later anyway
	w.deadline, w.req.Priority = now.Add(time.Second), 1
	is.True(!displaces(0)) // it is less urgent
}

// Guards against an order in which urgent requests, or of equally urgent ones those with less time, come later.
func TestOrderOfWaitingRequests(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	waiters := []*waiter{
		{sequence: 4, deadline: now.Add(time.Second)},
		{sequence: 3, deadline: now.Add(2 * time.Second)},
		{sequence: 6, deadline: now.Add(2 * time.Second)},
		{sequence: 1, deadline: now, precedence: precedenceShortForwarded},
		{sequence: 2, deadline: now, req: Request{Priority: 1}},
	}
	var q queue
	for _, i := range []int{4, 2, 0, 3, 1} {
		q.push(waiters[i])
	}
	for i, w := range waiters {
		is.Equal(q[i], w)
	}
	is.Equal(q.ahead(waiters[2]).requests, 2)
	is.Equal(len(q.behind(waiters[3])), 2)
}
