package permit_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// Guards against a service that stays without a dispatcher, or a host that ends, because a dispatcher has panicked; and against slots that
// the next dispatcher grants although they are in use.
func TestPanickedDispatcherIsReplaced(t *testing.T) {
	run(t, 5, 3, permittest.Objects(threeTargets), func(d *domain, is *is.I) {
		owner, others := d.ownerAndOthers("lookup")
		held := d.take(is, others[0])
		owner.BreakDispatcher("lookup")
		time.Sleep(time.Second)
		var granted []*permit.Grant
		for range 5 {
			granted = append(granted, d.take(is, others[1]))
		}
		req := d.request("lookup", 100*time.Millisecond)
		_, err := others[1].Acquire(context.Background(), req)
		is.True(err != nil) // all six slots are in use
		for _, g := range append(granted, held) {
			g.Release(permit.Observation{Outcome: ok, Total: time.Millisecond})
		}
	})
}
