// Package memory is an in-memory platform with fault injection, for tests and for the stand-in program.
package memory

import (
	"context"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Platform is an in-memory store.Platform.
type Platform struct {
	data *data
	// parent is the platform of which this is a client, or nil. Its faults also apply.
	parent *Platform

	faultsMu sync.Mutex
	faults   Faults
}

var _ store.Platform = (*Platform)(nil)

// The driver "memory" returns a new platform for each call of Open, so it suits only a daemon that runs alone.
func init() {
	store.RegisterDriver("memory", func(string) (store.Platform, error) { return New(), nil })
}

// New returns an empty platform.
func New() *Platform { return &Platform{data: newData()} }

// Client returns a client of the same platform whose own faults are injected in addition to those of p.
func (p *Platform) Client() *Platform { return &Platform{data: p.data, parent: p} }

// Stats returns the number of calls that reached the platform.
func (p *Platform) Stats() Stats {
	p.data.mu.Lock()
	defer p.data.mu.Unlock()
	return p.data.stats
}

// Get returns a row.
func (p *Platform) Get(ctx context.Context, key string) (store.Row, error) {
	return read(ctx, p, func() (store.Row, error) { return p.data.get(key) })
}

// Scan returns rows in key order.
func (p *Platform) Scan(ctx context.Context, prefix, after string, limit int) ([]store.Row, error) {
	return read(ctx, p, func() ([]store.Row, error) { return p.data.scan(prefix, after, limit), nil })
}

// Commit applies a transaction.
func (p *Platform) Commit(ctx context.Context, txn store.Txn) error {
	return p.write(ctx, func() error { return p.data.commit(txn) })
}

// GetObject returns an object.
func (p *Platform) GetObject(ctx context.Context, name string) ([]byte, error) {
	return read(ctx, p, func() ([]byte, error) { return p.data.getObject(name) })
}

// PutObject stores an object.
func (p *Platform) PutObject(ctx context.Context, name string, value []byte) error {
	return p.write(ctx, func() error { p.data.putObject(name, value); return nil })
}

// DeleteObject removes an object; it is not an error if there is none.
func (p *Platform) DeleteObject(ctx context.Context, name string) error {
	return p.write(ctx, func() error { p.data.deleteObject(name); return nil })
}

// Hosts returns the host list as it was HostListLag ago.
func (p *Platform) Hosts(ctx context.Context) ([]store.HostEntry, error) {
	return read(ctx, p, func() ([]store.HostEntry, error) {
		return p.data.hostsAt(time.Now().Add(-p.hostListLag())), nil
	})
}

// Announce adds or refreshes an entry of the host list. It never returns store.ErrUnknownOutcome, because repeating it is safe.
func (p *Platform) Announce(ctx context.Context, entry store.HostEntry) error {
	_, err := read(ctx, p, func() (struct{}, error) {
		p.data.announce(entry, time.Now())
		return struct{}{}, nil
	})
	return err
}

func (p *Platform) hostListLag() time.Duration {
	lag := time.Duration(0)
	for q := p; q != nil; q = q.parent {
		lag = max(lag, q.Faults().HostListLag)
	}
	return lag
}

// read runs a read or an idempotent call with the injected faults. A call whose context ends fails with store.ErrUnavailable.
func read[T any](ctx context.Context, p *Platform, do func() (T, error)) (T, error) {
	var zero T
	faults := p.planFaults(false)
	if faults.outage || !sleep.For(ctx, faults.delay/2) {
		return zero, store.ErrUnavailable
	}
	p.data.countCall(false)
	value, err := do()
	if !sleep.For(ctx, faults.delay/2) {
		return zero, store.ErrUnavailable
	}
	return value, err
}

// write runs a write with the injected faults. A write that has been sent takes effect even if the caller's context ends, in
// which case the result is store.ErrUnknownOutcome.
func (p *Platform) write(ctx context.Context, do func() error) error {
	faults := p.planFaults(true)
	if faults.outage || ctx.Err() != nil {
		return store.ErrUnavailable
	}
	p.data.countCall(true)
	if faults.write == writeLate {
		time.AfterFunc(faults.lateBy, func() { _ = do() })
		return store.ErrUnknownOutcome
	}
	if faults.delay == 0 {
		return writeResult(faults, do())
	}
	done := make(chan error, 1)
	time.AfterFunc(faults.delay/2, func() { done <- do() })
	if !sleep.For(ctx, faults.delay) {
		return store.ErrUnknownOutcome
	}
	return writeResult(faults, <-done)
}

// writeResult returns the result of a write, or store.ErrUnknownOutcome if its response is lost.
func writeResult(faults faultPlan, err error) error {
	if faults.write == writeResponseLost {
		return store.ErrUnknownOutcome
	}
	return err
}
