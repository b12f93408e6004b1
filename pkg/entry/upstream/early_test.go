package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// earlyAnswer is a response without a length whose body ends with the connection.
const earlyAnswer = "HTTP/1.1 200 OK\r\n\r\nthe first part"

// writerToldConn is a connection that its peer has reset while a request was written, as the kernel shows it if the writer asks first: the
// write fails, and the reader finds the bytes that arrived before and then a plain end.
type writerToldConn struct {
	net.Conn
	answer io.Reader
	// ended is closed when the reader has seen the end; the write fails before it if it is nil.
	ended chan struct{}
	// closed is closed with the connection.
	closed chan struct{}
	failed chan struct{}
	once   sync.Once
}

func newWriterToldConn(lateWriter bool) *writerToldConn {
	c := &writerToldConn{answer: strings.NewReader(earlyAnswer), closed: make(chan struct{}), failed: make(chan struct{})}
	if lateWriter {
		c.ended = make(chan struct{})
	}
	return c
}

func (c *writerToldConn) Write([]byte) (int, error) {
	if c.ended != nil {
		<-c.ended
	}
	defer close(c.failed)
	return 0, syscall.ECONNRESET
}

func (c *writerToldConn) Read(p []byte) (int, error) {
	if c.ended == nil {
		<-c.failed
	}
	n, err := c.answer.Read(p)
	if err != nil && c.ended != nil {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

func (c *writerToldConn) SetWriteDeadline(time.Time) error { return nil }

func (c *writerToldConn) Close() error { close(c.closed); return nil }

// Guards against a part of a response that reaches the caller as a complete one: a target answers an upload early and without a length, and
// resets the connection. The kernel tells the reset once. If the writer of the upload learns of it, the reader sees a plain end.
func TestResetThatTheWriterLearnsOfIsNoEnd(t *testing.T) {
	for _, lateWriter := range []bool{false, true} {
		is := is.New(t)
		conn := newWriterToldConn(lateWriter)
		c := New(func(context.Context, string, string) (net.Conn, error) { return conn, nil })
		r := request(t.Context(), "a")
		r.Method, r.Body, r.ContentLength = http.MethodPut, io.NopCloser(strings.NewReader(strings.Repeat("x", 1<<20))), 1<<20
		resp, err := c.RoundTrip(r, Options{Address: "target"})
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		is.True(err != nil) // also before the head: the target's answer is not complete
		<-conn.closed
	}
}

// Guards against the same on connections of the kernel, where the reset comes at a random moment of the upload.
func TestResetDuringAnUploadIsNoEnd(t *testing.T) {
	const tries = 150
	tg := listen(t, func(conn net.Conn, r *bufio.Reader) {
		_, _ = http.ReadRequest(r)
		_, _ = io.WriteString(conn, earlyAnswer)
		time.Sleep(20 * time.Millisecond)
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	})
	c := newClient()
	complete := 0
	for range tries {
		upload, source := io.Pipe()
		go func() {
			block := make([]byte, 16<<10)
			for {
				if _, err := source.Write(block); err != nil {
					return
				}
			}
		}()
		r := request(t.Context(), "a")
		r.Method, r.Body, r.ContentLength = http.MethodPut, upload, -1
		resp, err := c.RoundTrip(r, tg.options())
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err == nil {
			complete++
		}
		_ = upload.CloseWithError(errors.New("the exchange has ended"))
	}
	is.New(t).Equal(complete, 0) // parts of responses that count as complete
}

// Guards against an answer that is refused although it is complete: a target may answer with a body that ends with the connection, once it has
// read the whole request.
func TestBodyThatEndsWithItsConnectionIsComplete(t *testing.T) {
	is := is.New(t)
	tg := listen(t, func(conn net.Conn, r *bufio.Reader) {
		q, _ := http.ReadRequest(r)
		_, _ = io.Copy(io.Discard, q.Body)
		_, _ = io.WriteString(conn, earlyAnswer)
		_ = conn.Close()
	})
	for _, size := range []int{0, 100, 1 << 20} {
		r := request(t.Context(), "a")
		r.Method, r.Body, r.ContentLength = http.MethodPut, io.NopCloser(strings.NewReader(strings.Repeat("x", size))), int64(size)
		resp, err := newClient().RoundTrip(r, tg.options())
		is.NoErr(err)
		body, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(body), "the first part")
	}
}
