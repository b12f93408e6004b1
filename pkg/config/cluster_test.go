package config

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// networkDelay is the default one-way delay of an RPC.
const networkDelay = time.Millisecond

// deadAfter is the time after which a paused host counts as dead in the membership views.
const deadAfter = 2 * time.Second

// cluster is a set of hosts that are connected by an in-memory network and share an in-memory platform.
type cluster struct {
	t        *testing.T
	platform *memory.Platform
	options  Options

	mu      sync.Mutex
	nodes   map[string]*node
	blocked map[[2]string]bool
	// delay returns the one-way delay of an RPC from a to b.
	delay func(a, b *node) time.Duration
	// rpcs counts the RPCs in progress.
	rpcs sync.WaitGroup
}

// node is one host: its manager and the interfaces on which the manager depends.
type node struct {
	cluster  *cluster
	self     membership.Member
	client   *memory.Platform
	manager  *Manager
	handlers map[string]peer.Handler
	stop     context.CancelFunc
	stopped  chan struct{}
	// resumed is closed when the paused host resumes; it is nil while the host is not paused.
	resumed chan struct{}
	// pausedAt is the time at which the host was last paused.
	pausedAt time.Time
}

func newCluster(t *testing.T, options Options) *cluster {
	return &cluster{
		t:        t,
		platform: memory.New(),
		options:  options,
		nodes:    map[string]*node{},
		blocked:  map[[2]string]bool{},
		delay:    func(_, _ *node) time.Duration { return networkDelay },
	}
}

// start starts perDomain hosts in each failure domain and returns them in the order of domains.
func (c *cluster) start(perDomain int, domains ...string) []*node {
	var started []*node
	for _, domain := range domains {
		for i := range perDomain {
			started = append(started, c.startHost(fmt.Sprintf("%s-%d", domain, i), domain))
		}
	}
	return started
}

func (c *cluster) startHost(name, domain string) *node {
	n := &node{
		cluster:  c,
		self:     membership.Member{Host: name, FailureDomain: domain, Region: domain, PeerAddress: name},
		client:   c.platform.Client(),
		handlers: map[string]peer.Handler{},
		stopped:  make(chan struct{}),
	}
	options := c.options
	options.PeerVersions = n.peerVersions
	options.Seed = uint64(len(name)*1000 + len(c.nodes) + 1)
	n.manager = NewManager(pausable{n.client, n}, NewStore(), n, n, n, options)
	c.mu.Lock()
	c.nodes[name] = n
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	go func() { defer close(n.stopped); n.manager.Run(ctx) }()
	return n
}

// shutdown stops all hosts, so that the synctest bubble can end.
func (c *cluster) shutdown() {
	for _, n := range c.all() {
		n.resume()
		n.stop()
	}
	for _, n := range c.all() {
		<-n.stopped
	}
	c.rpcs.Wait()
}

func (n *node) crash() {
	c := n.cluster
	c.mu.Lock()
	delete(c.nodes, n.self.Host)
	c.mu.Unlock()
	n.resume()
	n.stop()
	<-n.stopped
}

func (c *cluster) all() []*node {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*node, 0, len(c.nodes))
	for _, n := range c.nodes {
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b *node) int {
		if a.self.Host < b.self.Host {
			return -1
		}
		return 1
	})
	return list
}

// partition separates a failure domain from the others and, with platformToo, from the platform. If cut is false, it ends the
// partition.
func (c *cluster) partition(domain string, cut, platformToo bool) {
	for _, a := range c.all() {
		for _, b := range c.all() {
			if (a.self.FailureDomain == domain) != (b.self.FailureDomain == domain) {
				c.mu.Lock()
				c.blocked[[2]string{a.self.Host, b.self.Host}] = cut
				c.mu.Unlock()
			}
		}
		if a.self.FailureDomain == domain {
			a.client.SetFaults(memory.Faults{Outage: cut && platformToo})
		}
	}
}

func (n *node) reaches(other *node) bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return !n.cluster.blocked[[2]string{n.self.Host, other.self.Host}] && n.cluster.nodes[other.self.Host] == other
}

func (n *node) pause() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.resumed == nil {
		n.resumed, n.pausedAt = make(chan struct{}), time.Now()
	}
}

func (n *node) resume() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	if n.resumed != nil {
		close(n.resumed)
		n.resumed = nil
	}
}

// waitResumed blocks while the host is paused.
func (n *node) waitResumed() {
	n.cluster.mu.Lock()
	resumed := n.resumed
	n.cluster.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Handle implements peer.Registrar.
func (n *node) Handle(method string, h peer.Handler) { n.handlers[method] = h }

// Call implements peer.Caller. A call to a paused host is delivered when the host resumes, even after ctx has ended.
func (n *node) Call(ctx context.Context, to peer.Address, method string, req, resp proto.Message) error {
	n.waitResumed()
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	n.cluster.mu.Lock()
	target := n.cluster.nodes[to.Host]
	n.cluster.mu.Unlock()
	if target == nil || !n.reaches(target) {
		return errors.Newf("no connection to %s", to.Host)
	}
	answers := make(chan func() error, 1)
	n.cluster.rpcs.Go(func() {
		time.Sleep(n.cluster.delay(n, target))
		target.waitResumed()
		if !n.reaches(target) {
			answers <- func() error { return errors.Newf("connection to %s lost", to.Host) }
			return
		}
		answer, err := target.handlers[method](ctx, peer.Identity{Host: n.self.Host, FailureDomain: n.self.FailureDomain}, payload)
		time.Sleep(n.cluster.delay(n, target))
		answers <- func() error {
			if err != nil {
				return err
			}
			proto.Merge(resp, answer)
			return nil
		}
	})
	select {
	case finish := <-answers:
		n.waitResumed()
		return finish()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *node) isCrashed() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.nodes[n.self.Host] != n
}

// isDead reports whether the host counts as dead in the membership views.
func (n *node) isDead() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.resumed != nil && time.Since(n.pausedAt) > deadAfter
}

// peerVersions returns the versions in force on reachable, live hosts, like heartbeats and domain summaries do.
func (n *node) peerVersions() map[string]uint64 {
	versions := map[string]uint64{}
	for _, other := range n.cluster.all() {
		if other != n && n.reaches(other) && !other.isDead() {
			versions[other.self.Host] = other.manager.store.Current().Version
		}
	}
	return versions
}

// Self implements membership.View.
func (n *node) Self() membership.Member { return n.self }

// Domain implements membership.View.
func (n *node) Domain(failureDomain string) []membership.Member {
	return slices.DeleteFunc(n.All(), func(m membership.Member) bool { return m.FailureDomain != failureDomain })
}

// All implements membership.View with the hosts that n can reach.
func (n *node) All() []membership.Member {
	var members []membership.Member
	for _, other := range n.cluster.all() {
		if other == n || n.reaches(other) && !other.isDead() {
			members = append(members, other.self)
		}
	}
	return members
}

// Lookup implements membership.View.
func (n *node) Lookup(host string) (membership.Member, bool) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	other, ok := n.cluster.nodes[host]
	if !ok {
		return membership.Member{}, false
	}
	return other.self, true
}

// Changed implements membership.View.
func (n *node) Changed() <-chan struct{} { return nil }

// pausable is a platform client that holds back responses while its host is paused, so that the host resumes with stale data.
type pausable struct {
	store.Platform
	node *node
}

func (p pausable) Get(ctx context.Context, key string) (store.Row, error) {
	p.node.waitResumed()
	defer p.node.waitResumed()
	return p.Platform.Get(ctx, key)
}

func (p pausable) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	p.node.waitResumed()
	defer p.node.waitResumed()
	return p.Platform.Scan(ctx, prefix, after, limit)
}

func (p pausable) Commit(ctx context.Context, txn store.Txn) error {
	p.node.waitResumed()
	defer p.node.waitResumed()
	return p.Platform.Commit(ctx, txn)
}

// DeleteObject implements objectDeleter.
func (p pausable) DeleteObject(ctx context.Context, name string) error {
	p.node.waitResumed()
	return p.node.client.DeleteObject(ctx, name)
}

func place(name string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Place{Place: &configv1.Place{Name: name, Region: "r-" + name}}}
}

func placeIn(name, region string) *configv1.Object {
	return &configv1.Object{Kind: &configv1.Object_Place{Place: &configv1.Place{Name: name, Region: region}}}
}

// putAt returns the mutation that puts o with base as its base version.
func putAt(o *configv1.Object, base uint64) []*configv1.Mutation {
	return []*configv1.Mutation{{Action: &configv1.Mutation_Put{Put: o}, BaseVersion: base}}
}

// commit commits mutations through this host and fails the test on an error.
func (n *node) commit(id string, mutations []*configv1.Mutation) uint64 {
	n.cluster.t.Helper()
	version, err := n.manager.Commit(context.Background(), id, mutations)
	if err != nil {
		n.cluster.t.Fatalf("commit %s on %s: %v", id, n.self.Host, err)
	}
	return version
}

func (n *node) inForce() uint64 { return n.manager.store.Current().Version }

// waitInForce waits until a version is in force on all given hosts and returns the time that this took. It fails the test after
// limit.
func (c *cluster) waitInForce(version uint64, limit time.Duration, nodes ...*node) time.Duration {
	c.t.Helper()
	start := time.Now()
	for _, n := range nodes {
		for n.inForce() < version {
			if time.Since(start) > limit {
				c.t.Fatalf("%s has version %d in force, not %d, after %v", n.self.Host, n.inForce(), version, limit)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(start)
}
