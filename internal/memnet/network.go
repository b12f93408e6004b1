// Package memnet provides in-memory connections between named hosts, with fault injection: delays, one-way partitions, frozen
// connections and resets. It blocks on channels and timers only, which is durably blocking in a testing/synctest bubble. Use a
// network inside one bubble only.
package memnet

import (
	"context"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// bufferLimit is the number of unread bytes in one direction of a connection at which writes block.
	bufferLimit = 4 << 20
	// acceptBacklog is the number of connections of a listener that can wait for Accept.
	acceptBacklog = 1024
)

// Any matches all hosts in Cut, CutBoth and Heal.
const Any = "*"

// Network connects hosts. Cut and Heal take names of hosts or places, SetDelay takes places; a host's place is usually its
// failure domain.
type Network struct {
	// routes is an immutable snapshot behind an atomic pointer: all connections load it at each read and write, and a lock
	// would serialize them.
	routes atomic.Pointer[routes]
	writes atomic.Uint64
	bytes  atomic.Uint64

	mu        sync.Mutex
	hosts     map[string]*Host
	listeners map[string]*listener
	conns     map[*conn]struct{}
}

// routes is a snapshot of the injected delays and cuts. changed is closed when a newer snapshot replaces it.
type routes struct {
	delays  map[[2]string]time.Duration
	cuts    map[[2]string]bool
	changed chan struct{}
}

// Traffic holds the numbers of writes and of written bytes on all connections of a network.
type Traffic struct {
	Writes uint64
	Bytes  uint64
}

// New returns a network without hosts.
func New() *Network {
	n := &Network{hosts: map[string]*Host{}, listeners: map[string]*listener{}, conns: map[*conn]struct{}{}}
	n.routes.Store(&routes{changed: make(chan struct{})})
	return n
}

// Host is a process on the network that can dial and listen.
type Host struct {
	network *Network
	name    string
	place   string
	// killed is guarded by network.mu.
	killed bool
}

// Host returns the host with the name and adds it if there is none.
func (n *Network) Host(name, place string) *Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, ok := n.hosts[name]
	if !ok {
		h = &Host{network: n, name: name, place: place}
		n.hosts[name] = h
	}
	return h
}

// SetDelay sets the one-way delay between two places, in both directions.
func (n *Network) SetDelay(a, b string, delay time.Duration) {
	n.updateRoutes(func(r *routes) {
		r.delays[[2]string{a, b}] = delay
		r.delays[[2]string{b, a}] = delay
	})
}

// Cut delays all data sent from one host or place to another until Heal, like packet loss with TCP retransmission. Dial needs
// both directions and blocks while either is cut.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// CutBoth cuts both directions between two hosts or places.
func (n *Network) CutBoth(a, b string) { n.Cut(a, b); n.Cut(b, a) }

// Heal ends the cut of one direction and releases the delayed data.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

// HealAll ends all cuts.
func (n *Network) HealAll() {
	n.updateRoutes(func(r *routes) { clear(r.cuts) })
}

// Freeze permanently stops delivery on all existing connections of a host, of data and of closes. New connections work.
func (n *Network) Freeze(host string) { n.forEachConn(host, (*conn).freeze) }

// Kill resets all connections of a host and closes its listeners, like the death of its process. The killed *Host can no longer
// dial or listen; Host returns a new one that stands for the restarted process.
func (n *Network) Kill(host string) {
	n.mu.Lock()
	if h, ok := n.hosts[host]; ok {
		h.killed = true
		delete(n.hosts, host)
	}
	var closing []*listener
	for _, l := range n.listeners {
		if l.host.name == host {
			closing = append(closing, l)
		}
	}
	n.mu.Unlock()
	for _, l := range closing {
		_ = l.Close()
	}
	n.forEachConn(host, func(c *conn) {
		if c.local.name == host {
			c.reset()
		}
	})
}

// Traffic returns the totals since the network was created.
func (n *Network) Traffic() Traffic {
	return Traffic{n.writes.Load(), n.bytes.Load()}
}

// forEachConn calls f for each endpoint of each connection from or to the host, without holding the lock.
func (n *Network) forEachConn(host string, f func(*conn)) {
	n.mu.Lock()
	var list []*conn
	for c := range n.conns {
		if c.local.name == host || c.remote.name == host {
			list = append(list, c)
		}
	}
	n.mu.Unlock()
	for _, c := range list {
		f(c)
	}
}

func (n *Network) setCut(from, to string, cut bool) {
	n.updateRoutes(func(r *routes) {
		if cut {
			r.cuts[[2]string{from, to}] = true
			return
		}
		delete(r.cuts, [2]string{from, to})
	})
}

// updateRoutes installs a changed copy of the routes and wakes reads and dials that wait for a change.
func (n *Network) updateRoutes(f func(*routes)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old := n.routes.Load()
	next := &routes{
		delays: map[[2]string]time.Duration{}, cuts: map[[2]string]bool{}, changed: make(chan struct{}),
	}
	maps.Copy(next.delays, old.delays)
	maps.Copy(next.cuts, old.cuts)
	f(next)
	n.routes.Store(next)
	close(old.changed)
}

// path returns the one-way delay, whether the direction is cut, and a channel that is closed when the routes change.
func (n *Network) path(from, to *Host) (time.Duration, bool, <-chan struct{}) {
	r := n.routes.Load()
	cut := false
	if len(r.cuts) > 0 {
		for _, f := range [3]string{from.name, from.place, Any} {
			for _, t := range [3]string{to.name, to.place, Any} {
				cut = cut || r.cuts[[2]string{f, t}]
			}
		}
	}
	return r.delays[[2]string{from.place, to.place}], cut, r.changed
}

// Listen opens a listener at an address, which is any string that no other open listener of the network uses.
func (h *Host) Listen(addr string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.killed {
		return nil, net.ErrClosed
	}
	if _, ok := n.listeners[addr]; ok {
		return nil, &net.OpError{Op: "listen", Net: "memnet", Addr: address(addr), Err: syscall.EADDRINUSE}
	}
	l := &listener{host: h, addr: addr, backlog: make(chan *conn, acceptBacklog), done: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address. It takes one round trip and blocks while either direction is cut.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := h.dial(ctx, addr)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "memnet", Addr: address(addr), Err: err}
	}
	return c, nil
}

func (h *Host) dial(ctx context.Context, addr string) (net.Conn, error) {
	l := h.network.listener(addr)
	if l == nil {
		return nil, syscall.ECONNREFUSED
	}
	if err := h.roundTrip(ctx, l.host); err != nil {
		return nil, err
	}
	clientEnd, serverEnd := h.network.connect(h, l.host, addr)
	if clientEnd == nil {
		return nil, net.ErrClosed
	}
	select {
	case <-l.done:
	default:
		select {
		case l.backlog <- serverEnd:
			return clientEnd, nil
		case <-l.done:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	clientEnd.reset()
	return nil, syscall.ECONNREFUSED
}

func (n *Network) listener(addr string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listeners[addr]
}

// roundTrip waits for one round trip to another host, and first until neither direction is cut.
func (h *Host) roundTrip(ctx context.Context, to *Host) error {
	for {
		requestDelay, requestCut, changed := h.network.path(h, to)
		responseDelay, responseCut, _ := h.network.path(to, h)
		if requestCut || responseCut {
			select {
			case <-changed:
				continue
			case <-ctx.Done():
				return context.Cause(ctx)
			}
		}
		timer := time.NewTimer(requestDelay + responseDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
			return nil
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// listener implements net.Listener.
type listener struct {
	host    *Host
	addr    string
	backlog chan *conn
	once    sync.Once
	done    chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, errors.WithStack(net.ErrClosed)
	}
}

func (l *listener) Close() error {
	l.once.Do(func() {
		close(l.done)
		n := l.host.network
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.listeners, l.addr)
	})
	return nil
}

func (l *listener) Addr() net.Addr { return address(l.addr) }

// address implements net.Addr.
type address string

func (a address) Network() string { return "memnet" }
func (a address) String() string  { return string(a) }
