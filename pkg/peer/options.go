package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

const (
	// keepaliveInterval is the time between two pings on a session on which nothing else arrives.
	keepaliveInterval = 500 * time.Millisecond
	// pingTimeout is the time without an answered ping after which a session is closed.
	pingTimeout = 1500 * time.Millisecond
	// bulkPingTimeout replaces pingTimeout on short and long sessions while bytes still arrive. There a ping can wait behind
	// up to 4 MB of data in each socket buffer, which takes 0.9 s at a 70 Mbit/s share of a link.
	bulkPingTimeout = 5 * time.Second
	// writeTimeout limits the write of one chunk of up to writeChunk bytes; after it the connection is closed.
	writeTimeout = 3 * time.Second
	// writeChunk is the largest single write, in bytes. writeTimeout applies to each chunk.
	writeChunk = 64 << 10
	// dialTimeout limits the dial, the TLS handshake and the exchange of Hello messages together.
	dialTimeout = 1500 * time.Millisecond
	// acceptRetryDelay is the pause after Accept has failed.
	acceptRetryDelay = 10 * time.Millisecond
	// controlIdleTimeout and bulkIdleTimeout are the idle times after which a dialed session is closed. Without them, pings
	// on sessions to hosts that are called rarely would be most of the messages in a large failure domain.
	controlIdleTimeout = 10 * time.Second
	bulkIdleTimeout    = 5 * time.Minute
	// streamOpenTimeout closes a session whose peer does not acknowledge a new stream in this time.
	streamOpenTimeout = 10 * time.Second
	// streamCloseTimeout is the maximum time that a stream stays half-closed.
	streamCloseTimeout = 30 * time.Second
	// headerTimeout limits reading the header of a forwarded request.
	headerTimeout = 10 * time.Second

	// defaultHandshakes is the default of Options.MaxHandshakes.
	defaultHandshakes = 128

	// maxHeadBytes is the longest head of a forwarded request or its response: that of a caller or a target with what hosts add.
	maxHeadBytes = 256 << 10
	// maxMessage is the largest encoded call or answer, in bytes.
	maxMessage = 4 << 20
	// maxHello is the largest encoded Hello, in bytes.
	maxHello = 4 << 10
	// maxCallsPerSession limits the concurrent calls that the server handles for one session.
	maxCallsPerSession = 1024

	// longWindow is the receive window of a stream on a long session, in bytes. The bandwidth-delay product of a link with
	// 4,000 Mbit/s and a round trip of 70 ms is 35 MB, so nine streams of 4 MiB fill the link and one stream reaches 479
	// Mbit/s. A stream whose reader stalls holds up to 4 MiB of data, in a buffer of up to 8 MiB.
	longWindow = 4 << 20
	// shortWindow is the receive window of a stream on a short session, in bytes. A response of up to 1 MiB passes without
	// waiting for a window update.
	shortWindow = 1 << 20
	// controlWindow is the receive window of the single stream of a control session, in bytes.
	controlWindow = 1 << 20
)

var (
	// ErrNotWritten marks errors of calls and requests of which no byte was written to a connection. Retrying them is safe.
	ErrNotWritten = errors.New("not written")
	// ErrWrongPeer marks errors of calls that reached another host or another incarnation than expected.
	ErrWrongPeer = errors.New("wrong peer")
	// ErrTooLarge marks errors of requests above the size limit.
	ErrTooLarge = errors.New("message too large")
	// ErrRemote marks errors that the server returned, from its handler or because it could not run it.
	ErrRemote = errors.New("error from the peer's handler")
	// ErrSessionLost marks errors of calls whose session ended before the answer arrived. The handler may have run.
	ErrSessionLost = errors.New("session lost")
	// ErrClosed is returned after the node has been closed.
	ErrClosed = errors.New("peer node is closed")
)

// DialFunc opens a connection to a peer address.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Options configure a Node.
type Options struct {
	// Self is sent to each peer in the Hello.
	Self Identity
	// Listener accepts connections from peers; nil accepts none. Close of the node closes it.
	Listener net.Listener
	// Dial opens connections; nil dials TCP.
	Dial DialFunc
	// TLS, if not nil, secures dialed and accepted connections. A peer's certificate must be valid for its host name.
	TLS *tls.Config
	// Scope receives metrics; it may be nil.
	Scope tally.Scope
	// MaxHandshakes limits the accepted connections whose peer has not stated who it is; 0 means defaultHandshakes.
	MaxHandshakes int
}

func (o Options) withDefaults() Options {
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	o.MaxHandshakes = cmp.Or(o.MaxHandshakes, defaultHandshakes)
	return o
}
