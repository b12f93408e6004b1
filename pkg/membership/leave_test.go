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

// Guards against a failure domain whose hosts all leave at once and of which the other domains are not told, because only
// hosts that stay are relays.
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
			c.within(2*time.Second, observer+" knows that the domain leaves", func() bool {
				return c.state(observer, "x-0") == membership.StateLeaving &&
					c.state(observer, "x-1") == membership.StateLeaving
			})
		}
	})
}

// Guards against hosts that start together, find nobody on the platform's lagging list and read it again only a minute later.
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

// Guards against failure domains that stay unknown to each other, because only relays of the second rank have met: they do
// not pass on what they know to the hosts of their domain.
func TestDomainsWithOneSeedFindEachOther(t *testing.T) {
	for i := range 24 {
		// The names decide which hosts are relays, and of which rank.
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

// Guards against hosts that read the list every few seconds for two minutes though they know all the others: half of the calls of
// a grown deployment on its platform were such reads. A host that knows nobody goes on reading.
func TestHostsThatKnowEachOtherReadTheListSeldom(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(t)
		c.startMany("x", 3)
		c.converge(10 * time.Second)
		time.Sleep(80 * time.Second)
		is.True(c.list.readCount() <= 3*(2+2+2)) // two reads that name new hosts, two that do not, two of the mean interval

		alone := newCluster(t)
		alone.startMany("y", 1)
		time.Sleep(80 * time.Second)
		is.True(alone.list.readCount() >= 8)
	})
}
