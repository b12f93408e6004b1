package store_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/store"
	"github.com/rattanhitch/rattanhitch/pkg/store/memory"
)

// failingPlatform is a platform without a Feed whose commits fail with ErrUnknownOutcome.
type failingPlatform struct{ store.Platform }

func (failingPlatform) Commit(context.Context, store.Txn) error { return store.ErrUnknownOutcome }

// failingFeed adds a Feed whose Changes fails with ErrHistoryLost.
type failingFeed struct{ failingPlatform }

func (failingFeed) List(context.Context, string) ([]store.WatchedRow, uint64, error) {
	return nil, 3, nil
}

func (failingFeed) Changes(context.Context, string, uint64, time.Duration) ([]store.WatchedRow, uint64, error) {
	return nil, 0, store.ErrHistoryLost
}

// Guards against platform calls that are missing from the metrics or counted under the wrong name or result, and against an
// instrumented platform that no longer implements Feed although the original does.
func TestCallsAreCounted(t *testing.T) {
	is := is.New(t)
	scope := tally.NewTestScope("", nil)
	p := store.Instrument(failingFeed{failingPlatform{memory.New()}}, scope)
	ctx := context.Background()
	_, err := p.Get(ctx, "none")
	is.True(err != nil)
	is.True(p.Commit(ctx, store.Txn{}) != nil)
	f, ok := p.(store.Feed)
	is.True(ok)
	_, version, err := f.List(ctx, "t")
	is.NoErr(err)
	is.Equal(version, uint64(3))
	_, _, err = f.Changes(ctx, "t", 3, 0)
	is.True(err != nil)
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		if c.Value() > 0 {
			counts[strings.Join([]string{c.Name(), c.Tags()["call"], c.Tags()["result"]}, " ")] = c.Value()
		}
	}
	is.Equal(counts, map[string]int64{
		"store.calls get not_found": 1, "store.calls commit unknown_outcome": 1, "store.calls list ok": 1,
		"store.calls changes history_lost": 1,
	})
	_, ok = store.Instrument(failingPlatform{memory.New()}, tally.NoopScope).(store.Feed)
	is.True(!ok)
}
