package peer

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

// Node manages the sessions between one host and its peers. It makes and serves RPCs and forwards HTTP requests.
type Node struct {
	opts    Options
	metrics metrics
	traffic *traffic
	// methods holds the methods with a handler, by the hash of their name.
	methods       map[uint32]method
	forwardServer *http.Server
	handshakes    handshakes

	ctx    context.Context
	cancel context.CancelFunc

	mu         sync.Mutex
	started    bool
	closed     bool
	links      map[linkKey]*link
	sessions   map[*session]struct{}
	transports map[transportKey]*forwardTransport
}

var (
	_ Caller    = (*Node)(nil)
	_ Registrar = (*Node)(nil)
	_ Forwarder = (*Node)(nil)
)

// method is a method of the calls that this node serves.
type method struct {
	name    string
	handler Handler
}

// New returns a node that does not accept connections until Start.
func New(opts Options) *Node {
	n := &Node{
		opts:       opts.withDefaults(),
		methods:    map[uint32]method{},
		links:      map[linkKey]*link{},
		sessions:   map[*session]struct{}{},
		transports: map[transportKey]*forwardTransport{},
	}
	n.handshakes.limit = n.opts.MaxHandshakes
	n.metrics = newMetrics(n.opts.Scope)
	n.traffic = newTraffic(n.opts.Scope, n.opts.Self)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.forwardServer = &http.Server{
		Handler: http.NotFoundHandler(), ConnContext: forwardContext, ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes: maxHeadBytes,
		ErrorLog:       stdlog.New(io.Discard, "", 0),
	}
	return n
}

// Handle implements Registrar. It panics if the method, or one with the same hash, is already registered or the node has started, which
// are programming errors.
func (n *Node) Handle(name string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hash := methodHash(name)
	if _, ok := n.methods[hash]; ok || n.started {
		panic("peer: method " + name + " registered twice or after Start")
	}
	n.methods[hash] = method{name, h}
}

// Start accepts connections until ctx ends or Close is called. It returns an error if it is called twice.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.started {
		return errors.New("peer node has already been started")
	}
	n.started = true
	context.AfterFunc(ctx, func() { _ = n.Close() })
	if n.opts.Listener != nil {
		go n.acceptLoop()
	}
	return nil
}

// Close closes the listener and all sessions. Calls and forwarded requests in flight fail.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return nil
	}
	n.closed = true
	var open []*session
	for s := range n.sessions {
		open = append(open, s)
	}
	n.mu.Unlock()
	n.cancel()
	var err error
	if n.opts.Listener != nil {
		err = n.opts.Listener.Close()
	}
	for _, s := range open {
		s.fail(ErrClosed)
	}
	return errors.CombineErrors(err, n.forwardServer.Close())
}

func (n *Node) acceptLoop() {
	for {
		conn, err := n.opts.Listener.Accept()
		if errors.Is(err, net.ErrClosed) || n.ctx.Err() != nil {
			return
		}
		if err != nil {
			log.Error().Err(err).Msg("cannot accept a connection from a peer")
			// Without the delay this loop would spin while the process has no free file descriptors.
			time.Sleep(acceptRetryDelay)
			continue
		}
		n.handshakes.add(conn)
		go n.serve(conn)
	}
}

// serve runs one accepted connection until its session ends.
func (n *Node) serve(conn net.Conn) {
	secured, from, class, err := n.serverHandshake(conn)
	n.handshakes.remove(conn)
	if err != nil {
		n.metrics.handshakeErrors.Inc(1)
		_ = conn.Close()
		return
	}
	s, err := newSession(secured, from, class, false, n.traffic)
	if err != nil {
		_ = conn.Close()
		return
	}
	if !n.track(s) {
		s.fail(ErrClosed)
		return
	}
	n.metrics.accepted.Inc(1)
	go n.superviseSession(s, false)
	if class == SessionControl {
		n.serveControl(s)
		return
	}
	err = n.forwardServer.Serve(sessionListener{s})
	s.fail(steperr.Wrap(err, "accept stream", from.Host))
}

// link returns the link to an address, creating it if necessary. It does not open a session.
func (n *Node) link(to Address, class SessionClass) *link {
	key := linkKey{to.Addr, class}
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.links[key]
	if !ok {
		l = &link{node: n, key: key}
		n.links[key] = l
	}
	return l
}

// track registers a session so that Close ends it. It returns false if the node is already closed.
func (n *Node) track(s *session) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.sessions[s] = struct{}{}
	return true
}

func (n *Node) untrack(s *session) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sessions, s)
}
