package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless writes start and then repeats a part until the client closes the connection, which closes done.
func endless(start, part string, done chan<- struct{}) func(net.Conn, *bufio.Reader) {
	return func(conn net.Conn, r *bufio.Reader) {
		defer conn.Close()
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		block := []byte(strings.Repeat(part, 1+4096/len(part)))
		_, err := conn.Write([]byte(start))
		for err == nil {
			_, err = conn.Write(block)
		}
		close(done)
	}
}

// Guards against a target that holds a request, its slot and a processor core until the deadline because it sends bytes that never
// become a response. The attempt must fail at once, so that another target can be tried.
func TestBytesThatNeverBecomeAResponseEndTheAttempt(t *testing.T) {
	const limit = 5 * time.Second // far below the deadline of the request
	for _, c := range []struct{ name, start, part string }{
		{"no status line", "", "garbage "},
		{"status line without end", "HTTP/1.1 200 ", "OK "},
		{"header line without end", "HTTP/1.1 200 OK\r\nX: ", "x"},
		{"header lines without end", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		{"folded header without end", "HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n"},
		{"informational responses without end", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"early hints without end", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"empty lines", "", "\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			done := make(chan struct{})
			tg := listen(t, endless(c.start, c.part, done))
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			start := time.Now()
			_, err := newClient().RoundTrip(request(ctx, "a"), tg.options())
			is.True(err != nil)
			is.True(time.Since(start) < limit)
			select {
			case <-done:
			case <-time.After(limit):
				t.Fatal("the connection was not closed")
			}
		})
	}
}
