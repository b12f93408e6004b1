package peer

import (
	"net"
	"sync/atomic"
	"time"
)

// stream is a yamux stream whose reads end before its session closes. While a yamux session closes, Stream.Read is a busy
// loop: on a host with one CPU it delays the session's own goroutines, which have to complete the close.
type stream struct {
	net.Conn
	session     *session
	interrupted atomic.Bool
}

// pastDeadline makes pending and later reads time out at once.
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

// trackStream registers a stream for interruptStreams and interrupts it if that has already been called.
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

// interruptStreams makes the reads of all streams time out. The session must be closed afterwards.
func (s *session) interruptStreams() {
	s.streamsMu.Lock()
	defer s.streamsMu.Unlock()
	s.closing = true
	for st := range s.streams {
		st.interrupt()
	}
}

// interrupt ends pending and later reads of the stream with a time-out.
func (st *stream) interrupt() {
	st.interrupted.Store(true)
	_ = st.Conn.SetReadDeadline(pastDeadline)
}

// Close closes the stream and removes it from its session.
func (st *stream) Close() error {
	st.session.streamsMu.Lock()
	delete(st.session.streams, st)
	st.session.streamsMu.Unlock()
	return st.Conn.Close()
}

// SetReadDeadline sets the read deadline. An interrupted stream keeps pastDeadline.
func (st *stream) SetReadDeadline(t time.Time) error {
	if st.interrupted.Load() {
		t = pastDeadline
	}
	return st.Conn.SetReadDeadline(t)
}

// SetDeadline sets the read and write deadlines. An interrupted stream keeps pastDeadline for reads.
func (st *stream) SetDeadline(t time.Time) error {
	if err := st.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return st.SetReadDeadline(t)
}
