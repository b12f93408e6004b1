package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// Guards against sequences of faults after which the live, connected hosts do not agree. The invariants in the program are
// checked throughout: the incarnation of a host never decreases, and each host is alive or leaving in its own table.
func TestRandomFaultsConverge(t *testing.T) {
	// With seed 454, a relay is lost that started in the same microsecond as the other relay of its failure domain.
	for _, seed := range []uint64{1, 2, 3, 4, 5, 6, 454} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { randomFaults(t, seed) })
		})
	}
}

func randomFaults(t *testing.T, seed uint64) {
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	c := newCluster(t)
	c.net.SetDelay("x", "y", 20*time.Millisecond)
	c.startMany("x", 6)
	c.startMany("y", 3)
	names := []string{"x-0", "x-1", "x-2", "x-3", "x-4", "x-5", "y-0", "y-1", "y-2"}
	c.converge(10 * time.Second)
	paused := map[string]bool{}
	for range 2 {
		for range 12 {
			randomFault(c, random, names, paused)
			time.Sleep(time.Duration(random.Int64N(int64(2 * time.Second))))
		}
		for name := range paused {
			c.resume(name)
			delete(paused, name)
		}
		c.net.HealAll()
		for _, name := range names[:len(names)-1] {
			if !c.hosts[name].alive && random.IntN(2) == 0 {
				c.start(name, name[:1])
			}
		}
		c.converge(20 * time.Second)
	}
}

func randomFault(c *cluster, random *rand.Rand, names []string, paused map[string]bool) {
	name, other := names[random.IntN(len(names))], names[random.IntN(len(names))]
	h := c.hosts[name]
	switch random.IntN(7) {
	case 0:
		if h.alive && !paused[name] && name != "x-0" && name != "y-0" {
			c.kill(name)
		}
	case 1:
		if !h.alive {
			c.start(name, h.domain)
		}
	case 2:
		c.net.Freeze(name)
	case 3:
		c.net.Cut(name, other)
	case 4:
		c.net.CutBoth("x", "y")
	case 5:
		c.net.HealAll()
		for p := range paused {
			c.net.CutBoth(p, "*")
		}
	case 6:
		if h.alive && !paused[name] {
			c.pause(name)
			paused[name] = true
		} else if paused[name] {
			c.resume(name)
			delete(paused, name)
		}
	}
}
