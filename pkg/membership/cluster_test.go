package membership_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/memnet"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// assumedRetention is the retention of dead hosts that TestPartitionBetweenDomainsHeals assumes. The trackers of the cluster
// use the default of 10 minutes instead.
const assumedRetention = 40 * time.Second

// TestMain turns the log off: the tests cause failures on purpose.
func TestMain(m *testing.M) {
	log.DefaultLogger.Level = log.FatalLevel
	m.Run()
}

// cluster runs trackers on real peer nodes over an in-memory network.
type cluster struct {
	t     *testing.T
	net   *memnet.Network
	list  *hostList
	seeds []string
	hosts map[string]*host
}

type host struct {
	name, domain string
	incarnation  uint64
	node         *peer.Node
	tracker      *membership.Tracker
	scope        tally.TestScope
	gate         gate
	alive        bool
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, net: memnet.New(), list: &hostList{}, hosts: map[string]*host{}}
	t.Cleanup(c.stop)
	return c
}

func (c *cluster) stop() {
	c.net.HealAll()
	for _, h := range c.hosts {
		h.gate.open()
	}
	for _, h := range c.hosts {
		if h.alive {
			h.tracker.Close()
			_ = h.node.Close()
		}
	}
}

// start starts a host, or restarts it with a newer incarnation.
func (c *cluster) start(name, domain string) *host {
	c.t.Helper()
	network := c.net.Host(name, domain)
	listener, err := network.Listen(name + ":1")
	if err != nil {
		c.t.Fatal(err)
	}
	h := &host{name: name, domain: domain, incarnation: uint64(time.Now().UnixMicro()), alive: true}
	h.scope = tally.NewTestScope("", nil)
	region := "region-" + domain
	h.node = peer.New(peer.Options{
		Self:     peer.Identity{Host: name, Incarnation: h.incarnation, FailureDomain: domain, Region: region},
		Listener: listener, Dial: network.Dial,
	})
	h.tracker = membership.New(membership.Options{
		Self: membership.Member{
			Host: name, Incarnation: h.incarnation, FailureDomain: domain, Region: region, PeerAddress: name + ":1",
		},
		Caller: h.node, Registrar: h.node, HostList: c.list, Seeds: c.seeds, Scope: h.scope,
		HeldPermits: func() []*peerv1.HeldPermits {
			return []*peerv1.HeldPermits{{Service: "s", Target: name, Count: 2, LatestDeadlineMs: 60_000}}
		},
		ConfigVersion: func() uint64 { return 7 },
		Headroom: func() []*peerv1.ServiceHeadroom {
			return []*peerv1.ServiceHeadroom{{Service: "s-" + domain, FreeSlots: 3}}
		},
		RandomSeed: h.incarnation,
	})
	h.tracker.SetGate(h.gate.pass)
	if err := h.node.Start(context.Background()); err != nil {
		c.t.Fatal(err)
	}
	h.tracker.Start(context.Background())
	c.hosts[name] = h
	return h
}

func (c *cluster) startMany(domain string, count int) {
	for i := range count {
		c.start(fmt.Sprintf("%s-%d", domain, i), domain)
	}
}

func (c *cluster) kill(name string) {
	h := c.hosts[name]
	c.net.Kill(name)
	h.alive = false
	h.gate.open()
	h.tracker.Close()
	_ = h.node.Close()
}

// pause stops a host and its network as SIGSTOP does; resume undoes it.
func (c *cluster) pause(name string) {
	c.hosts[name].gate.shut()
	c.net.CutBoth(name, memnet.Any)
}

func (c *cluster) resume(name string) {
	c.net.Heal(name, memnet.Any)
	c.net.Heal(memnet.Any, name)
	c.hosts[name].gate.open()
}

// state returns the state of a host in the table of the observer; dead if it is not in the table.
func (c *cluster) state(observer, of string) membership.State {
	m, ok := c.hosts[observer].tracker.Lookup(of)
	if !ok {
		return membership.StateDead
	}
	return m.State
}

// disagreement describes the first difference between the table of a live host and the actual hosts, or returns "".
func (c *cluster) disagreement() string {
	for _, observer := range c.hosts {
		if !observer.alive {
			continue
		}
		shown := map[string]uint64{}
		for _, m := range observer.tracker.All() {
			if m.State == membership.StateAlive {
				shown[m.Host] = m.Incarnation
			}
		}
		for _, h := range c.hosts {
			incarnation, ok := shown[h.name]
			if ok != h.alive || ok && incarnation != h.incarnation {
				return fmt.Sprintf("in the table of %s, %s has alive=%v incarnation=%d; expected alive=%v incarnation=%d", observer.name,
					h.name, ok, incarnation, h.alive, h.incarnation)
			}
		}
		if len(shown) > len(c.hosts) {
			return observer.name + " has unknown hosts in its table"
		}
	}
	return ""
}

// within polls until the condition holds and returns how long that took. It fails the test after limit.
func (c *cluster) within(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	start := time.Now()
	for !condition() {
		if time.Since(start) > limit {
			c.t.Fatalf("condition not met within %s: %s (%s)", limit, what, c.disagreement())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// converge waits until the tables of all live hosts agree, and then until each host has sent heartbeats to its watchers.
func (c *cluster) converge(limit time.Duration) {
	c.t.Helper()
	c.within(limit, "all views agree", func() bool { return c.disagreement() == "" })
	time.Sleep(time.Second)
}

// gate blocks calls of pass while it is shut.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed == nil {
		g.closed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

func (g *gate) pass() {
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		<-closed
	}
}

// hostList is the platform's host list, with an outage and a lag that tests set.
type hostList struct {
	mu   sync.Mutex
	down bool
	// lag is how long an entry takes to appear.
	lag     time.Duration
	entries []store.HostEntry
	reads   int
}

func (l *hostList) Hosts(context.Context) ([]store.HostEntry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if l.down {
		return nil, store.ErrUnavailable
	}
	return append([]store.HostEntry(nil), l.entries...), nil
}

func (l *hostList) Announce(_ context.Context, e store.HostEntry) error {
	time.Sleep(l.lag)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return store.ErrUnavailable
	}
	for i := range l.entries {
		if l.entries[i].Host == e.Host {
			l.entries[i] = e
			return nil
		}
	}
	l.entries = append(l.entries, e)
	return nil
}

// readCount returns the number of reads of the list.
func (l *hostList) readCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reads
}

func (l *hostList) update(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}
