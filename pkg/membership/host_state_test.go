package membership_test

import (
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// Guards against hosts that choose a host for a request, or for a tunnel, that reaches no target or has no processor time, and against one
// that is avoided after that has ended.
func TestStateOfAHostIsKnownEverywhere(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := newCluster(t)
		c.net.SetDelay("x", "y", 35*time.Millisecond)
		c.startMany("x", 6)
		c.startMany("y", 2)
		c.converge(10 * time.Second)
		const local, remote = 400 * time.Millisecond, 2 * time.Second
		limits := map[string]time.Duration{"x-1": local, "x-5": local, "y-1": remote}
		tracker := c.hosts["x-0"].tracker
		for _, state := range []struct{ unreachable, overloaded bool }{{true, false}, {true, true}, {false, true}, {false, false}} {
			tracker.SetTargetsUnreachable(state.unreachable)
			tracker.SetOverloaded(state.overloaded)
			for observer, limit := range limits {
				c.within(limit, observer+" knows the state of x-0", func() bool {
					m, ok := c.hosts[observer].tracker.Lookup("x-0")
					return ok && m.TargetsUnreachable == state.unreachable && m.Overloaded == state.overloaded
				})
			}
		}
	})
}
