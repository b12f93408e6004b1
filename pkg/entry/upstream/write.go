package upstream

import (
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// pastDeadline makes pending and later writes time out at once.
var pastDeadline = time.Unix(1, 0)

// backgroundWrite is the writing of one request in a goroutine of its own.
type backgroundWrite struct {
	body sentBody
	// done is closed when the goroutine ends. err is its result from then on.
	done chan struct{}
	err  error
}

// startWrite writes a request to a connection. A failure resets the connection, because a partly written request makes it unusable.
func startWrite(req *http.Request, c *conn) *backgroundWrite {
	w := &backgroundWrite{body: sentBody{ReadCloser: req.Body, length: req.ContentLength}, done: make(chan struct{})}
	out := *req
	out.Body = &w.body
	go func() {
		defer close(w.done)
		w.err = out.Write(c.writer)
		if w.err == nil {
			w.err = c.writer.Flush()
		}
		if w.err != nil {
			c.reset()
		}
	}()
	return w
}

// complete reports whether the whole request has been written.
func (w *backgroundWrite) complete() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// finishWrite reports whether the whole request has been written, once nothing more can arrive from the target. A write that is in progress
// then fails, so that the wait for its result is short.
func (c *conn) finishWrite() bool {
	if c.write == nil {
		return true
	}
	if !c.write.body.read.Load() {
		return false
	}
	_ = c.SetWriteDeadline(pastDeadline) // a connection without deadlines ends its writes together with its reads
	<-c.write.done
	return c.write.err == nil
}

// sentBody is the body of a request that is being written.
type sentBody struct {
	io.ReadCloser
	// length is the length of the body, negative if it is not known.
	length int64
	count  int64
	// read is set once the whole body has been read, so that only writes to the connection remain.
	read atomic.Bool
}

func (b *sentBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.count += int64(n)
	if err == io.EOF || b.length >= 0 && b.count >= b.length {
		b.read.Store(true)
	}
	return n, err
}
