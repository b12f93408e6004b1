package tunnel

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// HeaderTarget names the target of a tunnel in the request to a gateway. Callers cannot set it, because hosts do not forward headers of
// their own from callers.
const HeaderTarget = "Rattanhitch-Tunnel-Target"

var (
	// errTargetUnreachable is the error of a gateway that reaches targets, but not the requested one.
	errTargetUnreachable = errors.New("the target accepts no connection from the gateway")
	errGatewayRefused    = errors.New("the gateway refused the tunnel")
)

// conn is a connection to a target through a gateway: the body of a request carries the bytes to the target, and the body of its response
// those from it. A connection that breaks off at the gateway ends with an error and not with io.EOF.
type conn struct {
	response io.ReadCloser
	request  *io.PipeWriter
	// cancel ends both directions.
	cancel func()
	remote net.Addr
}

var _ net.Conn = (*conn)(nil)

// open opens a connection to a target through a gateway.
func (d *Dialer) open(ctx context.Context, gateway peer.Address, address string) (net.Conn, error) {
	remote, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	// The connection outlives ctx, which limits only the time until it is open.
	connCtx, cancelConn := context.WithCancel(context.WithoutCancel(ctx))
	openCtx, stop := context.WithTimeout(ctx, gatewayTimeout)
	defer stop()
	body, request := io.Pipe()
	cancel := func() {
		cancelConn()
		_ = request.Close() // the transport does not return while it waits for the body
	}
	keep := context.AfterFunc(openCtx, cancel)
	resp, err := d.opts.Forwarder.Transport(gateway, peer.SessionShort).RoundTrip(newTunnelRequest(connCtx, gateway, address, body))
	if err != nil {
		cancel()
		return nil, err
	}
	err = refusalError(resp.StatusCode)
	if err == nil && !keep() {
		err = context.Cause(openCtx)
	}
	if err != nil {
		cancel()
		_ = resp.Body.Close()
		return nil, err
	}
	return &conn{response: resp.Body, request: request, cancel: cancel, remote: remote}, nil
}

func newTunnelRequest(ctx context.Context, gateway peer.Address, address string, body io.Reader) *http.Request {
	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway.Name()+"/", body)
	r.Header.Set(HeaderTarget, address)
	return r
}

// refusalError returns the error of a gateway's answer, or nil if the gateway has opened the connection.
func refusalError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusBadGateway:
		return errTargetUnreachable
	}
	return errors.Wrapf(errGatewayRefused, "status %d", status)
}

func (c *conn) Read(p []byte) (int, error)  { return c.response.Read(p) }
func (c *conn) Write(p []byte) (int, error) { return c.request.Write(p) }

// Close closes the connection at the gateway too.
func (c *conn) Close() error {
	c.cancel()
	return c.response.Close()
}

// SingleUse reports that the connection must not be reused: this host does not notice when the target closes it.
func (c *conn) SingleUse() bool { return true }

func (c *conn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline returns os.ErrNoDeadline; contexts limit the use of the connection.
func (c *conn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *conn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *conn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
