package upstream

import (
	"bufio"
	"bytes"
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

	"github.com/rattanhitch/rattanhitch/internal/httphead"
)

const (
	// maxHeaderBytes limits the header of a response, together with the informational responses before it.
	maxHeaderBytes = 64 << 10
	// maxMismatched limits the responses that are read for one request, and maxMismatchedBytes the body of each one that is
	// skipped because it belongs to another request.
	maxMismatched      = 4
	maxMismatchedBytes = 1 << 20
	// readBufferBytes is large enough for the header of most responses.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

// conn is a connection to a target. It carries one request at a time, without pipelining.
type conn struct {
	net.Conn
	client        *Client
	address       string
	dedicated     bool
	limitedReader *io.LimitedReader
	source        *source
	reader        *bufio.Reader
	writer        *bufio.Writer
	// reusableUntil is when the connection expires in the pool.
	reusableUntil time.Time
	// requestCount is the number of requests that have been sent on the connection. echoesID is set once a response on it has stated the ID
	// of its request.
	requestCount int
	echoesID     bool
	carried      carriedIDs
	// stopWatching ends watchContext. It returns false if the context has ended before.
	stopWatching func() bool
	closed       atomic.Bool
	// reserve reserves memory for the head of the present response.
	reserve func(n int64) bool
	// write is the writing of the present request in a goroutine of its own; nil if the request is written synchronously.
	write *backgroundWrite
}

func newConn(nc net.Conn, client *Client, o Options) *conn {
	limitedReader := &io.LimitedReader{R: nc, N: math.MaxInt64}
	source := &source{next: limitedReader}
	return &conn{
		Conn: nc, client: client, address: o.Address, dedicated: o.DedicatedConn || isSingleUse(nc), limitedReader: limitedReader,
		source: source, reader: bufio.NewReaderSize(source, readBufferBytes), writer: bufio.NewWriterSize(nc, writeBufferBytes),
	}
}

// singleUse is implemented by connections that must not be reused.
type singleUse interface{ SingleUse() bool }

func isSingleUse(nc net.Conn) bool {
	s, ok := nc.(singleUse)
	return ok && s.SingleUse()
}

// watchContext resets the connection when ctx ends, on which most targets abort the request.
func (c *conn) watchContext(ctx context.Context) { c.stopWatching = context.AfterFunc(ctx, c.reset) }

func (c *conn) close() {
	if !c.closed.Swap(true) {
		_ = c.Conn.Close()
	}
}

// lingerer is implemented by connections that can drop the bytes that are not delivered when they are closed.
type lingerer interface{ SetLinger(seconds int) error }

// reset ends the connection of a request that is given up. After a plain close the kernel would go on sending the request, and the target
// might run it long after its caller had the answer.
func (c *conn) reset() {
	if l, ok := c.Conn.(lingerer); ok {
		_ = l.SetLinger(0) // it fails only on a closed connection
	}
	c.close()
}

// usable reports whether an idle connection can carry another request: it is open, not expired, and no unsolicited data has
// arrived on it.
func (c *conn) usable() bool {
	if c.closed.Load() || c.buffered() > 0 || !time.Now().Before(c.reusableUntil) {
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
	noData := false
	err = rc.Read(func(fd uintptr) bool {
		// The socket is non-blocking, so EAGAIN means open and without data. A byte that is read here is lost, which is harmless
		// because the caller closes the connection then.
		var b [1]byte
		_, err := syscall.Read(int(fd), b[:])
		noData = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && noData
}

// exchange sends the request and returns the matching response once its header has arrived.
func (c *conn) exchange(req *http.Request, o Options) (*http.Response, error) {
	o.Trace.EarlierRequests = c.requestCount
	c.reserve = o.reserve
	if err := c.writeRequest(req); err != nil {
		return nil, err
	}
	c.requestCount++
	for range maxMismatched {
		resp, err := c.readResponse(req)
		if err != nil {
			return nil, err
		}
		match := o.match(resp)
		if c.isAmbiguous(match) {
			if !c.echoesID {
				return nil, errors.New("a refusal without an ID may be a copy of an earlier one")
			}
			match = MatchOther
		}
		c.echoesID = c.echoesID || match == MatchID
		if match != MatchOther {
			httphead.CheckTrailer(resp)
			c.reusableUntil = time.Now().Add(keepAliveTimeout(resp.Header))
			b := &responseBody{ReadCloser: resp.Body, conn: c, reusable: c.reusable(resp), closeDelimited: closeDelimited(resp)}
			if resp.Body == http.NoBody {
				b.release(true)
			} else {
				resp.Body = b
			}
			return resp, nil
		}
		o.Trace.Skipped++
		if !o.SkipMismatched || c.requestCount == 1 {
			// On a new connection there is no duplicate of an earlier response, so the right response may never follow.
			return nil, errors.New("the response belongs to another request")
		}
		if err := drainMismatched(resp); err != nil {
			return nil, errors.Wrap(err, "skip the response to another request")
		}
	}
	return nil, errors.Newf("%d responses belong to other requests", maxMismatched)
}

// isAmbiguous reports whether a response without an ID may be a late copy of an earlier response on the connection: a target that has
// stated IDs on it goes on doing so, and a refusal that could belong to either request must not be believed.
func (c *conn) isAmbiguous(m Match) bool {
	return c.requestCount > 1 && (m == MatchNoIDNotRun || m == MatchNoID && c.echoesID)
}

// writeRequest writes the request. A request with a body that is larger than the write buffer or of unknown length is written in
// a goroutine, because a target may respond before it has read the body.
func (c *conn) writeRequest(req *http.Request) error {
	c.write = nil
	if req.Body == nil || req.ContentLength >= 0 && req.ContentLength <= writeBufferBytes {
		if err := req.Write(c.writer); err != nil {
			return err
		}
		return c.writer.Flush()
	}
	c.write = startWrite(req, c)
	return nil
}

// readResponse returns the next response after skipping informational (1xx) ones. Its body reads from the connection.
func (c *conn) readResponse(req *http.Request) (*http.Response, error) {
	c.limitedReader.N = maxHeaderBytes
	defer func() { c.limitedReader.N = math.MaxInt64 }()
	for {
		head, err := c.awaitHead()
		if err != nil {
			return nil, err
		}
		if err := httphead.Check(head); err != nil {
			return nil, errors.Wrap(err, "check the head of the response")
		}
		if !c.reserve(httphead.Memory(len(head), bytes.Count(head, []byte("\n")))) {
			return nil, errNoMemory
		}
		resp, err := http.ReadResponse(c.reader, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// drainMismatched reads the body of a response that belongs to another request. It returns an error if the connection cannot
// carry a further response, or if the body has more than maxMismatchedBytes.
func drainMismatched(resp *http.Response) error {
	if resp.Close || closeDelimited(resp) {
		return errors.New("it ends the connection")
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBytes+1))
	if err == nil && n > maxMismatchedBytes {
		return errors.Newf("it has more than %d bytes", maxMismatchedBytes)
	}
	return err
}

// closeDelimited reports whether the body of the response ends with the connection.
func closeDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// reusable reports whether the connection can carry another request after the response.
func (c *conn) reusable(resp *http.Response) bool {
	return !c.dedicated && !c.carried.full() && !resp.Close && !closeDelimited(resp)
}

// requestWritten reports whether the whole request has been written.
func (c *conn) requestWritten() bool { return c.write == nil || c.write.complete() }

// keepAliveTimeout returns how long a connection may be kept idle: idleTimeout, or less if the target's Keep-Alive header states
// a short timeout.
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

// responseBody is the body of a response. It returns the connection to the pool when the body has been read to its end, and
// resets the connection otherwise.
type responseBody struct {
	io.ReadCloser
	conn     *conn
	reusable bool
	// closeDelimited is set for a body that ends with the connection.
	closeDelimited bool
	once           sync.Once
}

// Read reads the body. The end of a connection is the end of a body only if the request was written as a whole: the kernel tells a reset
// once, and if the writer of the request learns of it, the reader sees a plain end.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) && b.closeDelimited && !b.conn.finishWrite() {
		err = errors.Wrap(io.ErrUnexpectedEOF, "the connection ended before the request was written")
	}
	if err != nil {
		b.release(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close closes the connection unless the body has been read to its end. It always returns nil.
func (b *responseBody) Close() error {
	b.release(false)
	return nil
}

// release returns the connection to the pool if the body is complete and the connection can be reused, and closes the connection
// otherwise, with a reset if the body is not complete. Only the first call has an effect.
func (b *responseBody) release(complete bool) {
	b.once.Do(func() {
		c := b.conn
		live := c.stopWatching()
		// Bytes left in the buffer belong to no request. If the request is not fully written, the target has responded early and
		// would take the next request for the rest of the body.
		if complete && live && b.reusable && c.requestWritten() && c.buffered() == 0 {
			c.client.putIdle(c)
			return
		}
		if complete {
			c.close()
			return
		}
		c.reset()
	})
}
