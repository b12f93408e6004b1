package budget

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// soleView is the membership.View of a host that is alone in its failure domain. A leaving host is not in its own Domain.
type soleView struct {
	mu   sync.Mutex
	self membership.Member
}

func (v *soleView) setState(state membership.State) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.self.State = state
}

func (v *soleView) Self() membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.self
}

func (v *soleView) All() []membership.Member { return []membership.Member{v.Self()} }
func (v *soleView) Changed() <-chan struct{} { return nil }
func (v *soleView) Domain(string) []membership.Member {
	if self := v.Self(); self.State != membership.StateLeaving {
		return []membership.Member{self}
	}
	return nil
}

func (v *soleView) Lookup(host string) (membership.Member, bool) {
	self := v.Self()
	return self, host == self.Host
}

// noPeers is a peer.Registrar and a peer.Caller without other hosts.
type noPeers struct{}

func (noPeers) Handle(string, peer.Handler) {}

func (noPeers) Call(context.Context, peer.Address, string, proto.Message, proto.Message) error {
	return errors.New("there is no other host")
}

// Guards against responses that wait for budget until their deadline because their host is the last one of its failure domain and
// leaves: nobody held the caps of the domain then, and forwarded reads ended with 504 after 10 s.
func TestLastHostOfADomainKeepsItsCapsWhileItLeaves(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := testCap(200)
		c.Unit = UnitMegabits
		view := &soleView{self: membership.Member{Host: "x0", FailureDomain: "x", PeerAddress: "x0", State: membership.StateAlive}}
		b := New(Options{
			View: view, Caller: noPeers{}, Registrar: noPeers{}, Cap: func(string) (Cap, bool) { return c, true }, MinHosts: 1,
		})
		defer b.Close()
		p := NewPacer(b, func(string) (string, bool) { return "c", true })
		time.Sleep(supportTTL)
		for _, state := range []membership.State{membership.StateAlive, membership.StateLeaving} {
			view.setState(state)
			for range 10 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				is.NoErr(p.Pace(ctx, "remote", 16<<10))
				cancel()
				time.Sleep(time.Second) // several terms of a support lease
			}
		}
	})
}

// Guards against seconds without budget whenever the holder of a cap is replaced by plan: when it leaves, and when it is back. Requests
// and responses over the link waited for the support of the previous holder to expire, some of them until their deadline.
func TestPlannedHandoverOfACapIsShort(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		c := testCap(100)
		c.Domains = []string{"x"} // nothing can be borrowed from another domain
		f := newFleet(t, c)
		owner, ok := f.hosts["x0"].budget.holder("c", "x")
		is.True(ok)
		user := f.hosts[map[string]string{"x0": "x1", "x1": "x2", "x2": "x0"}[owner.Host]]
		f.demand(user.view.self.Host, 1, 1)
		time.Sleep(5 * time.Second) // the holder has support, which is renewed
		for _, leaving := range []bool{true, false, true} {
			for _, h := range f.hosts {
				h.view.leave(owner.Host, leaving)
			}
			start := time.Now()
			f.waitForUse(start)
			is.True(time.Since(start) < supportTTL/3)
			time.Sleep(5 * time.Second)
		}
		peak, _ := f.peak(time.Time{})
		is.True(peak <= 100)
	})
}

// waitForUse waits until a part of the cap is used after a time.
func (f *fleet) waitForUse(since time.Time) {
	for {
		f.mu.Lock()
		used := len(f.uses) > 0 && f.uses[len(f.uses)-1].at.After(since.Add(grantHorizon))
		f.mu.Unlock()
		if used {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
