// Package quota limits what all users of a resource hold together. A limit for each user does not bound their sum.
package quota

import "sync/atomic"

// Quota is an amount, mostly of bytes, of which parts can be reserved.
type Quota struct{ free atomic.Int64 }

// New returns a quota of which nothing is reserved.
func New(limit int64) *Quota {
	q := &Quota{}
	q.free.Store(limit)
	return q
}

// Free returns what is not reserved.
func (q *Quota) Free() int64 { return q.free.Load() }

// Reservation is the part of a quota that belongs to one user. The zero value holds nothing; From must be set before Grow. Only one goroutine may use
// it at a time.
type Reservation struct {
	From *Quota
	held int64
}

// Held returns what is reserved.
func (r *Reservation) Held() int64 { return r.held }

// Grow reserves n more and reports whether there was as much.
func (r *Reservation) Grow(n int64) bool {
	if r.From.free.Add(-n) < 0 {
		r.From.free.Add(n)
		return false
	}
	r.held += n
	return true
}

// ShrinkTo returns what is reserved beyond n.
func (r *Reservation) ShrinkTo(n int64) {
	if r.held > n {
		r.From.free.Add(r.held - n)
		r.held = n
	}
}

// Release returns all that is reserved. Further calls do nothing.
func (r *Reservation) Release() { r.ShrinkTo(0) }
