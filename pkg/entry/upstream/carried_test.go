package upstream

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// echo answers each request with its ID.
func echo(conn net.Conn, r *bufio.Reader) {
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprint(conn, answer(req.Header.Get("Id"), "x"))
	}
}

// sendWithID sends a request whose ID other requests may have too.
func sendWithID(t *testing.T, c *Client, tg *target, id string) {
	t.Helper()
	o := tg.options()
	o.RequestID = id
	if _, err := roundTrip(t, c, o, id); err != nil {
		t.Fatal(err)
	}
}

// Guards against a late copy of a response that matches the next request because it has the same ID, and against new connections for requests
// that an idle one may carry.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	is := is.New(t)
	tg := listen(t, echo)
	c := newClient()
	defer c.CloseAllIdle()
	for i, step := range []struct {
		id          string
		connections int32
	}{
		{"a", 1}, {"b", 1},
		{"a", 2},         // the first connection has carried it
		{"c", 2},         // on the one that was used last
		{"b", 2},         // on the second one
		{"b", 3},         // both have carried it
		{"", 3}, {"", 3}, // unique IDs are not recorded
		{"d", 3}, {"a", 3}, // on the third one
	} {
		sendWithID(t, c, tg, step.id)
		if n := tg.connections.Load(); n != step.connections {
			t.Errorf("step %d: %d connections, expected %d", i, n, step.connections)
		}
	}
	is.Equal(len(c.idle[tg.Addr().String()]), 3)
}

// Guards against a connection that forgets an ID that it has carried, and against memory that grows with the requests on a connection.
func TestConnectionIsClosedBeforeItForgetsAnID(t *testing.T) {
	is := is.New(t)
	tg := listen(t, echo)
	c := newClient()
	defer c.CloseAllIdle()
	for n := range maxCarriedIDs {
		sendWithID(t, c, tg, fmt.Sprint("r", n))
	}
	is.Equal(tg.connections.Load(), int32(1))
	is.Equal(len(c.idle[tg.Addr().String()]), 0)
	sendWithID(t, c, tg, "r0")
	is.Equal(tg.connections.Load(), int32(2))
}
