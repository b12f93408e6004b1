package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// stream is a yamux stream that ends its reads before its session closes. Between the start of the close and its end,
// yamux's Stream.Read runs in a loop without a pause, which keeps the only processor of a small host busy until the
// session's own goroutines get a turn.
type stream struct {
	net.Conn
	session     *session
	interrupted atomic.Bool
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

func (s *session) openStream() (*stream, error) {
	conn, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return s.trackStream(conn), nil
}

func (s *session) acceptStream() (*stream, error) {
	conn, err := s.mux.Accept()
	if err != nil {
		return nil, err
	}
	return s.trackStream(conn), nil
}

func (s *session) trackStream(conn net.Conn) *stream {
	st := &stream{Conn: conn, session: s}
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.streams[st] = struct{}{}
	if s.closing {
		st.interrupt()
	}
	return st
}

// interruptStreams ends the reads of all streams. The session must be closed afterwards.
func (s *session) interruptStreams() {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.closing = true
	for st := range s.streams {
		st.interrupt()
	}
}

func (st *stream) interrupt() {
	st.interrupted.Store(true)
	_ = st.Conn.SetReadDeadline(pastDeadline)
}

// Close closes the stream.
func (st *stream) Close() error {
	st.session.streamsMu.Lock()
	delete(st.session.streams, st)
	st.session.streamsMu.Unlock()
	return st.Conn.Close()
}

// SetReadDeadline keeps the deadline of an interrupted stream.
func (st *stream) SetReadDeadline(t time.Time) error {
	if st.interrupted.Load() {
		t = pastDeadline
	}
	return st.Conn.SetReadDeadline(t)
}

// SetDeadline keeps the read deadline of an interrupted stream.
func (st *stream) SetDeadline(t time.Time) error {
	if err := st.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return st.SetReadDeadline(t)
}
