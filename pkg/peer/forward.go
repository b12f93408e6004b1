package peer

import (
	"context"
	"net"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
)

type transportKey struct {
	to    Address
	class SessionClass
}

// Transport implements Forwarder. Errors carry the step and the peer; an error marked ErrNotWritten means that the request
// was not sent. The transport never retries a request.
func (n *Node) Transport(to Address, class SessionClass) http.RoundTripper {
	key := transportKey{to, class}
	n.mu.Lock()
	defer n.mu.Unlock()
	t, ok := n.transports[key]
	if !ok {
		t = n.newTransport(to, class)
		n.transports[key] = t
	}
	return t
}

// forwardTransport opens one stream per request. Streams are not reused, because net/http retries some requests by itself
// when a reused connection fails.
type forwardTransport struct {
	to   Address
	http http.RoundTripper
}

func (n *Node) newTransport(to Address, class SessionClass) *forwardTransport {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		s, _, err := n.link(to, class).session(ctx, to)
		if err != nil {
			return nil, err
		}
		stream, err := s.openStream()
		if err != nil {
			return nil, errors.Mark(steperr.Wrap(err, "open stream", to.Name()), ErrNotWritten)
		}
		return stream, nil
	}
	return &forwardTransport{to: to, http: httphead.Transport{Base: &http.Transport{
		DialContext: dial, DisableKeepAlives: true, DisableCompression: true, WriteBufferSize: 32 << 10, ReadBufferSize: 32 << 10,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// RoundTrip implements http.RoundTripper.
func (t *forwardTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.http.RoundTrip(r)
	return resp, steperr.Wrap(err, "forward", t.to.Name())
}

type senderKey struct{}

// SenderFrom returns the host that forwarded a request, from the context of the request.
func SenderFrom(ctx context.Context) (Identity, bool) {
	from, ok := ctx.Value(senderKey{}).(Identity)
	return from, ok
}

// HandleForward sets the handler for forwarded requests. Call it before Start.
func (n *Node) HandleForward(h http.Handler) { n.forwardServer.Handler = h }

// sessionListener is a net.Listener that accepts the streams of a session, for net/http.
type sessionListener struct{ *session }

func (l sessionListener) Accept() (net.Conn, error) {
	stream, err := l.acceptStream()
	if err != nil {
		return nil, err
	}
	return forwardConn{stream, l.remote}, nil
}

func (l sessionListener) Close() error   { l.fail(ErrClosed); return nil }
func (l sessionListener) Addr() net.Addr { return l.mux.Addr() }

// forwardConn is an accepted stream together with the host that opened it.
type forwardConn struct {
	net.Conn
	from Identity
}

// forwardContext adds the sender to the context of the requests on a stream.
func forwardContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, senderKey{}, conn.(forwardConn).from)
}
