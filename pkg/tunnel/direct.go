package tunnel

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
)

const (
	// ackTimeout is the time without an acknowledgement of sent bytes or of a keep-alive probe after which a connection counts as
	// broken.
	ackTimeout = 1500 * time.Millisecond
	// keepAliveIdle and keepAliveInterval set when probes are sent on a connection on which nothing arrives. Linux takes whole
	// seconds.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// keepAliveCount is the number of unanswered probes after which a connection counts as broken, unless ackTimeout ends it earlier.
	keepAliveCount = 2
)

// NewDirect returns a function that opens direct connections. A connection that goes silent, because a partition or a device on the way
// drops its packets, is ended within keepAliveIdle plus ackTimeout, also while no bytes are sent.
func NewDirect() upstream.DialFunc {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: setAckTimeout,
	}
	return dialer.DialContext
}

// setAckTimeout sets TCP_USER_TIMEOUT, which decides when unacknowledged bytes and keep-alive probes end a connection.
func setAckTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
