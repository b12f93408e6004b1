package intake

import (
	"container/list"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// idleGrace is how long a connection without a request is kept although others wait: an ordinary client sends its request at once.
	idleGrace = 200 * time.Millisecond
	// stallGrace is the time without progress after which a request that is not complete may be given up for others.
	stallGrace = time.Second
	// progressBytes is the progress of a request that counts.
	progressBytes = 4 << 10
	// refusalTimeout limits the time for sending a refusal, and lingerTimeout how long the connection then stays open: a close with unread bytes
	// would make the client's kernel drop the refusal.
	refusalTimeout = 100 * time.Millisecond
	lingerTimeout  = 500 * time.Millisecond
	// maxLingerBytes limits what is read and dropped meanwhile.
	maxLingerBytes = 256 << 10
)

// Port describes a port for clients.
type Port struct {
	// Name is part of log lines and metrics.
	Name string
	// Connections limits the open connections.
	Connections int
	// MaxHeadBytes returns the longest head that is read.
	MaxHeadBytes func() int
	// Refusal returns the bytes of the response to a client that is refused; nil for a plain one.
	Refusal func(Reason) []byte
}

// plainRefusal is the response of a port without a Refusal.
func plainRefusal(r Reason) []byte {
	status := http.StatusServiceUnavailable
	if r == ReasonHeadTooLarge {
		status = http.StatusRequestHeaderFieldsTooLarge
	}
	return fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// Listener accepts the connections of a port within the limits.
type Listener struct {
	net.Listener
	port    Port
	budget  *Budget
	refused map[Reason]tally.Counter

	mu   sync.Mutex
	open int
	// idle holds the connections without a request, reading those whose request is not complete, by the time since when they are idle or make no
	// progress. Connections whose request is served are in neither.
	idle, reading *list.List
}

// Listen returns a listener for the connections that inner accepts.
func (b *Budget) Listen(inner net.Listener, p Port) *Listener {
	if p.Refusal == nil {
		p.Refusal = plainRefusal
	}
	l := &Listener{
		Listener: inner, port: p, budget: b, refused: map[Reason]tally.Counter{}, idle: list.New(), reading: list.New(),
	}
	for _, r := range Reasons() {
		l.refused[r] = b.scope.Tagged(map[string]string{"port": p.Name, "reason": string(r)}).Counter("refused")
	}
	return l
}

// Attach sets the hooks of the server that serves the connections.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			c.served()
		}
	}
	s.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

type connKey struct{}

// FromContext returns the connection of a request, or nil if it did not come through a Listener. All methods of a nil Conn that handlers need do
// nothing.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// Accept returns the next connection for which there is room. If the limit is reached, it closes the connection that has been idle for the longest
// time, or else the one whose request has made no progress for the longest time. If there is none, it refuses the new one.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l, framer: newFramer()}
		c.head.From = l.budget.Heads
		victim, admitted := l.admit(c, time.Now())
		if victim != nil {
			l.evict(victim)
		}
		if admitted {
			return c, nil
		}
		l.report(ReasonConnections, raw.RemoteAddr().String())
		c.writeRefusal(ReasonConnections)
		_ = raw.Close()
	}
}

// admit adds a connection, if there is room for it or for the one that it replaces, and returns the one to close.
func (l *Listener) admit(c *Conn, now time.Time) (victim *Conn, admitted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.port.Connections {
		if victim = l.takeVictim(now); victim == nil {
			return nil, false
		}
	}
	l.open++
	c.counted = true
	c.setState(stateIdle, now)
	return victim, true
}

// takeVictim removes the connection that can best be closed from the lists, and returns it, or nil if there is none. l.mu must be held.
func (l *Listener) takeVictim(now time.Time) *Conn {
	if c := l.oldest(l.idle, now.Add(-idleGrace)); c != nil {
		return c
	}
	return l.oldest(l.reading, now.Add(-stallGrace))
}

// oldest removes and returns the first connection of a list if it is there since before the given time. l.mu must be held.
func (l *Listener) oldest(of *list.List, before time.Time) *Conn {
	front := of.Front()
	if front == nil {
		return nil
	}
	c := front.Value.(*Conn)
	if c.since.After(before) {
		return nil
	}
	c.evictedIdle, c.evictedInBody = c.state == stateIdle, c.inBody
	c.setState(stateEvicted, time.Time{})
	if !c.inBody {
		l.uncount(c)
		c.head.Release()
	}
	return c
}

// uncount removes a connection from the number of open ones. l.mu must be held.
func (l *Listener) uncount(c *Conn) {
	if c.counted {
		c.counted = false
		l.open--
	}
}

// evict ends a connection that takeVictim has returned. One that is amid a body stays open until its handler has refused the request.
func (l *Listener) evict(c *Conn) {
	reason := ReasonStalled
	if c.evictedIdle {
		reason = ReasonIdle
	}
	l.report(reason, c.RemoteAddr().String())
	if c.evictedInBody {
		_ = c.Conn.SetReadDeadline(pastDeadline)
		return
	}
	_ = c.Conn.Close()
}

// Reclaim ends the connection whose request has made no progress for the longest time, if there is one that makes none. Call it when there is no
// memory for another request.
func (l *Listener) Reclaim() {
	l.mu.Lock()
	victim := l.oldest(l.reading, time.Now().Add(-stallGrace))
	l.mu.Unlock()
	if victim != nil {
		l.evict(victim)
	}
}

// CloseIdle closes the connections that have been without a request for the given time.
func (l *Listener) CloseIdle(idleFor time.Duration) {
	for {
		l.mu.Lock()
		c := l.oldest(l.idle, time.Now().Add(-idleFor))
		l.mu.Unlock()
		if c == nil {
			return
		}
		_ = c.Conn.Close()
	}
}
