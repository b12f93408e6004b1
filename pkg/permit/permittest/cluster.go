package permittest

import (
	"slices"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Cluster is a failure domain of hosts, each with a permit.Manager.
type Cluster struct {
	Network *Network
	Store   *config.Store
	// Domain is the name of the failure domain.
	Domain string
	// Configure may change the options of each manager before the manager is created. It may be nil.
	Configure func(*permit.Options)

	mu    sync.Mutex
	hosts map[string]*Host
	// others are the other failure domains. Their running hosts are in the views of all hosts.
	others []*Cluster
}

// NewCluster returns a cluster without hosts.
func NewCluster(network *Network, store *config.Store, domain string) *Cluster {
	return &Cluster{Network: network, Store: store, Domain: domain, hosts: map[string]*Host{}}
}

// Join makes the hosts of two failure domains known to each other. The clusters must share their network and store.
func (c *Cluster) Join(other *Cluster) {
	c.addOther(other)
	other.addOther(c)
}

func (c *Cluster) addOther(other *Cluster) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.others = append(c.others, other)
}

// otherMembers returns the running hosts of the other failure domains.
func (c *Cluster) otherMembers() []membership.Member {
	c.mu.Lock()
	others := slices.Clone(c.others)
	c.mu.Unlock()
	var list []membership.Member
	for _, other := range others {
		for _, h := range other.Hosts() {
			list = append(list, h.Member)
		}
	}
	return list
}

// Host is one incarnation of a host. It implements membership.View.
type Host struct {
	*permit.Manager
	Member  membership.Member
	cluster *Cluster
	node    *Node
	stop    chan struct{}

	mu      sync.Mutex
	peers   map[string]*peerState
	loads   []permit.DomainLoad
	changed chan struct{}
	// resumed is closed when a paused host continues; it is nil while the host is not paused.
	resumed chan struct{}
}

// Add starts a host, or a new incarnation of a host that was killed. Its view starts with itself and fills by heartbeats.
func (c *Cluster) Add(name string) *Host {
	now := time.Now()
	member := membership.Member{
		Host: name, Incarnation: uint64(now.UnixMicro()), FailureDomain: c.Domain, PeerAddress: name, State: membership.StateAlive,
	}
	h := &Host{
		Member: member, cluster: c, stop: make(chan struct{}), changed: make(chan struct{}),
		peers: map[string]*peerState{name: {member: member, receivedAt: now}},
	}
	h.node = c.Network.Attach(Identity(member))
	o := permit.Options{
		Store: c.Store, View: h, Caller: h.node, Registrar: h.node, FailureDomain: c.Domain, LastReportedPermits: h.LastReportedPermits,
		DomainLoads: func(string) []permit.DomainLoad { return h.domainLoads() },
	}
	if c.Configure != nil {
		c.Configure(&o)
	}
	h.Manager = permit.NewManager(o)
	c.mu.Lock()
	c.hosts[name] = h
	c.mu.Unlock()
	go h.sendHeartbeats()
	return h
}

// StartAll adds each host to the views of all others, without waiting for heartbeats, and then starts the managers.
func (c *Cluster) StartAll() {
	for _, h := range c.Hosts() {
		for _, other := range c.Hosts() {
			other.receiveHeartbeat(h.Member, nil, time.Now())
		}
	}
	for _, h := range c.Hosts() {
		h.Start()
	}
}

// Hosts returns the running hosts, sorted by name.
func (c *Cluster) Hosts() []*Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := make([]*Host, 0, len(c.hosts))
	for _, h := range c.hosts {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b *Host) int { return compareNames(a.Member, b.Member) })
	return list
}

// Kill ends a host without a leave message.
func (c *Cluster) Kill(h *Host) {
	c.mu.Lock()
	delete(c.hosts, h.Member.Host)
	c.mu.Unlock()
	close(h.stop)
	c.Network.Detach(h.node)
	h.Close()
}

// Close ends all hosts.
func (c *Cluster) Close() {
	for _, h := range c.Hosts() {
		c.Kill(h)
	}
}

// Pause stops the dispatchers and the heartbeats of a host and disconnects it, as SIGSTOP does.
func (h *Host) Pause() {
	h.mu.Lock()
	h.resumed = make(chan struct{})
	h.mu.Unlock()
	h.setDisconnected(true)
}

// Resume continues a paused host. The time of the pause does not count as silence of the other hosts.
func (h *Host) Resume() {
	h.setDisconnected(false)
	h.mu.Lock()
	for _, p := range h.peers {
		p.receivedAt = time.Now()
	}
	resumed := h.resumed
	h.resumed = nil
	h.mu.Unlock()
	close(resumed)
}

func (h *Host) setDisconnected(on bool) {
	for _, other := range h.cluster.Hosts() {
		if other != h {
			h.cluster.Network.Cut(h.Member.Host, other.Member.Host, on)
			h.cluster.Network.Cut(other.Member.Host, h.Member.Host, on)
		}
	}
}

// waitWhilePaused blocks while the host is paused.
func (h *Host) waitWhilePaused() {
	h.mu.Lock()
	resumed := h.resumed
	h.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// Leave marks the host as leaving in its own view. Its heartbeats do not tell the others.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[h.Member.Host].member.State = membership.StateLeaving
	h.notify()
}

// SetLoads sets the reported loads of services in other failure domains.
func (h *Host) SetLoads(loads []permit.DomainLoad) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.loads = loads
}

func (h *Host) domainLoads() []permit.DomainLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.loads
}
