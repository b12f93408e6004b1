package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 256 << 10
	// maxMismatched limits the responses that belong to other requests, and maxSkippedBytes the body of one.
	maxMismatched      = 4
	maxMismatchedBytes = 1 << 20
	// readBufferBytes holds the header of most responses.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	client        *Client
	address       string
	dedicated     bool
	limitedReader *io.LimitedReader
	reader        *bufio.Reader
	writer        *bufio.Writer
	// reusableUntil is until when the connection may be used again.
	reusableUntil time.Time
	// requestCount counts the requests that the connection has carried.
	requestCount int
	// stopWatching stops watching the context of the request in progress.
	stopWatching func() bool
	closed       atomic.Bool
	// writeDone is closed when the request has been written; nil while it is written by the goroutine that reads.
	writeDone chan struct{}
}

func newConn(nc net.Conn, client *Client, o Options) *conn {
	limitedReader := &io.LimitedReader{R: nc, N: math.MaxInt64}
	return &conn{
		Conn: nc, client: client, address: o.Address, dedicated: o.DedicatedConn, limitedReader: limitedReader,
		reader: bufio.NewReaderSize(limitedReader, readBufferBytes), writer: bufio.NewWriterSize(nc, writeBufferBytes),
	}
}

// watchContext closes the connection when ctx ends: most targets stop the work then.
func (c *conn) watchContext(ctx context.Context) { c.stopWatching = context.AfterFunc(ctx, c.close) }

func (c *conn) close() {
	if !c.closed.Swap(true) {
		_ = c.Conn.Close()
	}
}

// usable reports whether an idle connection can carry a request: it is open and nothing arrived on it unasked.
func (c *conn) usable() bool {
	if c.closed.Load() || c.reader.Buffered() > 0 || !time.Now().Before(c.reusableUntil) {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = rc.Read(func(fd uintptr) bool {
		// The socket does not block. A byte that is read is lost, but the connection is closed then.
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends the request and reads the header of its response.
func (c *conn) exchange(req *http.Request, o Options) (*http.Response, error) {
	if err := c.writeRequest(req); err != nil {
		return nil, err
	}
	c.requestCount++
	for range maxMismatched {
		resp, err := c.readResponse(req)
		if err != nil {
			return nil, err
		}
		if o.Matches == nil || o.Matches(resp) {
			c.reusableUntil = time.Now().Add(keepAliveTimeout(resp.Header))
			b := &responseBody{ReadCloser: resp.Body, conn: c, reusable: c.reusable(resp)}
			if resp.Body == http.NoBody {
				b.release(true)
			} else {
				resp.Body = b
			}
			return resp, nil
		}
		if !o.SkipMismatched || c.requestCount == 1 {
			// Nothing can be late on a new connection, so the right response may never come.
			return nil, errors.New("the response belongs to another request")
		}
		if err := drainMismatched(resp); err != nil {
			return nil, errors.Wrap(err, "skip the response to another request")
		}
	}
	return nil, errors.Newf("%d responses belong to other requests", maxMismatched)
}

// writeRequest writes the request. A body that is not in memory is written beside the reading, because a target may answer before
// it has read it.
func (c *conn) writeRequest(req *http.Request) error {
	c.writeDone = nil
	if req.Body == nil || req.ContentLength >= 0 && req.ContentLength <= writeBufferBytes {
		if err := req.Write(c.writer); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	done := make(chan struct{})
	c.writeDone = done
	go func() {
		defer close(done)
		err := req.Write(c.writer)
		if err == nil {
			err = c.writer.Flush()
		}
		if err != nil {
			c.close() // the target has part of the body, so nothing else can follow it
		}
	}()
	return nil
}

// readResponse returns the next final response. Its body reads from the connection.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	for {
		c.limitedReader.N = maxHeaderBytes
		resp, err := http.ReadResponse(c.reader, req)
		c.limitedReader.N = math.MaxInt64
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

// drainMismatched reads a response that belongs to another request to its end.
func drainMismatched(resp *http.Response) error {
	if resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return errors.New("it ends the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes+1))
	if err == nil && n > maxMismatchedBytes {
		return errors.Newf("it has more than %d bytes", maxMismatchedBytes)
	}
	return err
}

func (c *conn) reusable(resp *http.Response) bool {
	endsWithConnection := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
	return !c.dedicated && !resp.Close && !endsWithConnection && resp.StatusCode != http.StatusSwitchingProtocols
}

// requestWritten reports whether the whole request has been written.
func (c *conn) requestWritten() bool {
	if c.writeDone == nil {
		return true
	}
	select {
	case <-c.writeDone:
		return true
	default:
		return false
	}
}

// keepAliveTimeout returns how long a connection may be idle, from the Keep-Alive header if there is one.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, list := range h["Keep-Alive"] {
		for field := range strings.SplitSeq(list, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			seconds, err := strconv.Atoi(value)
			if !strings.EqualFold(name, "timeout") || err != nil || seconds < 0 {
				continue
			}
			stated := time.Duration(min(seconds, 3600)) * time.Second
			return min(idleTimeout, max(stated-idleMargin, stated/2))
		}
	}
	return idleTimeout
}

// responseBody returns the connection when it has been read to its end, and closes it otherwise.
type responseBody struct {
	io.ReadCloser
	conn     *conn
	reusable bool
	once     sync.Once
}

func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the exchange.
func (b *responseBody) Close() error {
	b.release(false)
	return nil
}

func (b *responseBody) release(complete bool) {
	b.once.Do(func() {
		c := b.conn
		live := c.stopWatching()
		// Bytes that are left over belong to no request, and a target that answered early still reads the old body.
		if complete && live && b.reusable && c.requestWritten() && c.reader.Buffered() == 0 {
			c.client.putIdle(c)
			return
		}
		c.close()
	})
}
