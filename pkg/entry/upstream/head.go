package upstream

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/httphead"
)

// errNoMemory means that there is no memory for the head of a response.
var errNoMemory = errors.New("no memory for the head of the response")

// source is what the reader of a connection reads from: bytes that were read ahead, and then the connection.
type source struct {
	pending []byte
	next    io.Reader
}

func (s *source) Read(p []byte) (int, error) {
	if len(s.pending) == 0 {
		return s.next.Read(p)
	}
	n := copy(p, s.pending)
	s.pending = s.pending[n:]
	if len(s.pending) == 0 {
		s.pending = nil
	}
	return n, nil
}

// buffered returns the number of bytes that have been read from the connection and belong to no response yet.
func (c *conn) buffered() int { return c.reader.Buffered() + len(c.source.pending) }

// awaitHead reads the head of the next response and returns it. The reader still delivers it.
func (c *conn) awaitHead() ([]byte, error) {
	for searched := 0; ; {
		data, _ := c.reader.Peek(c.reader.Buffered())
		if n := httphead.End(data, searched); n > 0 {
			return data[:n], nil
		}
		searched = len(data)
		if searched == c.reader.Size() {
			return c.awaitLongHead()
		}
		if _, err := c.reader.Peek(searched + 1); err != nil {
			return nil, headError(err)
		}
	}
}

// awaitLongHead reads a head that is longer than the buffer of the reader.
func (c *conn) awaitLongHead() ([]byte, error) {
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	data := bytes.Clone(buffered)
	_, _ = c.reader.Discard(len(data))
	for {
		if !c.reserve(readBufferBytes) {
			return nil, errNoMemory
		}
		searched := len(data)
		data = append(data, make([]byte, readBufferBytes)...)
		n, err := c.source.Read(data[searched:])
		data = data[:searched+n]
		if end := httphead.End(data, searched); end > 0 {
			c.source.pending = append(data, c.source.pending...)
			c.reader.Reset(c.source)
			return data[:end], nil
		}
		if err != nil {
			return nil, headError(err)
		}
	}
}

// headError returns the error of a head that broke off with err.
func headError(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
