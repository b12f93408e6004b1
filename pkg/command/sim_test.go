package command_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	simHosts     = 4
	simTargets   = 3
	platformNode = "platform"
)

var errUnreachable = errors.New("connection refused")

// seededSource is a random number generator that is safe for concurrent use. The fault injector and each caller have their own,
// so that a seed determines their choices; the interleaving of goroutines still depends on the scheduler.
type seededSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func newSeededSource(seed, stream uint64) *seededSource {
	return &seededSource{rng: rand.New(rand.NewPCG(seed, stream))}
}

func (d *seededSource) float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.Float64()
}

func (d *seededSource) chance(p float64) bool { return d.float() < p }
func (d *seededSource) intN(n int) int        { return int(d.float() * float64(n)) }

// pause sleeps for a random time of up to limit.
func (d *seededSource) pause(limit time.Duration) {
	time.Sleep(time.Duration(d.float() * float64(limit)))
}

// sim is a simulated system with faults: hosts with real entry handlers and executors, stand-in targets and a platform table.
type sim struct {
	*seededSource
	seed    uint64
	mu      sync.Mutex
	conns   map[*simConn]bool
	accept  map[string]chan net.Conn
	cut     map[[2]string]bool
	hosts   []*simHost
	targets []*target.Target
	rows    map[string]store.Row
	version uint64
	servers []*http.Server
	// permits is the number of permits held.
	permits atomic.Int64
	// executor creates the executor of a new incarnation.
	executor func(*simHost) entry.CommandExecutor
}

func newSim(seed uint64, executor func(*simHost) entry.CommandExecutor) *sim {
	s := &sim{
		seededSource: newSeededSource(seed, 1), seed: seed, conns: map[*simConn]bool{}, accept: map[string]chan net.Conn{},
		cut: map[[2]string]bool{}, rows: map[string]store.Row{}, executor: executor,
	}
	for i := range simTargets {
		s.targets = append(s.targets, target.New(target.Options{Slots: 100}))
		s.serve(fmt.Sprintf("t%d", i), s.targets[i])
	}
	for i := range simHosts {
		s.hosts = append(s.hosts, s.start(fmt.Sprintf("h%d", i)))
	}
	return s
}

// executions returns the number of executions of a key on all targets.
func (s *sim) executions(key string) (n int) {
	for _, t := range s.targets {
		n += t.Executions(key)
	}
	return n
}

// linked reports whether no partition separates two nodes. The caller holds the lock.
func (s *sim) linked(a, b string) bool { return !s.cut[[2]string{a, b}] && !s.cut[[2]string{b, a}] }

// breakLink partitions a pair of nodes and closes the connections between them.
func (s *sim) breakLink(a, b string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut[[2]string{a, b}] = true
	s.dropConns(func(c *simConn) bool { return !s.linked(c.from, c.to) })
}

func (s *sim) heal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.cut)
}

func (s *sim) dropConns(match func(*simConn) bool) {
	for c := range s.conns {
		if match(c) {
			c.Conn.Close()
			delete(s.conns, c)
		}
	}
}

type simConn struct {
	net.Conn
	from, to string
	host     *simHost
}

type simListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *simListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}
func (l *simListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *simListener) Addr() net.Addr { return &net.TCPAddr{} }

func (s *sim) serve(address string, handler http.Handler) *http.Server {
	l := &simListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	s.mu.Lock()
	s.accept[address] = l.conns
	server := &http.Server{Handler: handler}
	s.servers = append(s.servers, server)
	s.mu.Unlock()
	go server.Serve(l)
	return server
}

// dial connects a host, or a caller if host is nil, to an address. An address is the name of a node, with the suffix -peer for
// the peer listener of a host.
func (s *sim) dial(ctx context.Context, host *simHost, address string) (net.Conn, error) {
	address = strings.TrimSuffix(address, ":80")
	from, to := "caller", strings.TrimSuffix(address, "-peer")
	if host != nil {
		from = host.name
	}
	s.mu.Lock()
	accept, ok := s.accept[address], s.linked(from, to)
	s.mu.Unlock()
	if !ok || accept == nil || host.isDead() {
		return nil, errUnreachable
	}
	ours, theirs := net.Pipe()
	select {
	case accept <- theirs:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &simConn{Conn: ours, from: from, to: to, host: host}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.linked(from, to) || host != nil && host.dead {
		ours.Close()
		return nil, errUnreachable
	}
	s.conns[c] = true
	return c, nil
}

func (s *sim) transport(host *simHost) *http.Transport {
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return s.dial(ctx, host, address) }}
}

// faults injects random faults until stop is closed, then heals all partitions.
func (s *sim) faults(stop <-chan struct{}) {
	d := newSeededSource(s.seed, 2)
	for {
		select {
		case <-stop:
			s.heal()
			return
		case <-time.After(time.Duration(100+d.intN(500)) * time.Millisecond):
		}
		s.gossip()
		a := fmt.Sprintf("h%d", d.intN(simHosts))
		switch d.intN(7) {
		case 0:
			s.breakLink(a, fmt.Sprintf("h%d", d.intN(simHosts)))
		case 1:
			s.breakLink(a, fmt.Sprintf("t%d", d.intN(simTargets)))
		case 2:
			s.breakLink(a, platformNode)
		case 3:
			i := d.intN(simHosts)
			s.kill(i)
			d.pause(time.Second)
			s.restart(i)
		case 4:
			s.targets[d.intN(simTargets)].SetFaults(target.Faults{
				LoseAnswer: d.chance(0.4), ShedAll: d.chance(0.3), Freeze: d.chance(0.2), Truncate: d.chance(0.2),
				WrongID: d.chance(0.2), StraggleFactor: 20, StraggleForMS: d.intN(3) * 1000,
			})
		default:
			s.heal()
		}
	}
}

func (s *sim) stop() {
	for _, server := range s.servers {
		server.Close()
	}
	time.Sleep(time.Minute) // until all deadlines have passed and late writes have taken effect
	for _, h := range s.hosts {
		h.handler.Close()
		if e, ok := h.executor.(*command.Executor); ok {
			e.Close()
		}
	}
}
