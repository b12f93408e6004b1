package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Instrument returns a platform that forwards all calls to p, counts them by name and result, and records their latency. It
// implements Feed if p does.
func Instrument(p Platform, scope tally.Scope) Platform {
	m := &instrumentedPlatform{Platform: p, calls: map[string]callMetrics{}}
	for _, call := range []string{"get", "scan", "commit", "get_object", "put_object", "hosts", "announce", "list", "changes"} {
		m.calls[call] = newCallMetrics(scope.SubScope("store").Tagged(map[string]string{"call": call}))
	}
	if feed, ok := p.(Feed); ok {
		return &instrumentedFeed{m, feed}
	}
	return m
}

// instrumentedPlatform is a Platform whose calls are counted.
type instrumentedPlatform struct {
	Platform
	calls map[string]callMetrics
}

// instrumentedFeed is an instrumentedPlatform with a Feed.
type instrumentedFeed struct {
	*instrumentedPlatform
	feed Feed
}

var (
	_ Platform = (*instrumentedPlatform)(nil)
	_ Feed     = (*instrumentedFeed)(nil)
)

// callMetrics are the metrics of the calls with one name.
type callMetrics struct {
	results map[string]tally.Counter
	latency tally.Histogram
}

const (
	firstLatencyBucket = time.Millisecond
	latencyBuckets     = 12 // doubles from firstLatencyBucket up to 2 s
)

func newCallMetrics(scope tally.Scope) callMetrics {
	m := callMetrics{
		results: map[string]tally.Counter{},
		latency: scope.Histogram("latency", tally.MustMakeExponentialDurationBuckets(firstLatencyBucket, 2, latencyBuckets)),
	}
	for _, result := range []string{"ok", "conflict", "not_found", "history_lost", "unknown_outcome", "unavailable"} {
		m.results[result] = scope.Tagged(map[string]string{"result": result}).Counter("calls")
	}
	return m
}

// resultLabel returns the value of the metric label "result" for an error.
func resultLabel(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, ErrConflict):
		return "conflict"
	case errors.Is(err, ErrNotFound):
		return "not_found"
	case errors.Is(err, ErrHistoryLost):
		return "history_lost"
	case errors.Is(err, ErrUnknownOutcome):
		return "unknown_outcome"
	}
	return "unavailable"
}

// record counts a finished call and records the time since its start. It takes a pointer to the error because deferred calls
// evaluate their arguments before the error is set.
func (m *instrumentedPlatform) record(call string, start time.Time, err *error) {
	c := m.calls[call]
	c.results[resultLabel(*err)].Inc(1)
	c.latency.RecordDuration(time.Since(start))
}

// Get implements Table.
func (m *instrumentedPlatform) Get(ctx context.Context, key string) (row Row, err error) {
	defer m.record("get", time.Now(), &err)
	return m.Platform.Get(ctx, key)
}

// Scan implements Table.
func (m *instrumentedPlatform) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	defer m.record("scan", time.Now(), &err)
	return m.Platform.Scan(ctx, prefix, after, limit)
}

// Commit implements Table.
func (m *instrumentedPlatform) Commit(ctx context.Context, txn Txn) (err error) {
	defer m.record("commit", time.Now(), &err)
	return m.Platform.Commit(ctx, txn)
}

// GetObject implements ObjectStore.
func (m *instrumentedPlatform) GetObject(ctx context.Context, name string) (data []byte, err error) {
	defer m.record("get_object", time.Now(), &err)
	return m.Platform.GetObject(ctx, name)
}

// PutObject implements ObjectStore.
func (m *instrumentedPlatform) PutObject(ctx context.Context, name string, data []byte) (err error) {
	defer m.record("put_object", time.Now(), &err)
	return m.Platform.PutObject(ctx, name, data)
}

// Hosts implements HostList.
func (m *instrumentedPlatform) Hosts(ctx context.Context) (list []HostEntry, err error) {
	defer m.record("hosts", time.Now(), &err)
	return m.Platform.Hosts(ctx)
}

// Announce implements HostList.
func (m *instrumentedPlatform) Announce(ctx context.Context, entry HostEntry) (err error) {
	defer m.record("announce", time.Now(), &err)
	return m.Platform.Announce(ctx, entry)
}

// List implements Feed.
func (m *instrumentedFeed) List(ctx context.Context, table string) (rows []WatchedRow, version uint64, err error) {
	defer m.record("list", time.Now(), &err)
	return m.feed.List(ctx, table)
}

// Changes implements Feed. Its time includes the wait for a change.
func (m *instrumentedFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows []WatchedRow, version uint64, err error) {
	defer m.record("changes", time.Now(), &err)
	return m.feed.Changes(ctx, table, after, wait)
}
