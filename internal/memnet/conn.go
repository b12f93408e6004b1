package memnet

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// conn is one endpoint of a connection. It reads from in and writes to out.
type conn struct {
	network       *Network
	local, remote *Host
	localAddr     string
	remoteAddr    string
	in, out       *stream
	once          sync.Once
}

var _ net.Conn = (*conn)(nil)

// stream is one direction of a connection: an ordered byte buffer between a writer and a reader.
type stream struct {
	mu sync.Mutex
	// changed is closed and replaced at each change of the stream, to wake blocked reads and writes.
	changed chan struct{}
	// segments holds the bytes that are written but not yet read, in order of arrival; size is their number.
	segments []segment
	size     int
	// writerClosed is set when the writer closes its endpoint. After the remaining segments, and not before closedAt, reads
	// return closeErr.
	writerClosed bool
	closedAt     time.Time
	closeErr     error
	// readerClosed is set when the reader closes its endpoint; later writes are discarded.
	readerClosed bool
	// frozen makes reads block until their deadline.
	frozen bool

	readDeadline  time.Time
	writeDeadline time.Time
}

// segment is the data of one write, which becomes readable at the time at.
type segment struct {
	data []byte
	at   time.Time
}

func newStream() *stream { return &stream{changed: make(chan struct{})} }

// update calls f with the stream locked and wakes blocked reads and writes.
func (s *stream) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// connect creates a connection and returns both endpoints, or nils if the dialing host was killed.
func (n *Network) connect(from, to *Host, addr string) (clientEnd, serverEnd *conn) {
	toServer, toClient := newStream(), newStream()
	clientEnd = &conn{network: n, local: from, remote: to, localAddr: from.name, remoteAddr: addr, in: toClient, out: toServer}
	serverEnd = &conn{network: n, local: to, remote: from, localAddr: addr, remoteAddr: from.name, in: toServer, out: toClient}
	n.mu.Lock()
	defer n.mu.Unlock()
	if from.killed {
		return nil, nil
	}
	n.conns[clientEnd] = struct{}{}
	n.conns[serverEnd] = struct{}{}
	return clientEnd, serverEnd
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		_, cut, routesChanged := c.network.path(c.remote, c.local)
		n, wait, changed, err := c.in.read(p, cut)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		waitForChange(wait, changed, routesChanged)
	}
}

// waitForChange returns when a channel is closed or after wait; a negative wait means no limit.
func waitForChange(wait time.Duration, changed, healed <-chan struct{}) {
	var expired <-chan time.Time
	if wait >= 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-changed:
	case <-healed:
	case <-expired:
	}
}

// noTimeout makes waitForChange wait without a time limit.
const noTimeout = time.Duration(-1)

// read copies data that has arrived. With none available, it returns the time until the next arrival or the deadline, and a
// channel that is closed when the stream changes.
func (s *stream) read(p []byte, cut bool) (int, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.readerClosed:
		return 0, 0, nil, net.ErrClosed
	case expired(s.readDeadline, now):
		return 0, 0, nil, os.ErrDeadlineExceeded
	}
	wait := until(s.readDeadline, now, noTimeout)
	if cut || s.frozen {
		return 0, wait, s.changed, nil
	}
	if len(s.segments) == 0 {
		if !s.writerClosed {
			return 0, wait, s.changed, nil
		}
		if !s.closedAt.After(now) {
			return 0, 0, nil, s.closeErr
		}
		return 0, until(s.closedAt, now, wait), s.changed, nil
	}
	first := &s.segments[0]
	if first.at.After(now) {
		return 0, until(first.at, now, wait), s.changed, nil
	}
	n := copy(p, first.data)
	first.data = first.data[n:]
	if len(first.data) == 0 {
		s.segments = s.segments[1:]
	}
	full := s.size >= bufferLimit
	s.size -= n
	if full {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return n, 0, nil, nil
}

func expired(deadline, now time.Time) bool { return !deadline.IsZero() && !deadline.After(now) }

// until returns the time from now to t, or limit if that is shorter. A zero t or a negative limit does not restrict the result.
func until(t, now time.Time, limit time.Duration) time.Duration {
	if t.IsZero() {
		return limit
	}
	wait := max(0, t.Sub(now))
	if limit >= 0 && limit < wait {
		return limit
	}
	return wait
}

// Write implements net.Conn. It blocks while the stream's buffer is full.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		delay, _, _ := c.network.path(c.local, c.remote)
		n, wait, changed, err := c.out.write(p[written:], delay)
		written += n
		if err != nil {
			return written, err
		}
		if n == 0 {
			waitForChange(wait, changed, nil)
		}
	}
	c.network.countWrite(len(p))
	return written, nil
}

func (n *Network) countWrite(size int) {
	n.writes.Add(1)
	n.bytes.Add(uint64(size))
}

// write buffers as much of p as fits. With a full buffer, it returns the time until the deadline and a channel that is closed
// when the stream changes. The data becomes readable after delay.
func (s *stream) write(p []byte, delay time.Duration) (int, time.Duration, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	switch {
	case s.writerClosed:
		return 0, 0, nil, net.ErrClosed
	case s.readerClosed:
		// Discard the data without an error: the writer sees the close when it reads the end of the other direction.
		return len(p), 0, nil, nil
	case expired(s.writeDeadline, now):
		return 0, 0, nil, os.ErrDeadlineExceeded
	}
	n := min(len(p), bufferLimit-s.size)
	if n <= 0 {
		return 0, until(s.writeDeadline, now, noTimeout), s.changed, nil
	}
	s.segments = append(s.segments, segment{append([]byte(nil), p[:n]...), now.Add(delay)})
	s.size += n
	close(s.changed)
	s.changed = make(chan struct{})
	return n, 0, nil, nil
}

// Close implements net.Conn. The peer reads the data written before Close and then gets io.EOF.
func (c *conn) Close() error {
	c.once.Do(func() { c.shutdown(io.EOF) })
	return nil
}

// reset closes the connection like a TCP reset when the local process dies: the peer loses all unread data and its reads return
// ECONNRESET.
func (c *conn) reset() {
	c.once.Do(func() {
		c.out.update(func() { c.out.segments = nil })
		c.shutdown(syscall.ECONNRESET)
	})
}

// shutdown closes both directions. The peer's reads return err after one path delay.
func (c *conn) shutdown(err error) {
	delay, _, _ := c.network.path(c.local, c.remote)
	c.out.update(func() { c.out.writerClosed, c.out.closedAt, c.out.closeErr = true, time.Now().Add(delay), err })
	c.in.update(func() { c.in.readerClosed = true })
	c.network.removeConn(c)
}

func (n *Network) removeConn(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

func (c *conn) freeze() {
	c.in.update(func() { c.in.frozen = true })
	c.out.update(func() { c.out.frozen = true })
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return address(c.localAddr) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return address(c.remoteAddr) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	_ = c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.update(func() { c.in.readDeadline = t })
	return nil
}

// SetWriteDeadline implements net.Conn. It wakes blocked writes only while the buffer is full: package peer sets a deadline
// before each write, and each wake-up would also wake the reader.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.mu.Lock()
	full := c.out.size >= bufferLimit
	c.out.writeDeadline = t
	c.out.mu.Unlock()
	if full {
		c.out.update(func() {})
	}
	return nil
}
