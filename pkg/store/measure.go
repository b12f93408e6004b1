package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// Instrument returns a platform that counts its calls by name and result, and measures their time. It provides a Feed if p does.
func Instrument(p Platform, scope tally.Scope) Platform {
	m := &measured{Platform: p, calls: map[string]callMetrics{}}
	for _, call := range []string{"get", "scan", "commit", "get_object", "put_object", "hosts", "announce", "list", "changes"} {
		m.calls[call] = newCallMetrics(scope.SubScope("store").Tagged(map[string]string{"call": call}))
	}
	if feed, ok := p.(Feed); ok {
		return &measuredFeed{m, feed}
	}
	return m
}

// measured implements Platform.
type measured struct {
	Platform
	calls map[string]callMetrics
}

type measuredFeed struct {
	*measured
	feed Feed
}

var (
	_ Platform = (*measured)(nil)
	_ Feed     = (*measuredFeed)(nil)
)

// callMetrics count the calls of one name by result.
type callMetrics struct {
	results map[string]tally.Counter
	latency tally.Histogram
}

const (
	firstLatencyBucket = time.Millisecond
	latencyBuckets     = 12 // up to 2 s
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

func resultOf(err error) string {
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

// end counts a call that began at a moment.
func (m *measured) end(call string, began time.Time, err *error) {
	c := m.calls[call]
	c.results[resultOf(*err)].Inc(1)
	c.latency.RecordDuration(time.Since(began))
}

// Get implements Table.
func (m *measured) Get(ctx context.Context, key string) (row Row, err error) {
	defer m.end("get", time.Now(), &err)
	return m.Platform.Get(ctx, key)
}

// Scan implements Table.
func (m *measured) Scan(ctx context.Context, prefix, after string, limit int) (rows []Row, err error) {
	defer m.end("scan", time.Now(), &err)
	return m.Platform.Scan(ctx, prefix, after, limit)
}

// Commit implements Table.
func (m *measured) Commit(ctx context.Context, txn Txn) (err error) {
	defer m.end("commit", time.Now(), &err)
	return m.Platform.Commit(ctx, txn)
}

// GetObject implements ObjectStore.
func (m *measured) GetObject(ctx context.Context, name string) (data []byte, err error) {
	defer m.end("get_object", time.Now(), &err)
	return m.Platform.GetObject(ctx, name)
}

// PutObject implements ObjectStore.
func (m *measured) PutObject(ctx context.Context, name string, data []byte) (err error) {
	defer m.end("put_object", time.Now(), &err)
	return m.Platform.PutObject(ctx, name, data)
}

// Hosts implements HostList.
func (m *measured) Hosts(ctx context.Context) (list []HostEntry, err error) {
	defer m.end("hosts", time.Now(), &err)
	return m.Platform.Hosts(ctx)
}

// Announce implements HostList.
func (m *measured) Announce(ctx context.Context, entry HostEntry) (err error) {
	defer m.end("announce", time.Now(), &err)
	return m.Platform.Announce(ctx, entry)
}

// List implements Feed.
func (m *measuredFeed) List(ctx context.Context, table string) (rows []WatchedRow, version uint64, err error) {
	defer m.end("list", time.Now(), &err)
	return m.feed.List(ctx, table)
}

// Changes implements Feed. Its time includes the wait for a change.
func (m *measuredFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (rows []WatchedRow, version uint64, err error) {
	defer m.end("changes", time.Now(), &err)
	return m.feed.Changes(ctx, table, after, wait)
}
