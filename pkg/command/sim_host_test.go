package command_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// simHost is one incarnation of a simulated host. It implements the interfaces that its handler and executor depend on.
type simHost struct {
	sim         *sim
	name        string
	incarnation uint64
	dead        bool
	handler     *entry.Handler
	executor    entry.CommandExecutor
	handlers    map[string]peer.Handler
	servers     []*http.Server
	view        map[string]membership.Member
}

func (s *sim) start(name string) *simHost {
	h := &simHost{
		sim: s, name: name, incarnation: uint64(time.Now().UnixMicro()), handlers: map[string]peer.Handler{},
		view: map[string]membership.Member{},
	}
	h.executor = s.executor(h)
	h.handler = entry.New(entry.Options{
		Store: simStore(), Permits: h, Steerer: h, Forwarder: h, Commands: h.executor, Self: h.identity(),
		Dial: func(ctx context.Context, _, address string) (net.Conn, error) { return s.dial(ctx, h, address) },
	})
	h.servers = []*http.Server{s.serve(name, h.handler), s.serve(name+"-peer", h.handler.ForwardedHandler())}
	return h
}

func (h *simHost) identity() peer.Identity {
	return peer.Identity{Host: h.name, Incarnation: h.incarnation, FailureDomain: "d"}
}

func (h *simHost) isDead() bool {
	if h == nil {
		return false
	}
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return h.dead
}

// kill ends the incarnation of host i and closes its connections. Calls that the incarnation makes afterwards have no effect.
func (s *sim) kill(i int) {
	h := s.hosts[i]
	s.mu.Lock()
	h.dead = true
	delete(s.accept, h.name)
	delete(s.accept, h.name+"-peer")
	s.dropConns(func(c *simConn) bool { return c.host == h || c.to == h.name })
	s.mu.Unlock()
	for _, server := range h.servers {
		server.Close()
	}
}

func (s *sim) restart(i int) {
	h := s.start(s.hosts[i].name)
	s.mu.Lock()
	s.hosts[i] = h
	s.mu.Unlock()
}

func (s *sim) host(name string) *simHost {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func simStore() *config.Store {
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, []*configv1.Object{{Kind: &configv1.Object_Service{Service: &configv1.Service{
		Name: "pay", DefaultTimeoutMs: 3000,
	}}}}))
	return store
}

// Acquire grants a permit for a random target, with a random hedging delay, and refuses 5 % of the requests.
func (h *simHost) Acquire(_ context.Context, q permit.Request) (*permit.Grant, error) {
	h.sim.pause(5 * time.Millisecond)
	name := fmt.Sprintf("t%d", h.sim.intN(simTargets))
	if slices.Contains(q.ExcludeTargets, name) || h.sim.chance(0.05) {
		return nil, &permit.RefusedError{Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, RetryAfter: time.Second}
	}
	h.sim.permits.Add(1)
	return &permit.Grant{
		Target: name, Address: name, Deadline: q.Deadline, HedgeAfter: time.Duration(1+h.sim.intN(30)) * time.Millisecond,
		Release: func(permit.Observation) { h.sim.permits.Add(-1) },
	}, nil
}

// Places steers a request to this host's targets; 30 % of the requests try a random host first.
func (h *simHost) Places(entry.SteerRequest) []entry.Place {
	if h.sim.chance(0.7) {
		return []entry.Place{{}}
	}
	other := fmt.Sprintf("h%d", h.sim.intN(simHosts))
	return []entry.Place{{Host: peer.Address{Host: other, Addr: other}}, {}}
}

func (h *simHost) Transport(to peer.Address, _ peer.SessionClass) http.RoundTripper {
	t := h.sim.transport(h)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, _ string) (net.Conn, error) {
		return dial(ctx, network, to.Addr+"-peer")
	}
	return t
}

func (h *simHost) Handle(method string, f peer.Handler) { h.handlers[method] = f }

// Call makes an RPC. A response may be lost after the call was handled.
func (h *simHost) Call(ctx context.Context, to peer.Address, method string, req, resp proto.Message) error {
	payload, _ := proto.Marshal(req)
	h.sim.pause(5 * time.Millisecond)
	other := h.sim.host(to.Host)
	if !h.reaches(to.Host) || other.isDead() {
		return errUnreachable
	}
	msg, err := other.handlers[method](ctx, h.identity(), payload)
	if !h.reaches(to.Host) || other.isDead() || h.sim.chance(0.05) {
		return errUnreachable
	}
	if err == nil {
		proto.Merge(resp, msg)
	}
	return err
}

func (h *simHost) reaches(node string) bool {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	return !h.dead && h.sim.linked(h.name, node)
}

// gossip updates the membership views of all hosts. Between two calls the views are stale.
func (s *sim) gossip() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		for _, other := range s.hosts {
			m := membership.Member{Host: other.name, PeerAddress: other.name, Incarnation: other.incarnation, FailureDomain: "d"}
			if other.dead || !s.linked(h.name, other.name) {
				m.Incarnation, m.State = h.view[other.name].Incarnation, membership.StateDead
			}
			h.view[other.name] = m
		}
	}
}

func (h *simHost) Lookup(host string) (membership.Member, bool) {
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	m, ok := h.view[host]
	return m, ok
}
func (h *simHost) Self() membership.Member           { return membership.Member{Host: h.name} }
func (h *simHost) Domain(string) []membership.Member { return nil }
func (h *simHost) All() []membership.Member          { return nil }
func (h *simHost) Changed() <-chan struct{}          { return nil }
func (h *simHost) unavailable() bool                 { return !h.reaches(platformNode) }
func (h *simHost) options() command.Options {
	return command.Options{Self: h.identity(), Table: h, Caller: h, Members: h}
}

// Get returns a row, or store.ErrUnavailable while the host is cut off from the platform.
func (h *simHost) Get(_ context.Context, key string) (store.Row, error) {
	h.sim.pause(10 * time.Millisecond)
	if h.unavailable() {
		return store.Row{}, store.ErrUnavailable
	}
	h.sim.mu.Lock()
	defer h.sim.mu.Unlock()
	row, ok := h.sim.rows[key]
	if !ok {
		return row, store.ErrNotFound
	}
	return row, nil
}

// Scan is not used by the simulation.
func (h *simHost) Scan(context.Context, string, string, int) ([]store.Row, error) { return nil, nil }

// Commit applies a transaction. It may take effect up to 10 s late, and its response may be lost.
func (h *simHost) Commit(_ context.Context, txn store.Txn) error {
	h.sim.pause(10 * time.Millisecond)
	if h.unavailable() {
		return store.ErrUnavailable
	}
	if h.sim.chance(0.1) {
		go func() {
			h.sim.pause(10 * time.Second)
			h.sim.apply(txn)
		}()
		return store.ErrUnknownOutcome
	}
	err := h.sim.apply(txn)
	if h.sim.chance(0.1) || h.unavailable() {
		return store.ErrUnknownOutcome
	}
	return err
}

func (s *sim) apply(txn store.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Conditions {
		if s.rows[c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		s.version++
		s.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: s.version}
	}
	return nil
}
