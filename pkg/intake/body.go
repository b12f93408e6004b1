package intake

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/quota"
)

const (
	// copiesOfBody is how much of a body its handler holds at most, as a multiple of what has arrived: a buffer that doubles, and the message in it.
	copiesOfBody = 3
	// freeBody is the part of a body in bytes that needs no reservation.
	freeBody = 8 << 10
)

var errNoBodyMemory = errors.New("no memory for the body of the request")

// LimitBodies returns a handler whose requests reserve the memory for their bodies while these are read. It is for handlers that read bodies into
// memory as a whole. Without memory a request is refused, or its read fails, and the request without progress that has stood still for the longest time is given up.
func (b *Budget) LimitBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := &limitedBody{ReadCloser: r.Body, conn: FromContext(r.Context()), reserved: quota.Reservation{From: b.Bodies}}
		defer body.reserved.Release()
		if r.ContentLength > 0 && !body.reserve(r.ContentLength) { // a handler may make its buffer before it reads
			w.Header().Set("Connection", "close")
			http.Error(w, errNoBodyMemory.Error(), http.StatusServiceUnavailable)
			return
		}
		r.Body = body
		next.ServeHTTP(w, r)
	})
}

// limitedBody is the body of a request that is read into memory.
type limitedBody struct {
	io.ReadCloser
	conn     *Conn
	reserved quota.Reservation
	read     int64
}

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if !b.reserve(b.read) {
		return 0, errNoBodyMemory
	}
	return n, err
}

// reserve reserves the memory for a body of the given size and reports whether there is any. Without, it makes room for others.
func (b *limitedBody) reserve(size int64) bool {
	missing := copiesOfBody*(size-freeBody) - b.reserved.Held()
	if missing <= 0 || b.reserved.Grow(missing) {
		return true
	}
	b.conn.Reclaim()
	return false
}
