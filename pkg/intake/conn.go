package intake

import (
	"container/list"
	"crypto/tls"
	"io"
	"net"
	"os"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
	"github.com/rattanhitch/rattanhitch/internal/quota"
)

// state is what a connection is used for.
type state int

const (
	// stateIdle is that of a connection without a request, stateReading while a request arrives, and stateServing while it is served.
	stateIdle state = iota
	stateReading
	stateServing
	// stateEvicted is that of a connection that was closed for another one, stateClosed after its end.
	stateEvicted
	stateClosed
)

// pastDeadline makes pending and later reads time out at once.
var pastDeadline = time.Unix(1, 0)

// Conn is a connection of a client. Reads return the bytes of one request at a time, so that each head is measured before it is parsed.
type Conn struct {
	net.Conn
	listener *Listener

	// Used by the goroutine that reads, and between two requests by the one that serves.
	framer framer
	// pending holds bytes that were read beyond the end of a request.
	pending []byte
	// headRead is set once the whole head of the present request has been returned. stopped is set when nothing more is read.
	headRead, stopped bool
	progress          int

	// The rest is guarded by listener.mu.
	state   state
	element *list.Element
	// since is when the connection became idle, or its request made progress.
	since time.Time
	// head is the memory for the heads of the present request and of the next one.
	head quota.Reservation
	// inBody is set while the rest of a body is to be read, counted while the connection counts as open.
	inBody, counted bool
	// evictedIdle and evictedInBody tell what the connection was used for when it was closed for another one.
	evictedIdle, evictedInBody bool
}

// Read reads bytes of one request. A head for which there is no room is answered with a refusal, and the connection ends.
func (c *Conn) Read(p []byte) (int, error) {
	if c.stopped || c.framer.phase == phaseBroken {
		return 0, io.EOF
	}
	if c.framer.complete {
		c.headRead = false
	}
	used, err := c.readRequest(p)
	if used == 0 {
		return 0, err
	}
	open, reason := c.note(used)
	switch {
	case !open:
		return 0, os.ErrDeadlineExceeded
	case reason != "":
		return 0, c.refuse(reason)
	}
	c.headRead = !c.framer.inHead()
	return used, nil
}

// readRequest reads up to the end of the present request.
func (c *Conn) readRequest(p []byte) (int, error) {
	if len(c.pending) > 0 {
		used := c.framer.scan(p[:copy(p, c.pending)])
		c.pending = c.pending[used:]
		if len(c.pending) == 0 {
			c.pending = nil
		}
		return used, nil
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return 0, err
	}
	used := c.framer.scan(p[:n])
	if used < n {
		c.pending = append([]byte(nil), p[used:n]...)
	}
	return used, nil
}

// note records the progress of the request and reserves memory for its head. open is false if the connection was closed for another one. The reason is
// why the request must be refused; empty if it need not be.
func (c *Conn) note(used int) (open bool, reason Reason) {
	c.progress += used
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateEvicted || c.state == stateClosed {
		return false, ""
	}
	c.inBody = !c.framer.complete && c.framer.phase != phaseHead
	switch {
	case c.state == stateServing:
	case c.framer.complete:
		c.setState(stateServing, time.Time{})
	case c.state == stateIdle || c.progress >= progressBytes:
		c.progress = 0
		c.setState(stateReading, time.Now())
	}
	return true, c.reserveHead()
}

// reserveHead reserves memory for the head, and returns the reason to refuse it or an empty one. listener.mu must be held.
func (c *Conn) reserveHead() Reason {
	f := &c.framer
	missing := httphead.Memory(f.headBytes, f.lines) - c.head.Held()
	switch {
	case f.headBytes > c.listener.port.MaxHeadBytes():
		return ReasonHeadTooLarge
	case missing > 0 && !c.head.Grow(missing):
		return ReasonNoMemory
	}
	return ""
}

// refuse ends the connection, with a refusal if no handler has the request yet, and returns the error for the reader.
func (c *Conn) refuse(r Reason) error {
	c.stopped, c.pending = true, nil
	l := c.listener
	l.report(r, c.RemoteAddr().String())
	if r == ReasonNoMemory {
		l.Reclaim()
	}
	if c.headRead {
		return io.ErrUnexpectedEOF // of the body; the handler refuses the request
	}
	c.writeRefusal(r)
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until the client has the refusal and closes
	return io.EOF
}

// writeRefusal sends the refusal for a reason.
func (c *Conn) writeRefusal(r Reason) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(c.listener.port.Refusal(r)) // a client that is gone needs none
}

// served records that the request has been answered, and returns the memory for its head. Part of the next request may have arrived.
func (c *Conn) served() {
	c.progress = 0
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state == stateEvicted || c.state == stateClosed {
		return
	}
	c.inBody = false
	if c.framer.complete {
		c.head.Release()
		c.setState(stateIdle, time.Now())
		return
	}
	c.head.ShrinkTo(httphead.Memory(c.framer.headBytes, c.framer.lines))
	c.setState(stateReading, time.Now())
}

// MarkServing records that the request is being sent on although its body is not complete, so that the connection is not closed for another one.
func (c *Conn) MarkServing() {
	if c == nil {
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateReading {
		c.setState(stateServing, time.Time{})
	}
}

// Reclaim makes room for other requests; see Listener.Reclaim.
func (c *Conn) Reclaim() {
	if c != nil {
		c.listener.Reclaim()
	}
}

// TLS returns the state of the TLS connection, or nil if there is none.
func (c *Conn) TLS() *tls.ConnectionState {
	if c == nil {
		return nil
	}
	secured, ok := c.Conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secured.ConnectionState()
	return &state
}

// setState moves the connection to the list of a state. listener.mu must be held.
func (c *Conn) setState(s state, now time.Time) {
	l := c.listener
	if c.element != nil {
		l.listOf(c.state).Remove(c.element)
		c.element = nil
	}
	c.state, c.since = s, now
	if in := l.listOf(s); in != nil {
		c.element = in.PushBack(c)
	}
}

// listOf returns the list of the connections in a state; nil if there is none.
func (l *Listener) listOf(s state) *list.List {
	switch s {
	case stateIdle:
		return l.idle
	case stateReading:
		return l.reading
	}
	return nil
}

// SetReadDeadline sets the read deadline, unless the connection was closed for another one.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.state == stateEvicted {
		t = pastDeadline
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and write deadlines.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// CloseWrite closes the direction to the client, which net/http does before it closes a connection with unread bytes.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and returns what it holds.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	l := c.listener
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.state != stateClosed {
		c.setState(stateClosed, time.Time{})
		l.uncount(c)
		c.head.Release()
	}
	return err
}
