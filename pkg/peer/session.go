package peer

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
)

// session is one yamux connection to a peer.
type session struct {
	remote Identity
	class  SessionClass
	conn   *trackedConn
	mux    *yamux.Session
	// control is set on dialed control sessions only.
	control *controlClient

	// answered is set once a ping has been answered.
	answered atomic.Bool
	// lastUsed is the time of the last use, in Unix nanoseconds.
	lastUsed atomic.Int64
	causeMu  sync.Mutex
	cause    error

	streamsMu sync.Mutex
	streams   map[*stream]struct{}
	// closing is set before the session is closed; streams opened later are interrupted at once.
	closing bool
}

// newSession starts yamux on a connection after the handshake, as its client if the connection was dialed.
func newSession(conn net.Conn, remote Identity, class SessionClass, dialed bool, t *traffic) (*session, error) {
	s := &session{remote: remote, class: class, conn: newTrackedConn(conn), streams: map[*stream]struct{}{}}
	s.conn.sent = t.sentBytes(class, remote)
	s.conn.onWriteError = s.interruptStreams
	s.touch()
	start := yamux.Server
	if dialed {
		start = yamux.Client
	}
	var err error
	s.mux, err = start(s.conn, muxConfig(class))
	return s, err
}

func muxConfig(class SessionClass) *yamux.Config {
	c := yamux.DefaultConfig()
	// keepalive replaces the pings of yamux, which closes a session after one late answer even while bulk data still arrives.
	c.EnableKeepAlive = false
	c.ConnectionWriteTimeout = bulkPingTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = streamCloseTimeout
	c.LogOutput = io.Discard
	switch class {
	case SessionLong:
		c.MaxStreamWindowSize = longWindow
	case SessionShort:
		c.MaxStreamWindowSize = shortWindow
	default:
		c.MaxStreamWindowSize = controlWindow
	}
	return c
}

// touch records that the session is used; see closeWhenIdle.
func (s *session) touch() { s.lastUsed.Store(time.Now().UnixNano()) }

func (s *session) usedAt() time.Time { return time.Unix(0, s.lastUsed.Load()) }

// busy reports whether a call or a request is in progress on a dialed session.
func (s *session) busy() bool {
	if s.control != nil {
		return s.control.inFlight() > 0
	}
	return s.mux.NumStreams() > 0
}

func (s *session) closed() bool { return s.mux.IsClosed() }

// fail closes the session and records the cause. The cause of the first call is kept.
func (s *session) fail(cause error) {
	s.causeMu.Lock()
	if s.cause == nil {
		s.cause = cause
	}
	s.causeMu.Unlock()
	s.interruptStreams()
	_ = s.mux.Close()
}

// err returns the cause of the end of the session, marked ErrSessionLost.
func (s *session) err() error {
	s.causeMu.Lock()
	defer s.causeMu.Unlock()
	if s.cause == nil {
		return errors.Mark(errors.New("connection closed by the peer"), ErrSessionLost)
	}
	return errors.Mark(s.cause, ErrSessionLost)
}

// keepalive sends a ping every keepaliveInterval, unless one is in flight or bytes have arrived since the last one, and closes the session
// when pingDeadline has passed. It returns when the session ends. Bytes that arrive do not show that the other direction works. If it does
// not, the peer hears nothing and closes the session.
func (s *session) keepalive() {
	pingResults := make(chan error, 1)
	pingInFlight := false
	lastReply := time.Now()
	ticker := time.NewTicker(keepaliveInterval)
	defer ticker.Stop()
	limit := time.NewTimer(pingTimeout)
	defer limit.Stop()
	for {
		select {
		case <-s.mux.CloseChan():
			return
		case now := <-ticker.C:
			if pingInFlight {
				continue
			}
			if s.needsNoPing(now) {
				lastReply = s.conn.lastReadAt()
				limit.Reset(s.pingDeadline(lastReply).Sub(now))
				continue
			}
			pingInFlight = true
			go func() { pingResults <- s.ping() }()
		case err := <-pingResults:
			pingInFlight = false
			if err == nil {
				lastReply = time.Now()
				limit.Reset(pingTimeout)
			}
		case now := <-limit.C:
			wait := s.pingDeadline(lastReply).Sub(now)
			if wait <= 0 {
				s.fail(errors.Newf("no reply for %s", now.Sub(lastReply).Round(time.Millisecond)))
				return
			}
			limit.Reset(wait)
		}
	}
}

// needsNoPing reports whether bytes arrived recently, so that the session is alive, and a ping has been answered before: the first one shows
// that both directions work.
func (s *session) needsNoPing(now time.Time) bool {
	return now.Sub(s.conn.lastReadAt()) < keepaliveInterval && s.answered.Load()
}

// ping sends one ping and waits for its answer.
func (s *session) ping() error {
	_, err := s.mux.Ping()
	if err == nil {
		s.answered.Store(true)
	}
	return err
}

// pingDeadline returns when the session is closed unless a ping is answered. On short and long sessions it is extended while
// bytes arrive; see bulkPingTimeout.
func (s *session) pingDeadline(lastReply time.Time) time.Time {
	deadline := lastReply.Add(pingTimeout)
	if s.class == SessionControl {
		return deadline
	}
	bulk := s.conn.lastReadAt().Add(pingTimeout)
	if limit := lastReply.Add(bulkPingTimeout); bulk.After(limit) {
		bulk = limit
	}
	if bulk.After(deadline) {
		return bulk
	}
	return deadline
}
