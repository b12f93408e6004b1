package budget

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// warmUp takes one slice per host, so that the holder of each failure domain obtains its majority.
func (f *fleet) warmUp() {
	for _, h := range f.hosts {
		_, _ = h.budget.Take(f.ctx, "c", 1)
	}
	time.Sleep(time.Second)
}

// Guards against a host that sends with budget that expired while the host was paused, either after Take returned or before it
// read the holder's response.
func TestPausedHostDoesNotSend(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, testCap(100))
		f.warmUp()
		for name, h := range f.hosts {
			lease, err := h.budget.Take(f.ctx, "c", 1)
			is.NoErr(err)
			is.NoErr(lease.Check())
			time.Sleep(sliceTTL)
			is.True(errors.Is(lease.Check(), ErrExpired))

			holder, _ := h.budget.holder("c", name[:1])
			if holder.Host == name {
				continue
			}
			time.AfterFunc(200*time.Microsecond, func() { h.pause.set(true) })
			time.AfterFunc(100*time.Millisecond, func() { h.pause.set(false) })
			_, err = h.budget.Take(context.Background(), "c", 1)
			is.True(errors.Is(err, ErrExpired))
		}
	})
}

// Guards against two holders of a cap at a time. A restarted host has lost its support leases, so it must not grant one
// before the old ones have expired; and a holder must not be replaced before its support expires.
func TestSupportIsExclusive(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, testCap(100))
		b := f.hosts["x0"].budget
		is.True(b.grantSupport("c", "x1", 5, 1))
		time.Sleep(supportTTL - time.Millisecond)
		is.True(!b.grantSupport("c", "x2", 1, 1))
		is.True(!b.grantSupport("c", "x1", 6, 1)) // a restarted holder has lost its schedule
		is.True(b.grantSupport("c", "x1", 5, 1))
		f.net.Kill("x0")
		f.kill(f.hosts["x0"])
		f.start("x0", "x")
		b = f.hosts["x0"].budget
		time.Sleep(supportTTL - time.Millisecond)
		is.True(!b.grantSupport("c", "x2", 1, 1))
		time.Sleep(time.Millisecond)
		is.True(b.grantSupport("c", "x2", 1, 1))
	})
}
