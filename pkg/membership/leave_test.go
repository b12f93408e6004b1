package membership_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// Guards against a failure domain whose hosts all leave at once without the other domains being informed, because leaving
// hosts are not relays.
func TestWholeDomainLeaves(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.net.SetDelay("x", "y", 35*time.Millisecond)
		c.startMany("x", 2)
		c.startMany("y", 3)
		c.converge(10 * time.Second)
		for _, name := range []string{"x-0", "x-1"} {
			is.NoErr(c.hosts[name].tracker.Leave(context.Background()))
		}
		for _, observer := range []string{"y-0", "y-1", "y-2"} {
			c.within(2*time.Second, observer+" has both hosts of the domain as leaving", func() bool {
				return c.state(observer, "x-0") == membership.StateLeaving &&
					c.state(observer, "x-1") == membership.StateLeaving
			})
		}
	})
}

// Guards against hosts that start together, find no host on the platform's lagging list and read it again only after a
// minute.
func TestHostsThatStartTogetherFindEachOther(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := newCluster(t)
		c.list.lag = 4 * time.Second
		c.net.SetDelay("x", "y", 35*time.Millisecond)
		c.startMany("x", 4)
		c.startMany("y", 4)
		c.startMany("z", 4)
		c.converge(30 * time.Second)
	})
}

// Guards against failure domains that do not discover each other because only relays of the second rank exchanged summaries:
// these do not distribute them in their own domain.
func TestDomainsWithOneSeedFindEachOther(t *testing.T) {
	for i := range 24 {
		// The names determine which hosts are relays and their ranks.
		first, second := fmt.Sprintf("x%d", i), fmt.Sprintf("y%d", i)
		bubble.Run(t, func(t *testing.T) {
			c := newCluster(t)
			c.list.down = true
			c.seeds = []string{first + "-0:1"}
			c.startMany(first, 4)
			c.seeds = []string{first + "-0:1", second + "-0:1"}
			c.startMany(second, 4)
			c.converge(15 * time.Second)
		})
	}
}

// Guards against hosts that read the list every few seconds for two minutes although they have discovered all others: such
// reads were half of the platform calls of a large deployment. A host that is alone keeps reading often.
func TestHostsThatKnowEachOtherReadTheListSeldom(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.startMany("x", 3)
		c.converge(10 * time.Second)
		time.Sleep(80 * time.Second)
		is.True(c.list.readCount() <= 3*(2+2+2)) // two reads with new hosts, two without, two at the normal interval

		alone := newCluster(t)
		alone.startMany("y", 1)
		time.Sleep(80 * time.Second)
		is.True(alone.list.readCount() >= 8)
	})
}
