package entry

import (
	"bufio"
	"fmt"
	"io"
	"net/http"

	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
)

// scriptedTarget serves requests one after another on each connection with a function of the test. It counts runs by request ID.
type scriptedTarget struct {
	serve func(c *targetConn, r *http.Request)
	runs  soak.RunCounter
}

// targetConn is a connection to a scriptedTarget.
type targetConn struct {
	target *scriptedTarget
	out    io.Writer
	// pending is sent before the next response.
	pending string
	// ended is set to close the connection.
	ended bool
	// process is the process that accepted the connection, if the test has several at an address.
	process *process
}

func newScriptedTarget(serve func(c *targetConn, r *http.Request)) *scriptedTarget {
	return &scriptedTarget{serve: serve}
}

// ServeHTTP takes the connection over and serves all requests that arrive on it.
func (t *scriptedTarget) ServeHTTP(w http.ResponseWriter, first *http.Request) {
	if _, err := io.Copy(io.Discard, first.Body); err != nil {
		return
	}
	conn, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	c := &targetConn{target: t, out: conn}
	for r := first; r != nil; r = readNext(buffered.Reader) {
		t.serve(c, r)
		if c.ended {
			return
		}
	}
}

// readNext reads the next request with its body, or returns nil at the end of the connection.
func readNext(in *bufio.Reader) *http.Request {
	r, err := http.ReadRequest(in)
	if err != nil {
		return nil
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return nil
	}
	return r
}

// run counts a run of the request.
func (c *targetConn) run(r *http.Request) { c.target.runs.Add(r.Header.Get(target.HeaderRequestID)) }

// runsOf returns how often a request has run.
func (t *scriptedTarget) runsOf(id string) int { return t.runs.Of(id) }

// answer writes a response with the ID of the request, after what is pending, and returns its text.
func (c *targetConn) answer(r *http.Request, status int, header string) string {
	id := r.Header.Get(target.HeaderRequestID)
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: %s\r\n%sContent-Length: 3\r\n\r\nend", status, http.StatusText(status),
		target.HeaderRequestID, id, header)
	c.sendPending()
	_, _ = io.WriteString(c.out, text)
	return text
}

// sendPending writes what is pending.
func (c *targetConn) sendPending() {
	_, _ = io.WriteString(c.out, c.pending)
	c.pending = ""
}

// notRunHeader is the header with which a target states that it did not run a request.
const notRunHeader = headerNotRun + ": 1\r\n"
