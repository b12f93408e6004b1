package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

func equal(a, b []byte) bool { return string(a) == string(b) }

func put(key, value string, version uint64) store.WatchedRow {
	return store.WatchedRow{Key: key, Value: []byte(value), Version: version}
}

func keys(t *Table, now time.Time) map[string]string {
	rows, _, _ := t.Rows(now)
	list := map[string]string{}
	for key, r := range rows {
		list[key] = string(r.Value)
	}
	return list
}

// Guards against news that arrives late, for example from a peer that read earlier, and takes the place of newer news.
func TestOlderNewsIsKeptOut(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "new", 7)}, version: 7}, now)
	is.Equal(len(table.merge(update{rows: []store.WatchedRow{put("a", "old", 5)}, version: 5}, now)), 0)
	is.Equal(keys(table, now), map[string]string{"a": "new"})
	is.Equal(table.position(), uint64(7))

	table.merge(update{rows: []store.WatchedRow{{Key: "a", Version: 9, Deleted: true}}, version: 9}, now)
	table.merge(update{rows: []store.WatchedRow{put("a", "again", 8)}, version: 8}, now)
	is.Equal(keys(table, now), map[string]string{}) // a deleted row does not come back by older news
}

// Guards against rows that were deleted while the history was lost: a list of the whole table is the only sign.
func TestListDeletesWhatItLacks(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 1), put("b", "1", 2)}, version: 2}, now)
	changed := table.merge(update{full: true, rows: []store.WatchedRow{put("b", "1", 2)}, version: 6}, now)
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted)
	is.Equal(keys(table, now), map[string]string{"b": "1"})
}

// Guards against all targets being dropped when their entries lapsed during an outage: those that are alive are back within
// lapseGrace, one that is still missing then is gone.
func TestLapsedRowsStayForAWhileAfterAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 1), put("b", "1", 2)}, version: 2}, now)
	deleted := []store.WatchedRow{{Key: "a", Version: 3, Deleted: true}, {Key: "b", Version: 4, Deleted: true}}
	table.merge(update{rows: deleted, version: 4, returned: time.Millisecond}, now)
	is.Equal(len(keys(table, now)), 2)
	_, next, _ := table.Rows(now)
	is.True(next.After(now) && !next.After(now.Add(lapseGrace)))
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 5)}, version: 5}, now.Add(time.Second))
	is.Equal(keys(table, now.Add(lapseGrace)), map[string]string{"a": "1"})

	// Without an outage a row that is deleted is gone at once.
	later := now.Add(time.Minute)
	table.merge(update{rows: []store.WatchedRow{{Key: "a", Version: 8, Deleted: true}}, version: 8}, later)
	is.Equal(keys(table, later), map[string]string{})
}

// Guards against a change for each heartbeat of each row.
func TestHeartbeatsAreNoChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", func(a, b []byte) bool { return a[0] == b[0] })
	table.merge(update{rows: []store.WatchedRow{put("a", "x1", 1)}, version: 1}, now)
	changed := table.Changed()
	is.Equal(len(table.merge(update{rows: []store.WatchedRow{put("a", "x2", 2)}, version: 2}, now)), 0)
	select {
	case <-changed:
		t.Fatal("a heartbeat counts as a change")
	default:
	}
	is.Equal(len(table.merge(update{rows: []store.WatchedRow{put("a", "y2", 3)}, version: 3}, now)), 1)
	<-changed
}

// Guards against a host that stays without a configuration until the next change: peers tell it all rows while it starts, so that
// its first read of the table, from which on the rows count, changes none of them. After the loss of all hosts of deltafry-hitch two
// of twenty refused all requests for 19 s, and no other host took over the service that they dispatched.
func TestFirstReadIsAChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "told", 7)}}, now)
	_, _, loaded := table.Rows(now)
	is.True(!loaded)
	changed := table.Changed()
	table.merge(update{rows: []store.WatchedRow{put("a", "told", 7)}, version: 7, full: true}, now)
	_, _, loaded = table.Rows(now)
	is.True(loaded)
	select {
	case <-changed:
	default:
		t.Fatal("nobody was told that the table is loaded")
	}
	changed = table.Changed()
	table.merge(update{rows: []store.WatchedRow{put("a", "told", 7)}, version: 8, full: true}, now)
	select {
	case <-changed:
		t.Fatal("a read without news counts as a change")
	default:
	}
}
