package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// closeWhenDone closes a connection when ctx ends, unless stop is called before. The connection is the one below TLS, which can be closed
// while a handshake is in progress.
func closeWhenDone(ctx context.Context, conn net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = conn.Close() })
}

// clientHandshake sends the Hello of this host and returns the connection, with TLS if it is configured, and the identity in
// the Hello of the peer.
func (n *Node) clientHandshake(ctx context.Context, conn net.Conn, to Address, class SessionClass) (net.Conn, Identity, error) {
	// If ctx ends, the connection is closed, which makes the read or write in progress return an error.
	stop := closeWhenDone(ctx, conn)
	defer stop()
	if n.opts.TLS != nil {
		conn = tls.Client(conn, clientTLS(n.opts.TLS, to))
	}
	if _, err := protodelim.MarshalTo(conn, hello(n.opts.Self, class)); err != nil {
		return nil, Identity{}, errors.Wrap(err, "send hello")
	}
	from, _, err := readHello(conn)
	if err != nil {
		return nil, Identity{}, err
	}
	return conn, from, nil
}

// serverHandshake is the accepting side of clientHandshake. It also returns the session class that the client requested.
func (n *Node) serverHandshake(conn net.Conn) (net.Conn, Identity, SessionClass, error) {
	ctx, cancel := context.WithTimeout(n.ctx, dialTimeout)
	defer cancel()
	stop := closeWhenDone(ctx, conn)
	defer stop()
	if n.opts.TLS != nil {
		conn = tls.Server(conn, n.opts.TLS)
	}
	from, class, err := readHello(conn)
	if err != nil {
		return nil, Identity{}, "", err
	}
	if _, err := protodelim.MarshalTo(conn, hello(n.opts.Self, class)); err != nil {
		return nil, Identity{}, "", errors.Wrap(err, "send hello")
	}
	return conn, from, class, nil
}

// clientTLS sets the server name to verify to the host name, unless the configuration has one or the host is unknown.
func clientTLS(config *tls.Config, to Address) *tls.Config {
	if config.ServerName != "" || to.Host == "" {
		return config
	}
	config = config.Clone()
	config.ServerName = to.Host
	return config
}

func hello(self Identity, class SessionClass) *peerv1.Hello {
	return &peerv1.Hello{
		Host: self.Host, Incarnation: self.Incarnation, FailureDomain: self.FailureDomain, Region: self.Region,
		Session: string(class), Place: self.Place, KnowsMethodHashes: true,
	}
}

// readHello reads the Hello of the peer and verifies its session class and, with TLS, its host name.
func readHello(conn net.Conn) (Identity, SessionClass, error) {
	var h peerv1.Hello
	if err := (protodelim.UnmarshalOptions{MaxSize: maxHello}).UnmarshalFrom(unbufferedReader{conn}, &h); err != nil {
		return Identity{}, "", errors.Wrap(err, "read hello")
	}
	class := SessionClass(h.GetSession())
	switch class {
	case SessionControl, SessionShort, SessionLong:
	default:
		return Identity{}, "", errors.Newf("unknown session class %q", class)
	}
	if err := checkCertificate(conn, h.GetHost()); err != nil {
		return Identity{}, "", err
	}
	return Identity{
		Host: h.GetHost(), Incarnation: h.GetIncarnation(), FailureDomain: h.GetFailureDomain(), Region: h.GetRegion(),
		Place: h.GetPlace(), knowsMethodHashes: h.GetKnowsMethodHashes(),
	}, class, nil
}

// checkCertificate prevents a host with a valid certificate from impersonating another host.
func checkCertificate(conn net.Conn, host string) error {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certificates := secured.ConnectionState().PeerCertificates
	if len(certificates) == 0 {
		return nil
	}
	return errors.Wrap(certificates[0].VerifyHostname(host), "check certificate")
}

// unbufferedReader reads single bytes, because the bytes after the Hello belong to yamux.
type unbufferedReader struct{ io.Reader }

func (r unbufferedReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}
