package peer

import (
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against clients that open connections to the port for hosts and say nothing: they take all descriptors, and no host gets in. The oldest one is
// closed for a new one.
func TestSilentConnectionsMakeRoomForHosts(t *testing.T) {
	is := is.New(t)
	h := handshakes{limit: 2}
	var near, far []net.Conn
	for range 4 {
		a, b := net.Pipe()
		near, far = append(near, a), append(far, b)
	}
	h.add(near[0])
	h.add(near[1])
	h.add(near[2])
	_, err := far[0].Read(make([]byte, 1))
	is.Equal(err, io.EOF) // closed
	h.remove(near[1])
	h.add(near[3])
	is.Equal(len(h.conns), 2)
	h.remove(near[0]) // its handshake fails later
	go func() { _, _ = far[3].Write([]byte("x")) }()
	_, err = near[3].Read(make([]byte, 1))
	is.NoErr(err) // open
	h.remove(near[2])
	h.remove(near[3])
	is.Equal(len(h.conns), 0)
}
