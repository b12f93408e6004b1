package entry

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// pipeNet is a network of synchronous in-memory connections for use in synctest bubbles.
type pipeNet struct {
	mu    sync.Mutex
	hosts map[string]chan net.Conn
}

func newPipeNet() *pipeNet { return &pipeNet{hosts: map[string]chan net.Conn{}} }

type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }

// serve runs an HTTP server with a handler at an address until the test ends.
func (n *pipeNet) serve(t *testing.T, address string, handler http.Handler) *http.Server {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	n.hosts[address] = l.conns
	n.mu.Unlock()
	server := &http.Server{Handler: handler}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return server
}

// remove makes the network refuse connections to an address.
func (n *pipeNet) remove(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, address)
}

var errRefused = errors.New("connection refused")

func (n *pipeNet) dial(ctx context.Context, _, address string) (net.Conn, error) {
	address = strings.TrimSuffix(address, ":80")
	n.mu.Lock()
	conns := n.hosts[address]
	n.mu.Unlock()
	if conns == nil {
		return nil, errRefused
	}
	ours, theirs := net.Pipe()
	select {
	case conns <- theirs:
		return ours, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (n *pipeNet) client(t *testing.T) *http.Client {
	transport := &http.Transport{DialContext: n.dial, DisableCompression: true}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// Transport makes pipeNet a peer.Forwarder.
func (n *pipeNet) Transport(to peer.Address, _ peer.SessionClass) http.RoundTripper {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, network, _ string) (net.Conn, error) { return n.dial(ctx, network, to.Addr) }}
}

// permits is a permit.Acquirer that grants the first target of a list that is not excluded. It records requests and releases.
type permits struct {
	mu      sync.Mutex
	targets []string
	// addresses holds the addresses of targets that differ from their names.
	addresses  map[string]string
	hedgeAfter time.Duration
	// hedgeWait is how long the permit of a hedged attempt takes.
	hedgeWait time.Duration
	refuse    *permit.RefusedError
	// validFor, if set, is the time until a permit expires.
	validFor time.Duration
	// expected is the service time that the dispatcher expects.
	expected time.Duration
	open     int
	released []permit.Observation
	requests []permit.Request
	notices  []permit.Notice
}

func (p *permits) Acquire(_ context.Context, q permit.Request) (*permit.Grant, error) {
	if q.Hedge {
		time.Sleep(p.hedgeWait)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, q)
	if p.refuse != nil {
		return nil, p.refuse
	}
	for _, name := range p.targets {
		if contains(q.ExcludeTargets, name) {
			continue
		}
		p.open++
		if p.validFor > 0 {
			q.Deadline = time.Now().Add(p.validFor)
		}
		return p.grantFor(name, &permit.Grant{
			Target: name, Address: name, Deadline: q.Deadline, HedgeAfter: p.hedgeAfter, Release: p.release, Note: p.note,
			Decision: permit.Decision{ExpectedDuration: p.expected},
		}), nil
	}
	return nil, &permit.RefusedError{Reason: refusalNoTarget, RetryAfter: time.Second}
}

// withAddresses makes permits grant targets at the given addresses, for which their names are the expected instances.
func (p *permits) withAddresses(addresses map[string]string, names ...string) {
	p.targets, p.addresses = names, addresses
}

// grantFor returns the address and the instance of a target.
func (p *permits) grantFor(name string, g *permit.Grant) *permit.Grant {
	if address, ok := p.addresses[name]; ok {
		g.Address, g.Instance = address, name
	}
	return g
}

func (p *permits) note(n permit.Notice) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notices = append(p.notices, n)
}

func (p *permits) release(o permit.Observation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	p.released = append(p.released, o)
}

func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// fixture is a handler in front of the targets t0, t1, ... in one synctest bubble.
type fixture struct {
	net     *pipeNet
	targets []*target.Target
	permits *permits
	handler *Handler
	client  *http.Client
}

func newFixture(t *testing.T, targets int, change func(*Options)) *fixture {
	// http.Server recovers from the panic of a violated invariant, so violations are counted.
	violations := invariant.Violations()
	t.Cleanup(func() {
		if n := invariant.Violations() - violations; n > 0 {
			t.Errorf("%d invariants were violated", n)
		}
	})
	// http.Server waits for half a second before it closes a connection whose request it has not read to the end.
	t.Cleanup(func() { time.Sleep(time.Second) })
	w := &fixture{net: newPipeNet(), permits: &permits{}}
	for i := range targets {
		name := "t" + string(rune('0'+i))
		w.targets = append(w.targets, target.New(target.Options{Name: name, Slots: 2, Exit: func(int) {}}))
		w.net.serve(t, name, w.targets[i])
		w.permits.targets = append(w.permits.targets, name)
	}
	opts := Options{
		Store: testStore(), Permits: w.permits, Steerer: LocalOnly{}, Dial: w.net.dial,
		Self: peer.Identity{Host: "h1", Incarnation: 7, FailureDomain: "d1", Region: "r1"},
	}
	if change != nil {
		change(&opts)
	}
	w.handler = New(opts)
	w.net.serve(t, "entry", w.handler)
	w.client = w.net.client(t)
	t.Cleanup(w.handler.Close)
	return w
}

func testStore() *config.Store {
	store := config.NewStore()
	store.Set(config.NewSnapshot(1, []*configv1.Object{{Kind: &configv1.Object_Service{Service: &configv1.Service{
		Name: "lookup", DefaultTimeoutMs: 5000, MaxBodyBytes: 1 << 20,
		Routes: []*configv1.Route{
			{PathPrefix: "/search", Idempotent: true},
			{PathPrefix: "/files", Class: configv1.RequestClass_REQUEST_CLASS_LONG},
		},
	}}}}))
	return store
}
