package memory

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// createTxn returns a transaction that creates a row and fails if the row exists.
func createTxn(key string) store.Txn {
	return store.Txn{
		Conditions: []store.Condition{{Key: key}},
		Writes:     []store.Write{{Key: key, Value: []byte("v")}},
	}
}

// Guards against a fault injection that does not inject late writes and delays, on which other tests rely.
func TestWriteFaults(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		p := New()
		p.SetFaults(Faults{LateWrites: 1, LateBy: time.Minute})
		is.True(errors.Is(p.Commit(t.Context(), createTxn("late")), store.ErrUnknownOutcome))
		_, err := p.Get(t.Context(), "late")
		is.True(errors.Is(err, store.ErrNotFound)) // the write is still delayed
		time.Sleep(time.Minute + time.Second)
		_, err = p.Get(t.Context(), "late")
		is.NoErr(err)

		p.SetFaults(Faults{Delay: 10 * time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(p.Commit(ctx, createTxn("slow")), store.ErrUnknownOutcome))
		p.SetFaults(Faults{})
		time.Sleep(10 * time.Second)
		_, err = p.Get(t.Context(), "slow")
		is.NoErr(err) // a write that was sent takes effect after its caller's context has ended
	})
}

// Guards against faults of one client that affect another client, and against a host list without the configured lag.
func TestClientFaultsAndHostListLag(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		p := New()
		a, b := p.Client(), p.Client()
		a.SetFaults(Faults{Outage: true})
		is.True(errors.Is(a.Commit(t.Context(), createTxn("k")), store.ErrUnavailable))
		is.NoErr(b.Commit(t.Context(), createTxn("k")))
		p.SetFaults(Faults{HostListLag: time.Minute})
		is.NoErr(b.Announce(t.Context(), store.HostEntry{Host: "h"}))
		hosts, err := b.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(len(hosts), 0)
		time.Sleep(time.Minute)
		hosts, err = b.Hosts(t.Context())
		is.NoErr(err)
		is.Equal(len(hosts), 1)
	})
}
