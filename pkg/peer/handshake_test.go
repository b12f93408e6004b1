package peer_test

import (
	"context"
	"crypto/tls"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Guards against a data race between the end of a handshake over TLS, by its time limit or the stop of the node, and the handshake itself.
func TestHandshakeOverTLSEndsWithTheNode(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	n := peer.New(peer.Options{Self: peer.Identity{Host: "h1"}, Listener: listener, TLS: &tls.Config{}})
	is.NoErr(n.Start(context.Background()))
	silent, err := net.Dial("tcp", listener.Addr().String()) // sends no hello
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	silentServer, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = silentServer.Close() }()
	called := make(chan error, 1)
	go func() {
		called <- n.Call(context.Background(), peer.Address{Host: "h2", Addr: silentServer.Addr().String()}, "method", &peerv1.StatusRequest{}, &peerv1.StatusResponse{})
	}()
	time.Sleep(200 * time.Millisecond)
	is.NoErr(n.Close())
	is.True(<-called != nil)
	is.NoErr(silent.SetReadDeadline(time.Now().Add(10 * time.Second)))
	_, err = silent.Read(make([]byte, 1))
	is.True(err != nil)
}
