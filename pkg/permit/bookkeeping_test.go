package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Guards against slots that are granted twice: the permits of a host that does not respond stay reserved until their deadlines, even
// if the host was seen dead long before the dispatcher started.
func TestReservationsLastUntilTheDeadlines(t *testing.T) {
	is := is.New(t)
	const left = 10 * time.Second
	now := time.Now()
	m := &Manager{opts: Options{LastReportedPermits: func(string) []*peerv1.HeldPermits {
		return []*peerv1.HeldPermits{{Service: "s", Target: "t", Count: 2, LatestDeadlineMs: uint32(left.Milliseconds())}}
	}}}
	d := &dispatcher{service: "s", slots: newSlotTable(), manager: m}
	d.reserve(&follower{holder: holder{host: "h2", incarnation: 1}})
	is.Equal(len(d.slots.permits), 2)
	for _, p := range d.slots.permits {
		is.True(!p.expires.Before(now.Add(left)))
	}
}

// Guards against a target that counts as busier than it is for the rest of the dispatcher's life: requests that waited for it were
// refused together, when no target was left for a moment.
func TestRefusedRequestsAwaitNoTarget(t *testing.T) {
	is := is.New(t)
	awaited := &target{name: "t"}
	w := &waiter{result: make(chan answer, 1), awaitedTarget: awaited}
	awaited.awaitingWaiters = 1
	d := &dispatcher{service: "s", slots: newSlotTable(), queue: queue{w}}
	d.refuseAll(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, time.Second)
	is.Equal((<-w.result).refusal.Reason, peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET)
	is.Equal(awaited.awaitingWaiters, 0)
}

// Guards against a host that never ends its stop: a dispatcher that is started while the manager closes does not run, and nothing may
// wait for its end.
func TestNoDispatcherStartsAfterClose(t *testing.T) {
	is := is.New(t)
	m := &Manager{dispatchers: map[string]*dispatcher{}}
	is.True(m.addDispatcher("s", &dispatcher{}))
	m.closed = true
	is.True(!m.addDispatcher("t", &dispatcher{}))
	is.Equal(len(m.running()), 1)
}

// Guards against the same hang in the stop itself: a dispatcher that was to start during Close must not keep its stop waiting.
func TestStopDoesNotWaitForADispatcherThatNeverRan(t *testing.T) {
	is := is.New(t)
	m := &Manager{scope: tally.NoopScope, dispatchers: map[string]*dispatcher{}, clientStates: map[string]*clientState{}, closed: true}
	m.startDispatcher("s")
	is.Equal(len(m.running()), 0)
	stopped := make(chan struct{})
	go func() {
		m.stopDispatcher("s")
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(5 * time.Second):
		t.Fatal("the stop waits for a dispatcher that never ran")
	}
}
