package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"
)

const (
	// frameHeaderBytes is the size of a yamux frame header: version, type, flags (2), stream (4), length (4).
	frameHeaderBytes = 12
	// maxJoinedBody is the largest frame body that is copied behind its header, in bytes.
	maxJoinedBody = 16 << 10
)

// trackedConn limits the time that each piece of a write may take and records when bytes last arrived. yamux writes the
// header of a data frame and its body separately, always in this order and from one goroutine; trackedConn keeps such a
// header back and writes it together with the body, which halves the system calls and the wake-ups of the peer.
type trackedConn struct {
	net.Conn
	// pendingHeader is a frame header that has not been written yet; it is empty or complete. frame is the buffer for a header and
	// a short body.
	pendingHeader []byte
	frame         []byte
	// lastRead is the time since started, in nanoseconds.
	lastRead atomic.Int64
	started  time.Time
	// onWriteError is called before a failed write is reported.
	onWriteError func()
}

func newTrackedConn(conn net.Conn) *trackedConn {
	return &trackedConn{Conn: conn, started: time.Now(), onWriteError: func() {}}
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(int64(time.Since(c.started)))
	}
	return n, err
}

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

// isDataHeader reports whether p is the header of a data frame that is not empty.
func isDataHeader(p []byte) bool {
	const version, typeData = 0, 0
	return len(p) == frameHeaderBytes && p[0] == version && p[1] == typeData && binary.BigEndian.Uint32(p[8:]) > 0
}

func (c *trackedConn) write(p []byte) (int, error) {
	written := 0
	for len(p) > 0 {
		piece := p[:min(len(p), writeChunk)]
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
		n, err := c.Conn.Write(piece)
		written += n
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
