package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// frameHeaderBytes is the size of a yamux frame header: version, type, flags (2), stream (4), length (4).
	frameHeaderBytes = 12
	// maxJoinedBody is the largest frame body that is copied into one buffer with its header, in bytes.
	maxJoinedBody = 16 << 10
)

// trackedConn sets a deadline for each chunk of a write and records when bytes last arrived. yamux writes the header and the
// body of a data frame separately, always in this order and from one goroutine. trackedConn delays such a header and writes
// it together with the body, which halves the system calls and the wake-ups of the peer.
type trackedConn struct {
	net.Conn
	// pendingHeader is a frame header that has not been written yet; it is empty or complete. frame is the buffer for a header and
	// a short body.
	pendingHeader []byte
	frame         []byte
	// lastRead is the time of the last read, in nanoseconds since started.
	lastRead atomic.Int64
	started  time.Time
	// sent counts the bytes written.
	sent tally.Counter
	// onWriteError is called when a write fails, before the error is returned.
	onWriteError func()
}

func newTrackedConn(conn net.Conn) *trackedConn {
	return &trackedConn{Conn: conn, started: time.Now(), sent: tally.NoopScope.Counter(""), onWriteError: func() {}}
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.started)))
	}
	return n, err
}

// Write delays the header of a non-empty data frame, reports it as written, and writes it with the body in the next call.
func (c *trackedConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) == 0 && isDataHeader(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	if len(c.pendingHeader) == 0 {
		return c.write(p)
	}
	if len(p) > maxJoinedBody {
		if _, err := c.write(c.pendingHeader); err != nil {
			return 0, err
		}
		c.pendingHeader = c.pendingHeader[:0]
		return c.write(p)
	}
	c.frame = append(append(c.frame[:0], c.pendingHeader...), p...)
	c.pendingHeader = c.pendingHeader[:0]
	n, err := c.write(c.frame)
	return max(0, n-frameHeaderBytes), err
}

// isDataHeader reports whether p is the header of a non-empty data frame.
func isDataHeader(p []byte) bool {
	const version, typeData = 0, 0
	return len(p) == frameHeaderBytes && p[0] == version && p[1] == typeData && binary.BigEndian.Uint32(p[8:]) > 0
}

// write writes p in chunks of at most writeChunk bytes, each with a deadline of writeTimeout.
func (c *trackedConn) write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), writeChunk)]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(piece)
		written += n
		c.sent.Inc(int64(n))
		if err != nil {
			c.onWriteError()
			return written, err
		}
		p = p[n:]
	}
	return written, nil
}

// lastReadAt returns when bytes last arrived.
func (c *trackedConn) lastReadAt() time.Time { return c.started.Add(time.Duration(c.lastRead.Load())) }
