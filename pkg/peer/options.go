package peer

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// keepaliveInterval is the time between two pings on a session.
	keepaliveInterval = 500 * time.Millisecond
	// pingTimeout closes a session on which no ping was answered for this long.
	pingTimeout = 1500 * time.Millisecond
	// bulkPingTimeout replaces pingTimeout on short and long sessions for as long as bytes still arrive: there a ping
	// waits behind up to 4 MB of data in each socket buffer, 0.9 s at a 70 Mbit/s share of a link.
	bulkPingTimeout = 5 * time.Second
	// writeTimeout closes a connection that accepts no piece of writeChunk bytes for this long.
	writeTimeout = 3 * time.Second
	// writeChunk is the largest single write, in bytes, so that the progress limit applies to each piece.
	writeChunk = 64 << 10
	// dialTimeout limits dialing, the TLS handshake and the exchange of Hello together.
	dialTimeout = 1500 * time.Millisecond
	// acceptRetryDelay is the pause after a failure to accept a connection.
	acceptRetryDelay = 10 * time.Millisecond
	// controlIdleTimeout and bulkIdleTimeout close a dialed session that has carried nothing for this long. Pings on
	// sessions to hosts that are called seldom would otherwise make up most messages of a large failure domain.
	controlIdleTimeout = 10 * time.Second
	bulkIdleTimeout    = 5 * time.Minute
	// streamOpenTimeout closes a session whose peer does not accept a new stream.
	streamOpenTimeout = 10 * time.Second
	// streamCloseTimeout limits how long a stream stays half closed.
	streamCloseTimeout = 30 * time.Second
	// headerTimeout limits how long a forwarded request's header may take to arrive.
	headerTimeout = 10 * time.Second

	// maxMessage is the largest encoded call or answer, in bytes.
	maxMessage = 4 << 20
	// maxHello is the largest encoded Hello, in bytes.
	maxHello = 4 << 10
	// maxCallsPerSession limits the calls that one session may have in progress at the server.
	maxCallsPerSession = 1024

	// longWindow is the receive window of a stream on a long session, in bytes. A link of 4,000 Mbit/s with a round trip
	// of 70 ms holds 35 MB, so nine streams of 4 MiB fill it and one stream reaches 479 Mbit/s. A stream whose reader
	// stops holds up to 4 MiB of data in a buffer of up to 8 MiB.
	longWindow = 4 << 20
	// shortWindow lets a short answer of up to 1 MiB through without waiting for a window update.
	shortWindow = 1 << 20
	// controlWindow is the receive window of the one stream of a control session, in bytes.
	controlWindow = 1 << 20
)

var (
	// ErrNotWritten marks errors of calls and requests of which no byte was given to a connection.
	ErrNotWritten = errors.New("not written")
	// ErrWrongPeer marks errors of calls that reached another host or incarnation than the one expected.
	ErrWrongPeer = errors.New("wrong peer")
	// ErrTooLarge marks errors of messages above the size limit.
	ErrTooLarge = errors.New("message too large")
	// ErrRemote marks errors that the other host's handler returned.
	ErrRemote = errors.New("error from the peer's handler")
	// ErrSessionLost marks errors of calls whose session ended before the answer.
	ErrSessionLost = errors.New("session lost")
	// ErrClosed means that the node was closed.
	ErrClosed = errors.New("peer node is closed")
)

// DialFunc opens a connection to a peer address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configure a Node.
type Options struct {
	// Self is sent to each peer when a session opens.
	Self Identity
	// Listener accepts connections from peers. The node closes it.
	Listener net.Listener
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// TLS, if not nil, protects dialed and accepted connections. A peer's certificate must be valid for its host name.
	TLS *tls.Config
	// Scope receives metrics; it may be nil.
	Scope tally.Scope
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}
