package main

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// network carries control calls between hosts of this process as function calls, and counts their bytes on the wire at the
// sender. It has no sessions, so CPU times measured with it exclude sessions, kernel and TLS.
type network struct {
	mu    sync.Mutex
	nodes map[string]*node
}

// node is a host on a network. It implements peer.Caller and peer.Registrar.
type node struct {
	network  *network
	self     membership.Member
	handlers map[string]peer.Handler
	id       atomic.Uint64

	mu    sync.Mutex
	bytes map[string]float64
}

var (
	_ peer.Caller    = (*node)(nil)
	_ peer.Registrar = (*node)(nil)
)

func newNetwork() *network { return &network{nodes: map[string]*node{}} }

// add attaches host number i of failure domain number d to the network.
func (n *network) add(d, i int) *node {
	self := membership.Member{
		Host: fmt.Sprintf("domain-%02d-host-%02d", d, i), Incarnation: incarnation + uint64(100*d+i),
		FailureDomain: fmt.Sprintf("domain-%02d", d), Region: fmt.Sprintf("region-%02d", d/2),
		PeerAddress: fmt.Sprintf("10.120.1%02d.1%02d:7002", d, i), CallerAddress: fmt.Sprintf("10.120.1%02d.1%02d:7000", d, i),
		OperatorAddress: fmt.Sprintf("10.120.1%02d.1%02d:7001", d, i),
	}
	h := &node{network: n, self: self, handlers: map[string]peer.Handler{}, bytes: map[string]float64{}}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[self.PeerAddress] = h
	return h
}

// remove detaches a host: calls to it return ECONNREFUSED, as if no process listened at its address.
func (n *network) remove(h *node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.nodes, h.self.PeerAddress)
}

// Handle implements peer.Registrar.
func (h *node) Handle(method string, handler peer.Handler) { h.handlers[method] = handler }

// Call implements peer.Caller.
func (h *node) Call(ctx context.Context, to peer.Address, method string, req, resp proto.Message) error {
	h.network.mu.Lock()
	other := h.network.nodes[to.Addr]
	h.network.mu.Unlock()
	if other == nil {
		return syscall.ECONNREFUSED
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	id := h.id.Add(1)
	h.count(method, &peerv1.Envelope{
		Id: id, Incarnation: h.self.Incarnation, Method: method, Payload: payload, TimeoutMs: 1000,
	})
	from := peer.Identity{
		Host: h.self.Host, Incarnation: h.self.Incarnation, FailureDomain: h.self.FailureDomain, Region: h.self.Region,
	}
	answer, err := other.handlers[method](ctx, from, payload)
	if err != nil {
		return err
	}
	payload, err = proto.Marshal(answer)
	if err != nil {
		return err
	}
	other.count(method, &peerv1.Envelope{Id: id, Incarnation: other.self.Incarnation, Payload: payload})
	return proto.Unmarshal(payload, resp)
}

func (h *node) count(method string, envelope *peerv1.Envelope) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes[method] += envelopeWireSize(proto.Size(envelope))
}

// bytesSent returns the bytes that the host has sent in calls and responses of a method, or of all methods if method is empty.
func (h *node) bytesSent(method string) float64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	sum := 0.0
	for m, bytes := range h.bytes {
		if method == "" || m == method {
			sum += bytes
		}
	}
	return sum
}

// sortedSendRates returns the bytes per second that each host has sent for a method since before, in increasing order. seconds is
// the time since before, which bytesSent returned.
func sortedSendRates(hosts []*node, method string, before []float64, seconds float64) []float64 {
	list := make([]float64, len(hosts))
	for i, h := range hosts {
		list[i] = (h.bytesSent(method) - before[i]) / seconds
	}
	slices.SortFunc(list, cmp.Compare[float64])
	return list
}

// bytesSent returns the bytes that each host has sent for a method so far, in the order of hosts.
func bytesSent(hosts []*node, method string) []float64 {
	list := make([]float64, len(hosts))
	for i, h := range hosts {
		list[i] = h.bytesSent(method)
	}
	return list
}
