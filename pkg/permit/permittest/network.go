// Package permittest provides an in-process failure domain for tests and benchmarks of pkg/permit: RPCs with delays and faults,
// and a heartbeat membership whose hosts can have different views.
package permittest

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	// pollInterval is how often a waiting call checks whether its link is blocked.
	pollInterval = 500 * time.Millisecond
	// unresponsivePolls is the number of consecutive polls with a blocked link after which a call fails, like the keepalive of
	// pkg/peer.
	unresponsivePolls = 3
)

// Network carries RPCs between nodes.
type Network struct {
	mu     sync.Mutex
	delay  time.Duration
	nodes  map[string]*Node
	cut    map[[2]string]bool
	frozen map[string]chan struct{}
}

// NewNetwork returns a network without faults; delay is the one-way delay of a message.
func NewNetwork(delay time.Duration) *Network {
	return &Network{delay: delay, nodes: map[string]*Node{}, cut: map[[2]string]bool{}, frozen: map[string]chan struct{}{}}
}

// Node is one incarnation of a host on the network. It implements peer.Caller and peer.Registrar.
type Node struct {
	network  *Network
	identity peer.Identity
	handlers map[string]peer.Handler
	ctx      context.Context
	stop     context.CancelFunc
}

var (
	_ peer.Caller    = (*Node)(nil)
	_ peer.Registrar = (*Node)(nil)
)

// Attach adds a node and replaces the node of the same host if there is one.
func (n *Network) Attach(identity peer.Identity) *Node {
	ctx, stop := context.WithCancel(context.Background())
	node := &Node{network: n, identity: identity, handlers: map[string]peer.Handler{}, ctx: ctx, stop: stop}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[identity.Host] = node
	return node
}

// Detach removes a node: calls to it fail at once, and its own calls end.
func (n *Network) Detach(node *Node) {
	node.stop()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.nodes[node.identity.Host] == node {
		delete(n.nodes, node.identity.Host)
	}
}

// SetDelay changes the one-way delay of the messages that are sent from now on.
func (n *Network) SetDelay(delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = delay
}

// Cut drops the messages from one host to another while on is true.
func (n *Network) Cut(from, to string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = on
}

// Freeze holds back all messages from and to a host until Thaw.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw delivers the messages that Freeze held back.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.frozen[host]; c != nil {
		close(c)
		delete(n.frozen, host)
	}
}

// Blocked reports whether a message from one host to another would be dropped or held back now.
func (n *Network) Blocked(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{from, to}] || n.frozen[from] != nil || n.frozen[to] != nil
}

// deliver delivers one message after the delay, and after Thaw if a host is frozen. It reports whether the message arrives.
func (n *Network) deliver(from, to string) bool {
	n.mu.Lock()
	delay := n.delay
	n.mu.Unlock()
	time.Sleep(delay)
	for {
		n.mu.Lock()
		lost := n.cut[[2]string{from, to}]
		held := n.frozen[from]
		if held == nil {
			held = n.frozen[to]
		}
		n.mu.Unlock()
		if lost {
			return false
		}
		if held == nil {
			return true
		}
		<-held
	}
}

func (n *Network) node(host string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[host]
}

// Handle registers the handler of an RPC method.
func (c *Node) Handle(method string, h peer.Handler) { c.handlers[method] = h }

type result struct {
	payload []byte
	err     error
}

// Call makes an RPC. It fails if the link is blocked for 1.5 s, and at once if the host has no handler for the method.
func (c *Node) Call(ctx context.Context, to peer.Address, method string, req, resp proto.Message) error {
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	results := make(chan result, 1)
	go c.exchange(ctx, to.Host, method, payload, results)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for blocked := 0; blocked < unresponsivePolls; {
		select {
		case r := <-results:
			if r.err != nil {
				return r.err
			}
			return proto.Unmarshal(r.payload, resp)
		case <-ctx.Done():
			return ctx.Err()
		case <-c.ctx.Done():
			return c.ctx.Err()
		case <-ticker.C:
		}
		if c.network.Blocked(c.identity.Host, to.Host) || c.network.Blocked(to.Host, c.identity.Host) {
			blocked++
		} else {
			blocked = 0
		}
	}
	return errors.Newf("session to host %s is unresponsive: the link is blocked", to.Host)
}

// exchange delivers a call to its handler and the answer to the caller. The answer may be lost, or arrive after the caller has
// given up.
func (c *Node) exchange(ctx context.Context, to, method string, payload []byte, results chan<- result) {
	n := c.network
	if !n.deliver(c.identity.Host, to) {
		return
	}
	callee := n.node(to)
	if callee == nil || callee.handlers[method] == nil {
		results <- result{err: errors.Newf("host %s is detached or has no handler for %s", to, method)}
		return
	}
	handlerCtx, cancel := context.WithCancel(callee.ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() {
		if n.deliver(c.identity.Host, to) {
			cancel()
		}
	})
	defer stop()
	msg, err := callee.handlers[method](handlerCtx, c.identity, payload)
	if callee.ctx.Err() != nil || !n.deliver(to, c.identity.Host) {
		return
	}
	if err != nil {
		results <- result{err: errors.Newf("%v", err)}
		return
	}
	answer, err := proto.Marshal(msg)
	results <- result{answer, err}
}

// Identity returns the identity of a member on the network.
func Identity(m membership.Member) peer.Identity {
	return peer.Identity{Host: m.Host, Incarnation: m.Incarnation, FailureDomain: m.FailureDomain, Region: m.Region}
}
