package entry

import "sync/atomic"

// readAhead limits the memory for bodies of responses that are read before they are sent to callers, for all requests of this host together. A
// limit for each request does not bound their sum: targets may send without end to as many requests as they have slots.
type readAhead struct{ free atomic.Int64 }

func newReadAhead(limit int64) *readAhead {
	r := &readAhead{}
	r.free.Store(limit)
	return r
}

// reservation is the part of a readAhead that belongs to one response. Only one goroutine may use it at a time.
type reservation struct {
	from  *readAhead
	bytes int64
}

// grow reserves n more bytes and reports whether there were as many.
func (r *reservation) grow(n int) bool {
	if r.from.free.Add(-int64(n)) < 0 {
		r.from.free.Add(int64(n))
		return false
	}
	r.bytes += int64(n)
	return true
}

// release returns all reserved bytes. Further calls do nothing.
func (r *reservation) release() {
	if r.bytes > 0 {
		r.from.free.Add(r.bytes)
		r.bytes = 0
	}
}
