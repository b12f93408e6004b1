package budget

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/memnet"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// fleet runs the budgets of several hosts over real peer nodes on an in-memory network. The test sets each host's membership
// view, which may be inconsistent with the others.
type fleet struct {
	t     *testing.T
	net   *memnet.Network
	hosts map[string]*host
	stop  context.CancelFunc
	ctx   context.Context
	done  sync.WaitGroup

	mu   sync.Mutex
	cap  Cap
	uses []use
}

type use struct {
	at     time.Time
	amount float64
	limit  float64
}

type host struct {
	view   *fakeView
	node   *peer.Node
	budget *Budget
	pause  pauser
	alive  bool
}

var domains = map[string][]string{"x": {"x0", "x1", "x2"}, "y": {"y0", "y1", "y2"}}

func newFleet(t *testing.T, c Cap) *fleet {
	f := &fleet{t: t, net: memnet.New(), hosts: map[string]*host{}, cap: c}
	f.net.SetDelay("x", "y", 1500*time.Microsecond)
	f.net.SetDelay("x", "x", 500*time.Microsecond)
	f.net.SetDelay("y", "y", 500*time.Microsecond)
	f.ctx, f.stop = context.WithCancel(context.Background())
	for domain, names := range domains {
		for _, name := range names {
			f.start(name, domain)
		}
	}
	t.Cleanup(f.close)
	time.Sleep(supportTTL)
	return f
}

func (f *fleet) start(name, domain string) {
	network := f.net.Host(name, domain)
	listener, err := network.Listen(name)
	if err != nil {
		f.t.Fatal(err)
	}
	incarnation := uint64(time.Now().UnixMicro())
	h := &host{alive: true, view: newFakeView(name, domain, incarnation)}
	h.node = peer.New(peer.Options{
		Self:     peer.Identity{Host: name, Incarnation: incarnation, FailureDomain: domain, Region: "r"},
		Listener: listener, Dial: network.Dial,
	})
	h.budget = New(Options{View: h.view, Caller: h.node, Registrar: h.node, Cap: f.capNamed, MinHosts: 3})
	h.budget.testGate = h.pause.pass
	if err := h.node.Start(f.ctx); err != nil {
		f.t.Fatal(err)
	}
	f.hosts[name] = h
}

func (f *fleet) capNamed(string) (Cap, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cap, true
}

func (f *fleet) setRate(rate float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cap.Rate = rate
}

func (f *fleet) close() {
	f.stop()
	f.net.HealAll()
	for _, h := range f.hosts {
		f.kill(h)
	}
	f.done.Wait()
}

func (f *fleet) kill(h *host) {
	h.pause.set(false)
	if h.alive {
		h.alive = false
		h.budget.Close()
		_ = h.node.Close()
	}
}

// demand starts workers on a host that use as much of the cap as they are granted, in slices of amount.
func (f *fleet) demand(name string, workers int, amount float64) {
	h := f.hosts[name]
	for range workers {
		f.done.Go(func() {
			for f.ctx.Err() == nil && h.budget.ctx.Err() == nil {
				f.useOnce(h, amount)
			}
		})
	}
}

func (f *fleet) useOnce(h *host, amount float64) {
	lease, err := h.budget.Take(f.ctx, "c", amount)
	if err != nil {
		wait := 20 * time.Millisecond
		var refused *RefusedError
		if errors.As(err, &refused) {
			wait = min(refused.RetryAfter, 200*time.Millisecond)
		}
		select {
		case <-time.After(wait):
		case <-f.ctx.Done():
		}
		return
	}
	h.pause.pass() // simulates a pause between Take and Check
	if lease.Check() != nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.uses = append(f.uses, use{time.Now(), amount, f.cap.Rate})
}

// peak returns the largest amount used in a window [t, t+1 s), and the total used since a time. Checking only windows that
// start at a use suffices: any other window contains at most the uses of one of them.
func (f *fleet) peak(since time.Time) (peak, total float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	slices.SortStableFunc(f.uses, func(a, b use) int { return a.at.Compare(b.at) })
	end, sum := 0, 0.0
	for i, first := range f.uses {
		for end < len(f.uses) && f.uses[end].at.Before(first.at.Add(time.Second)) {
			sum += f.uses[end].amount
			end++
		}
		peak = max(peak, sum)
		sum -= f.uses[i].amount
		if !first.at.Before(since) {
			total += first.amount
		}
	}
	return peak, total
}

// fakeView is a membership.View of all hosts except the hidden ones.
type fakeView struct {
	self   membership.Member
	mu     sync.Mutex
	hidden map[string]bool
	// changed is closed at each change of hidden.
	changed chan struct{}
}

func newFakeView(name, domain string, incarnation uint64) *fakeView {
	return &fakeView{
		self:   membership.Member{Host: name, Incarnation: incarnation, FailureDomain: domain, PeerAddress: name},
		hidden: map[string]bool{}, changed: make(chan struct{}),
	}
}

func (v *fakeView) hide(name string, hidden bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hidden[name] = hidden && name != v.self.Host
	v.notify()
}

// notify closes the channel of Changed. v.mu must be held.
func (v *fakeView) notify() {
	close(v.changed)
	v.changed = make(chan struct{})
}

// leave removes a host from the live hosts of its domain, also in its own view.
func (v *fakeView) leave(name string, leaving bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hidden[name] = leaving
	v.notify()
}

func (v *fakeView) Self() membership.Member { return v.self }

func (v *fakeView) Domain(failureDomain string) []membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	var list []membership.Member
	for _, name := range domains[failureDomain] {
		if !v.hidden[name] {
			list = append(list, membership.Member{Host: name, FailureDomain: failureDomain, PeerAddress: name})
		}
	}
	return list
}

func (v *fakeView) All() []membership.Member { return append(v.Domain("x"), v.Domain("y")...) }

func (v *fakeView) Lookup(name string) (membership.Member, bool) {
	return membership.Member{Host: name, FailureDomain: name[:1], PeerAddress: name}, true
}

func (v *fakeView) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

// pauser blocks the calls of pass while the host is paused.
type pauser struct {
	mu   sync.Mutex
	wait chan struct{}
}

func (p *pauser) set(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case paused && p.wait == nil:
		p.wait = make(chan struct{})
	case !paused && p.wait != nil:
		close(p.wait)
		p.wait = nil
	}
}

func (p *pauser) pass() {
	p.mu.Lock()
	wait := p.wait
	p.mu.Unlock()
	if wait != nil {
		<-wait
	}
}

// injectRandomFault injects one random fault.
func (f *fleet) injectRandomFault(random *rand.Rand) {
	names := append(slices.Clone(domains["x"]), domains["y"]...)
	name, other := names[random.IntN(len(names))], names[random.IntN(len(names))]
	h := f.hosts[name]
	switch random.IntN(8) {
	case 0:
		f.net.Kill(name)
		f.kill(h)
		f.start(name, name[:1])
		f.demand(name, 6, 1)
	case 1:
		f.net.Freeze(name)
	case 2:
		f.net.Cut(name, other)
	case 3:
		f.net.CutBoth("x", "y")
	case 4:
		f.net.HealAll()
	case 5:
		h.pause.set(true)
	case 6:
		h.pause.set(false)
	case 7:
		h.view.hide(other, random.IntN(2) == 0)
	}
}
