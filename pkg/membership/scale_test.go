package membership_test

import (
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// Guards against tables that never converge because many hosts start at the same moment and cause many changes.
func TestManyHostsStartAtOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		c := newCluster(t)
		c.list.update(func() { c.list.down = true })
		c.seeds = []string{"x-0:1"}
		c.startMany("x", 14)
		c.startMany("y", 14)
		c.startMany("z", 14)
		c.converge(30 * time.Second)
	})
}
