package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const waitLimit = 10 * time.Second

// domain is a dispatch domain whose hosts are Dialers and whose targets listen on loopback addresses.
type domain struct {
	t       *testing.T
	targets []net.Listener
	hosts   map[string]*testHost

	mu sync.Mutex
	// cut holds the hosts that reach no target.
	cut map[string]bool
}

// testHost is a Dialer that also serves other hosts.
type testHost struct {
	*Dialer
	server *httptest.Server
}

// newDomain starts hosts and targets. serve is called for each connection to a target.
func newDomain(t *testing.T, targets int, serve func(net.Conn), hosts ...string) *domain {
	t.Helper()
	d := &domain{t: t, hosts: map[string]*testHost{}, cut: map[string]bool{}}
	for range targets {
		d.startTarget(serve)
	}
	for _, name := range hosts {
		dialer := New(Options{Dial: d.dialFrom(name), Forwarder: d, Members: view{d, name}, Targets: d.list, Place: name})
		server := httptest.NewServer(dialer.Handler(http.NotFoundHandler()))
		d.hosts[name] = &testHost{dialer, server}
		t.Cleanup(dialer.Close)
		t.Cleanup(server.CloseClientConnections)
	}
	return d
}

func (d *domain) startTarget(serve func(net.Conn)) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = listener.Close() })
	d.targets = append(d.targets, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
}

// list returns the targets. The last one is in the failure domain of host a.
func (d *domain) list() []Target {
	var list []Target
	for _, l := range d.targets {
		list = append(list, Target{Address: l.Addr().String(), Place: "elsewhere"})
	}
	list[len(list)-1].Place = "a"
	return list
}

func (d *domain) address() string { return d.list()[0].Address }

func (d *domain) setCut(host string, cut bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cut[host] = cut
}

func (d *domain) isCut(host string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cut[host]
}

func (d *domain) dialFrom(host string) upstream.DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if d.isCut(host) {
			return nil, syscall.ECONNREFUSED
		}
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
}

// Transport implements peer.Forwarder.
func (d *domain) Transport(to peer.Address, _ peer.SessionClass) http.RoundTripper {
	address := d.hosts[to.Host].server.Listener.Addr().String()
	return &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}}
}

// dial opens a connection from a host to the first target.
func (d *domain) dial(host string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(d.t.Context(), waitLimit)
	defer cancel()
	return d.hosts[host].DialContext(ctx, "tcp", d.address())
}

func (d *domain) mustDial(host string) net.Conn {
	d.t.Helper()
	conn, err := d.dial(host)
	if err != nil {
		d.t.Fatal(err)
	}
	d.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// view is the membership as a host sees it.
type view struct {
	domain *domain
	self   string
}

func (v view) Self() membership.Member { return membership.Member{Host: v.self} }

func (v view) Domain(string) []membership.Member {
	var list []membership.Member
	for name, h := range v.domain.hosts {
		list = append(list, membership.Member{Host: name, TargetsUnreachable: h.Isolated()})
	}
	return list
}

func (v view) All() []membership.Member                     { return v.Domain("") }
func (v view) Lookup(string) (m membership.Member, ok bool) { return m, false }
func (v view) Changed() <-chan struct{}                     { return nil }

// echo sends back what arrives.
func echo(conn net.Conn) {
	_, _ = io.Copy(conn, conn)
	_ = conn.Close()
}

func waitFor(t *testing.T, what string, ready func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitLimit); !ready(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against a host that fails while it is cut off from targets that others reach, or that stays on the longer way afterwards.
func TestIsolatedHostUsesGateway(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, echo, "a", "b")
	d.setCut("a", true)
	conn := d.mustDial("a")
	is.True(d.hosts["a"].Isolated())
	_, err := conn.Write([]byte("tides"))
	is.NoErr(err)
	got := make([]byte, 5)
	_, err = io.ReadFull(conn, got)
	is.NoErr(err)
	is.Equal(string(got), "tides")
	is.Equal(d.hosts["b"].Serving(), 1)
	is.NoErr(conn.Close())
	waitFor(t, "the end of the tunnel", func() bool { return d.hosts["b"].Serving() == 0 })
	d.setCut("a", false)
	waitFor(t, "the end of the isolation", func() bool { return !d.hosts["a"].Isolated() })
}

// Guards against a host that blames its own links when a single target is down, and so hides the end of targets.
func TestOneTargetDownIsNoIsolation(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, echo, "a", "b")
	is.NoErr(d.targets[0].Close())
	_, err := d.dial("a")
	is.True(err != nil)
	is.True(!errors.Is(err, upstream.ErrNoPath))
	is.True(!d.hosts["a"].Isolated())
}

// Guards against a partition between failure domains that counts as isolation, so that requests for targets nearby take the longer way.
func TestPartitionBetweenFailureDomainsIsNoIsolation(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 12, echo, "a", "b")
	for _, l := range d.targets[:len(d.targets)-1] {
		is.NoErr(l.Close())
	}
	for range 3 {
		_, err := d.dial("a")
		is.True(err != nil)
		is.True(!d.hosts["a"].Isolated())
		time.Sleep(checkValid)
	}
}

// Guards against a target that counts as down because the gateway is cut off too and has not noticed it yet.
func TestGatewayThatIsCutOffIsSkipped(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, echo, "a", "b", "c", "d")
	for _, host := range []string{"a", "b", "c"} {
		d.setCut(host, true)
	}
	d.mustDial("a")
	d.setCut("d", true)
	_, err := d.dial("a")
	is.True(errors.Is(err, upstream.ErrNoPath)) // nothing is known about the target
	waitFor(t, "all hosts isolated", func() bool { return !d.hosts["a"].ReachesTargets() })
}

// Guards against a target that is down and goes unnoticed, because the host that finds it is isolated.
func TestGatewayTellsThatATargetIsDown(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, echo, "a", "b")
	d.setCut("a", true)
	d.mustDial("a")
	is.NoErr(d.targets[0].Close())
	_, err := d.dial("a")
	is.True(errors.Is(err, errTargetUnreachable))
	is.True(!errors.Is(err, upstream.ErrNoPath))
}

// Guards against a response without a length that looks complete although the target broke it off.
func TestBrokenConnectionIsNoEnd(t *testing.T) {
	is := is.New(t)
	sendAndClose := func(linger int) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = io.ReadFull(conn, make([]byte, 1))
			_, _ = conn.Write([]byte("part"))
			if linger == 0 {
				time.Sleep(50 * time.Millisecond) // a reset discards bytes that are not read yet
			}
			_ = conn.(*net.TCPConn).SetLinger(linger) // 0 resets the connection
			_ = conn.Close()
		}
	}
	for _, c := range []struct {
		linger   int
		complete bool
	}{{-1, true}, {0, false}} {
		d := newDomain(t, 3, sendAndClose(c.linger), "a", "b")
		d.setCut("a", true)
		conn := d.mustDial("a")
		_, err := conn.Write([]byte("?"))
		is.NoErr(err)
		got, err := io.ReadAll(conn)
		is.Equal(string(got), "part")
		is.Equal(err == nil, c.complete)
	}
}

// Guards against a gateway that lets other hosts connect to any address.
func TestGatewayServesOnlyTargets(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 3, echo, "a", "b")
	d.setCut("a", true)
	d.mustDial("a")
	_, err := d.hosts["a"].DialContext(t.Context(), "tcp", d.hosts["b"].server.Listener.Addr().String())
	is.True(errors.Is(err, upstream.ErrNoPath))
}

// Guards against connections that stay open for minutes after a partition has swallowed them.
func TestDirectConnectionsEndWhenSilent(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 1, echo)
	conn, err := NewDirect()(t.Context(), "tcp", d.address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) (value int) {
		_ = raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) })
		is.NoErr(err)
		return value
	}
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(ackTimeout.Milliseconds()))
	is.True(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE) != 0)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), int(keepAliveIdle.Seconds()))
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), int(keepAliveInterval.Seconds()))
}

// Guards against a host that does not notice that it reaches no target because something on the way accepts its connections: it failed the
// requests of its callers and reported that targets break connections.
func TestConnectionsThatLeadNowhereAreIsolation(t *testing.T) {
	for name, serve := range map[string]func(net.Conn){
		"reset":     func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0); _ = conn.Close() },
		"no answer": func(net.Conn) {},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDomain(t, 4, echo, "a", "b")
			middle := newDomain(t, 1, serve).address()
			redirected := New(Options{
				Forwarder: d, Members: view{d, "a"}, Targets: d.list, Place: "a",
				Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, network, middle)
				},
			})
			t.Cleanup(redirected.Close)
			targets := d.list()
			for range 3 { // one target may be slow or restart
				redirected.Observe(t.Context(), targets[0].Address, false)
			}
			redirected.Observe(t.Context(), targets[1].Address, false)
			redirected.Observe(t.Context(), targets[2].Address, true)
			redirected.Observe(t.Context(), targets[2].Address, false)
			is.True(!redirected.Isolated())
			redirected.Observe(t.Context(), targets[0].Address, false)
			redirected.Observe(t.Context(), targets[1].Address, false)
			is.True(redirected.Isolated())
			conn, err := redirected.DialContext(t.Context(), "tcp", targets[0].Address)
			is.NoErr(err)
			_, err = conn.Write([]byte("tides"))
			is.NoErr(err)
			_, err = io.ReadFull(conn, make([]byte, 5))
			is.NoErr(err)
			is.NoErr(conn.Close())
		})
	}
}

// Guards against a host that counts as isolated because targets leave requests without an answer that answer others.
func TestUnansweredRequestsAloneAreNoIsolation(t *testing.T) {
	is := is.New(t)
	d := newDomain(t, 4, echo, "a", "b")
	for _, target := range d.list() {
		d.hosts["a"].Observe(t.Context(), target.Address, false)
	}
	is.True(!d.hosts["a"].Isolated())
}
