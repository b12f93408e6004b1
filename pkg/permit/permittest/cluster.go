package permittest

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Heartbeat interval and failure detector timeouts of the design.
const (
	HeartbeatInterval = 200 * time.Millisecond
	suspectAfter      = time.Second
	deadAfter         = 2 * time.Second
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

// peerState is what a host has received from another one in heartbeats.
type peerState struct {
	member membership.Member
	held   []*peerv1.HeldPermits
	// sentAt is when the last received heartbeat was sent.
	sentAt time.Time
	// heartbeats holds the send and receive times of all heartbeats of this incarnation.
	heartbeats [][2]time.Time
	receivedAt time.Time
}

var _ membership.View = (*Host)(nil)

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

// sendHeartbeats sends heartbeats and runs the failure detector until the host is killed.
func (h *Host) sendHeartbeats() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
		}
		h.waitWhilePaused()
		h.detectFailures()
		held := h.HeldPermits()
		for _, other := range h.cluster.Hosts() {
			if other != h {
				go h.send(other, held)
			}
		}
	}
}

func (h *Host) send(to *Host, held []*peerv1.HeldPermits) {
	sent := time.Now()
	if h.cluster.Network.deliver(h.Member.Host, to.Member.Host) {
		to.receiveHeartbeat(h.Member, held, sent)
	}
}

// receiveHeartbeat records a heartbeat unless a later one, or one of a newer incarnation, was received before.
func (h *Host) receiveHeartbeat(from membership.Member, held []*peerv1.HeldPermits, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.peers[from.Host]
	if known != nil && (known.member.Incarnation > from.Incarnation || known.sentAt.After(sentAt)) {
		return
	}
	changed := known == nil || known.member.Incarnation != from.Incarnation || known.member.State != membership.StateAlive
	next := &peerState{member: from, held: held, sentAt: sentAt, receivedAt: time.Now()}
	if known != nil && known.member.Incarnation == from.Incarnation {
		next.heartbeats = known.heartbeats
	}
	next.heartbeats = append(next.heartbeats, [2]time.Time{sentAt, next.receivedAt})
	h.peers[from.Host] = next
	if changed {
		h.notify()
	}
}

func (h *Host) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// detectFailures marks hosts as suspect or dead by the time since their last heartbeat.
func (h *Host) detectFailures() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, p := range h.peers {
		if name == h.Member.Host {
			continue
		}
		state := membership.StateAlive
		switch silent := time.Since(p.receivedAt); {
		case silent > deadAfter:
			state = membership.StateDead
		case silent > suspectAfter:
			state = membership.StateSuspect
		}
		if state != p.member.State {
			p.member.State = state
			h.notify()
		}
	}
}

// Leave marks the host as leaving in its own view. Its heartbeats do not tell the others.
func (h *Host) Leave() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.peers[h.Member.Host].member.State = membership.StateLeaving
	h.notify()
}

// Self implements membership.View.
func (h *Host) Self() membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[h.Member.Host].member
}

// Domain implements membership.View.
func (h *Host) Domain(failureDomain string) []membership.Member {
	return slices.DeleteFunc(h.All(), func(m membership.Member) bool {
		return m.State == membership.StateLeaving || m.FailureDomain != failureDomain
	})
}

// All implements membership.View.
func (h *Host) All() []membership.Member {
	list := h.cluster.otherMembers()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.member.State != membership.StateDead {
			list = append(list, p.member)
		}
	}
	slices.SortFunc(list, compareNames)
	return list
}

// Lookup implements membership.View.
func (h *Host) Lookup(host string) (membership.Member, bool) {
	if m, ok := h.lookupOwnDomain(host); ok {
		return m, true
	}
	others := h.cluster.otherMembers()
	if i := slices.IndexFunc(others, func(m membership.Member) bool { return m.Host == host }); i >= 0 {
		return others[i], true
	}
	return membership.Member{}, false
}

func (h *Host) lookupOwnDomain(host string) (membership.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[host]
	if p == nil {
		return membership.Member{}, false
	}
	return p.member, true
}

// Changed implements membership.View.
func (h *Host) Changed() <-chan struct{} {
	h.waitWhilePaused()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
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

// LastReportedPermits returns the permits that a host reported in the last heartbeat received from it, with deadlines relative to now.
func (h *Host) LastReportedPermits(host string) []*peerv1.HeldPermits {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[host]
	if p == nil {
		return nil
	}
	age := uint32(time.Since(p.receivedAt).Milliseconds())
	var list []*peerv1.HeldPermits
	for _, held := range p.held {
		if held.GetLatestDeadlineMs() > age {
			left := proto.CloneOf(held)
			left.LatestDeadlineMs -= age
			list = append(list, left)
		}
	}
	return list
}

func compareNames(a, b membership.Member) int {
	if a.Host < b.Host {
		return -1
	}
	if a.Host > b.Host {
		return 1
	}
	return 0
}

// LastHeartbeatBefore returns the send time of the last heartbeat that arrived from this incarnation of a member before the given
// time, or the zero time if none did.
func (h *Host) LastHeartbeatBefore(from membership.Member, before time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[from.Host]
	if p == nil || p.member.Incarnation != from.Incarnation {
		return time.Time{}
	}
	for _, beat := range slices.Backward(p.heartbeats) {
		if beat[1].Before(before) {
			return beat[0]
		}
	}
	return time.Time{}
}
