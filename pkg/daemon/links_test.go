package daemon

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/frontend"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
)

// cutMode is how the links of a host to all targets fail.
type cutMode int

const (
	// cutReset resets the connections and refuses new ones.
	cutReset cutMode = iota + 1
	// cutSilent loses all bytes and gives no answer to new connections.
	cutSilent
	// cutNew refuses new connections while the established ones go on working.
	cutNew
)

// silenceTimeout is the time after which the operating system ends a silent connection, with the options that hosts set.
const silenceTimeout = 2 * time.Second

// targetLinks opens the connections from hosts to targets and can cut off hosts from all targets.
type targetLinks struct {
	mu   sync.Mutex
	cuts map[string]cutMode
	open map[*linkConn]struct{}
}

func newTargetLinks() *targetLinks {
	return &targetLinks{cuts: map[string]cutMode{}, open: map[*linkConn]struct{}{}}
}

// attach makes a host that is not started yet use these links.
func (l *targetLinks) attach(t *testing.T, app *kernel.App) {
	t.Helper()
	m, err := kernel.Get[*frontend.Module](app, frontend.ModuleID)
	if err != nil {
		t.Fatal(err)
	}
	host := app.Settings.Host
	m.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		return l.dial(ctx, host, network, address)
	}
}

func (l *targetLinks) cut(host string, mode cutMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cuts[host] = mode
	for c := range l.open {
		if c.host == host {
			c.cut(mode)
		}
	}
}

func (l *targetLinks) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.cuts)
}

func (l *targetLinks) modeOf(host string) cutMode {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cuts[host]
}

func (l *targetLinks) dial(ctx context.Context, host, network, address string) (net.Conn, error) {
	switch l.modeOf(host) {
	case cutReset, cutNew:
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case cutSilent:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: context.Cause(ctx)}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: conn, links: l, host: host, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	return c, nil
}

// linkConn is a connection from a host to a target.
type linkConn struct {
	net.Conn
	links *targetLinks
	host  string
	// silent is closed when the connection goes silent.
	silent     chan struct{}
	silentOnce sync.Once
}

func (c *linkConn) cut(mode cutMode) {
	switch mode {
	case cutReset:
		_ = c.Conn.Close()
	case cutSilent:
		c.silentOnce.Do(func() { close(c.silent) })
		time.AfterFunc(silenceTimeout, func() { _ = c.Conn.Close() })
	}
}

func (c *linkConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read drops what arrives while the connection is silent. It returns an error when the connection is closed.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil {
			if c.isSilent() {
				err = os.NewSyscallError("read", syscall.ETIMEDOUT)
			}
			return 0, err
		}
		if !c.isSilent() {
			return n, nil
		}
	}
}

// Write drops what is sent while the connection is silent.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *linkConn) Close() error {
	c.links.mu.Lock()
	delete(c.links.open, c)
	c.links.mu.Unlock()
	return c.Conn.Close()
}

// SyscallConn lets hosts notice that an idle connection is closed, as they do with a plain one.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) { return c.Conn.(*net.TCPConn).SyscallConn() }
