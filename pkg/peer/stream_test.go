package peer

import (
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// Guards against a read that goes on while its session closes: yamux then runs in a loop that keeps a host with one processor
// from doing anything else, which stopped hosts for as long as the close took.
func TestReadsEndBeforeTheirSession(t *testing.T) {
	is := is.New(t)
	here, there := net.Pipe()
	client, err := newSession(here, Identity{Host: "b"}, SessionControl, true)
	is.NoErr(err)
	server, err := newSession(there, Identity{Host: "a"}, SessionControl, false)
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
		t.Fatal("the read goes on")
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
