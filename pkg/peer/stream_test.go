package peer

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
)

// Guards against reads that continue while their session closes: yamux then reads in a busy loop, which blocked hosts with
// one CPU for the duration of the close.
func TestReadsEndBeforeTheirSession(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	client, err := newSession(here, Identity{Host: "b"}, SessionControl, true, newTraffic(tally.NoopScope, Identity{}))
	is.NoErr(err)
	server, err := newSession(there, Identity{Host: "a"}, SessionControl, false, newTraffic(tally.NoopScope, Identity{}))
	is.NoErr(err)
	defer client.fail(ErrClosed)
	defer server.fail(ErrClosed)
	go func() { _, _ = server.acceptStream() }()
	st, err := client.openStream()
	is.NoErr(err)
	ended := make(chan error, 1)
	go func() {
		_, err := st.Read(make([]byte, 1))
		ended <- err
	}()
	client.interruptStreams()
	select {
	case err := <-ended:
		var timeout net.Error
		is.True(errors.As(err, &timeout) && timeout.Timeout())
	case <-time.After(5 * time.Second):
		t.Fatal("the read did not end within 5 s of interruptStreams")
	}
	is.True(!client.closed())
	is.NoErr(st.SetReadDeadline(time.Time{})) // as net/http does between requests
	_, err = st.Read(make([]byte, 1))
	is.True(err != nil)
	late, err := client.openStream()
	is.NoErr(err)
	_, err = late.Read(make([]byte, 1))
	is.True(err != nil)
}

// Guards against pings on sessions on which other messages arrive all the time, and against silent sessions without pings.
func TestSessionsWithTrafficNeedNoPing(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	defer func() { _ = there.Close() }()
	s, err := newSession(here, Identity{Host: "b"}, SessionControl, true, newTraffic(tally.NoopScope, Identity{}))
	is.NoErr(err)
	defer s.fail(ErrClosed)
	heard := s.conn.started.Add(time.Second)
	s.conn.lastRead.Store(int64(time.Second))
	is.True(!s.needsNoPing(heard)) // no ping has been answered
	s.answered.Store(true)
	is.True(s.needsNoPing(heard.Add(keepaliveInterval - 1)))
	is.True(!s.needsNoPing(heard.Add(keepaliveInterval)))
}
