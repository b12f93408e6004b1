package membership_test

import (
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// Guards against hosts that choose a host for a request, or for a tunnel, that reaches no target, and against one that is avoided after
// it reaches them again.
func TestUnreachableTargetsAreKnownEverywhere(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := newCluster(t)
		c.net.SetDelay("x", "y", 35*time.Millisecond)
		c.startMany("x", 6)
		c.startMany("y", 2)
		c.converge(10 * time.Second)
		const local, remote = 400 * time.Millisecond, 2 * time.Second
		limits := map[string]time.Duration{"x-1": local, "x-5": local, "y-1": remote}
		for _, unreachable := range []bool{true, false} {
			c.hosts["x-0"].tracker.SetTargetsUnreachable(unreachable)
			for observer, limit := range limits {
				c.within(limit, observer+" knows whether x-0 reaches targets", func() bool {
					m, ok := c.hosts[observer].tracker.Lookup("x-0")
					return ok && m.TargetsUnreachable == unreachable
				})
			}
		}
	})
}
