package quota

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against reservations that exceed the quota together, or that are not returned as they were taken.
func TestReservationsStayWithinTheQuota(t *testing.T) {
	is := is.New(t)
	q := New(100)
	a, b := Reservation{From: q}, Reservation{From: q}
	is.True(a.Grow(60))
	is.True(!b.Grow(41))
	is.True(b.Grow(40))
	is.Equal(q.Free(), int64(0))
	a.ShrinkTo(70) // holds less
	a.ShrinkTo(10)
	is.Equal(a.Held(), int64(10))
	is.Equal(q.Free(), int64(50))
	a.Release()
	a.Release()
	b.Release()
	is.Equal(q.Free(), int64(100))
	(&Reservation{}).Release() // of nothing
}

// Guards against a quota that loses or gains bytes when many goroutines use it.
func TestQuotaIsExactUnderConcurrency(t *testing.T) {
	is := is.New(t)
	q := New(1000)
	var users sync.WaitGroup
	for i := range int64(8) {
		users.Go(func() {
			for range 1000 {
				r := Reservation{From: q}
				r.Grow(100 + i)
				r.Grow(50)
				r.Release()
			}
		})
	}
	users.Wait()
	is.Equal(q.Free(), int64(1000))
}
