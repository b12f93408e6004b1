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

// values returns the values of the rows of a table by key.
func values(t *Table, now time.Time) map[string]string {
	rows, _, _ := t.Rows(now)
	list := map[string]string{}
	for key, r := range rows {
		list[key] = string(r.Value)
	}
	return list
}

// Guards against an older version of a row, for example from a peer that read earlier, that arrives late and replaces a
// newer one.
func TestOlderVersionsAreIgnored(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "new", 7)}, version: 7}, now)
	is.Equal(len(table.merge(update{rows: []store.WatchedRow{put("a", "old", 5)}, version: 5}, now)), 0)
	is.Equal(values(table, now), map[string]string{"a": "new"})
	is.Equal(table.position(), uint64(7))

	table.merge(update{rows: []store.WatchedRow{{Key: "a", Version: 9, Deleted: true}}, version: 9}, now)
	table.merge(update{rows: []store.WatchedRow{put("a", "again", 8)}, version: 8}, now)
	is.Equal(values(table, now), map[string]string{}) // an older version does not restore a deleted row
}

// Guards against rows that stay after they were deleted while the history was lost: only a full list shows that they are
// missing.
func TestFullListDeletesMissingRows(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 1), put("b", "1", 2)}, version: 2}, now)
	changed := table.merge(update{full: true, rows: []store.WatchedRow{put("b", "1", 2)}, version: 6}, now)
	is.Equal(len(changed), 1)
	is.True(changed[0].Deleted)
	is.Equal(values(table, now), map[string]string{"b": "1"})
}

// Guards against a deletion that is in force before the rows of another table as of that moment are known, and against one that waits for a
// table which cannot be read, or that makes a row present that never was.
func TestDeletionsWaitForAnotherTable(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other, table := newTable("other", equal), newTable("t", equal)
	table.deleteAfter = other
	other.merge(update{rows: []store.WatchedRow{put("x", "1", 1)}, version: 1}, now)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 2), put("b", "1", 3)}, version: 3}, now)
	deleted := func(key string, version uint64) {
		table.merge(update{rows: []store.WatchedRow{{Key: key, Version: version, Deleted: true}}, version: version}, now)
	}
	deleted("a", 5)
	deleted("never present", 6)
	is.Equal(values(table, now), map[string]string{"a": "1", "b": "1"})
	_, next, _ := table.Rows(now)
	is.Equal(next, now.Add(deletionRecheck))
	other.merge(update{version: 4}, now)
	is.Equal(len(values(table, now)), 2)
	other.merge(update{version: 7}, now)
	is.Equal(values(table, now), map[string]string{"b": "1"})
	deleted("b", 9)
	is.Equal(values(table, now.Add(maxDeletionDelay-1)), map[string]string{"b": "1"})
	is.Equal(len(values(table, now.Add(maxDeletionDelay))), 0)
}

// Guards against dropping all targets when their entries expired during an outage of the platform. Live targets are back
// within expiryGrace; one that is still missing then is gone.
func TestExpiredRowsHaveAGracePeriodAfterAnOutage(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 1), put("b", "1", 2)}, version: 2}, now)
	deleted := []store.WatchedRow{{Key: "a", Version: 3, Deleted: true}, {Key: "b", Version: 4, Deleted: true}}
	table.merge(update{rows: deleted, version: 4, sinceRecovery: time.Millisecond}, now)
	is.Equal(len(values(table, now)), 2)
	_, next, _ := table.Rows(now)
	is.True(next.After(now) && !next.After(now.Add(expiryGrace)))
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 5)}, version: 5}, now.Add(time.Second))
	is.Equal(values(table, now.Add(expiryGrace)), map[string]string{"a": "1"})

	// Without an outage, a deleted row disappears immediately.
	later := now.Add(time.Minute)
	table.merge(update{rows: []store.WatchedRow{{Key: "a", Version: 8, Deleted: true}}, version: 8}, later)
	is.Equal(values(table, later), map[string]string{})
}

// Guards against a host that keeps deleted rows for good after it was paused or cut off for longer than tombstones are kept: its
// evacuated zone stays evacuated, or targets that are gone stay in use.
func TestDeletionsReachHostsThatWereAwayLong(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, away := newTable("t", equal), newTable("t", equal)
	rows := update{rows: []store.WatchedRow{put("a", "1", 1), put("b", "1", 2)}, version: 2, full: true}
	reader.merge(rows, now)
	away.merge(rows, now)
	reader.merge(update{rows: []store.WatchedRow{{Key: "a", Version: 3, Deleted: true}}, version: 3}, now)
	later := now.Add(2 * tombstoneRetention)
	reader.merge(update{rows: []store.WatchedRow{put("c", "1", 4)}, version: 4}, later)
	away.merge(decodeUpdate(reader.rowsSince(away.position(), false, later), "h1", away.position()), later)
	if _, kept := values(away, later)["a"]; kept {
		is.Equal(away.position(), uint64(2)) // the next read of the platform tells the deletion
	}
	is.Equal(values(away, later)["c"], "1") // until then the host has at least the newer rows
	fresh := newTable("t", equal)
	fresh.merge(decodeUpdate(reader.rowsSince(0, false, later), "h1", 0), later)
	is.Equal(fresh.position(), uint64(4)) // a host without rows needs no deletions
}

// Guards against signalling a change for each heartbeat that updates a row.
func TestHeartbeatsAreNoChange(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", func(a, b []byte) bool { return a[0] == b[0] })
	table.merge(update{rows: []store.WatchedRow{put("a", "x1", 1)}, version: 1}, now)
	changed := table.Changed()
	is.Equal(len(table.merge(update{rows: []store.WatchedRow{put("a", "x2", 2)}, version: 2}, now)), 0)
	select {
	case <-changed:
		t.Fatal("an equivalent value closed the channel of Changed")
	default:
	}
	is.Equal(len(table.merge(update{rows: []store.WatchedRow{put("a", "y2", 3)}, version: 3}, now)), 1)
	<-changed
}

// Guards against a reader whose link and processor are used up by heartbeats: hosts poll it for changes several times a second, and
// heartbeats update most rows between two polls.
func TestHeartbeatsAreNotSentToOtherHosts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", func(a, b []byte) bool { return a[0] == b[0] })
	table.merge(update{rows: []store.WatchedRow{put("a", "x1", 1), put("b", "x1", 2)}, version: 2}, now)
	table.merge(update{rows: []store.WatchedRow{put("a", "x2", 3), put("b", "x2", 4)}, version: 4}, now)
	m := table.rowsSince(2, false, now)
	is.Equal(m.GetVersion(), uint64(4))
	is.Equal(len(m.GetRows()), 0)

	table.merge(update{rows: []store.WatchedRow{put("a", "y3", 5), put("b", "x3", 6)}, version: 6}, now)
	m = table.rowsSince(4, false, now)
	is.Equal(len(m.GetRows()), 1)
	is.Equal(m.GetRows()[0].GetKey(), "a")
	is.Equal(len(table.rowsSince(0, false, now).GetRows()), 2) // a host without a copy gets all rows
}

// Guards against a change that a host takes for a heartbeat because it has not received the rows between its copy and the change:
// here a target that becomes cold again while it is still cold.
func TestChangesSentByHostsCount(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	notRising := func(a, b []byte) bool { return b[0] <= a[0] }
	reader, other := newTable("t", notRising), newTable("t", notRising)
	step := func(value string, version uint64) {
		reader.merge(update{rows: []store.WatchedRow{put("a", value, version)}, version: version}, now)
	}
	step("3 at 0", 1)
	other.merge(decodeUpdate(reader.rowsSince(0, false, now), "h1", 0), now)
	step("1 at 2", 2)
	step("3 at 3", 3)
	changed := other.Changed()
	other.merge(decodeUpdate(reader.rowsSince(1, false, now), "h1", 1), now)
	select {
	case <-changed:
	default:
		t.Fatal("the change was taken for a heartbeat")
	}
	is.Equal(values(other, now), map[string]string{"a": "3 at 3"})
}

// Guards against a late or outdated row whose way to this host cannot be told from the log.
func TestRowsNameTheHostThatSentThem(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 1)}, version: 1}, now)
	table.merge(update{rows: []store.WatchedRow{put("b", "1", 2)}, from: "h2"}, now)
	rows, _, _ := table.Rows(now)
	is.Equal(rows["a"].From, "")
	is.Equal(rows["b"].From, "h2")
}

// Guards against a host that has no configuration until the next change. If peers push all rows while the host starts, its
// first read completes the table but changes no row. After the loss of all hosts of deltafry-hitch, two of twenty hosts
// refused all requests for 19 s for this reason, and no other host took over the service that they dispatched.
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
		t.Fatal("the first read of the table did not close the channel of Changed")
	}
	changed = table.Changed()
	table.merge(update{rows: []store.WatchedRow{put("a", "told", 7)}, version: 8, full: true}, now)
	select {
	case <-changed:
		t.Fatal("a read without changed rows closed the channel of Changed")
	default:
	}
}

// Guards against state that goes back when the platform is restored from a copy some seconds old: rows that are missing in it, older in
// it or deleted since. Their writers write them again; what they have not written again after the grace period is as the copy says.
func TestRestoredCopyDoesNotTakeStateBack(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	table := newTable("t", equal)
	table.merge(update{full: true, version: 3, rows: []store.WatchedRow{
		put("added", "1", 2), put("changed", "2", 3), put("deleted", "1", 1), put("kept", "1", 1),
	}}, now)
	table.merge(update{version: 4, rows: []store.WatchedRow{{Key: "deleted", Version: 4, Deleted: true}}}, now)
	want := map[string]string{"added": "1", "changed": "2", "kept": "1"}

	const era = 1 << 40
	restored := update{full: true, restored: true, version: era + 2, sinceRecovery: time.Millisecond, rows: []store.WatchedRow{
		put("changed", "1", era+1), put("deleted", "1", era+1), put("kept", "1", era+1),
	}}
	is.Equal(len(table.merge(restored, now)), 1) // the row that is missing, in its grace period
	is.Equal(values(table, now), want)
	is.Equal(table.position(), uint64(era+2))

	table.merge(update{version: era + 3, rows: []store.WatchedRow{put("added", "1", era+3)}}, now) // written again
	later := now.Add(expiryGrace)
	is.Equal(values(table, later), want)
	restored.restored, restored.version, restored.sinceRecovery = false, era+3, 0
	restored.rows = append(restored.rows, put("added", "1", era+3))
	table.merge(restored, later)
	is.Equal(values(table, later), map[string]string{"added": "1", "changed": "1", "deleted": "1", "kept": "1"})
}

// Guards against an age that tells how fresh the copy is while rows of it are not in force yet: a host without processor time may have the
// rows for seconds before it uses them.
func TestAgeInForceCountsRowsThatAreNotInForce(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	table := newTable("t", equal)
	age := func(seconds int) time.Duration {
		age, ok := table.AgeInForce(at(seconds))
		is.True(ok)
		return age
	}
	_, ok := table.AgeInForce(start)
	is.True(!ok)
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 1)}, version: 1}, at(0))
	table.Rows(at(0))
	table.SetInForce()
	table.merge(update{version: 1}, at(1))
	is.Equal(age(2), time.Second) // read at 1, and nothing has changed

	table.merge(update{rows: []store.WatchedRow{put("a", "2", 2)}, version: 2}, at(3))
	table.merge(update{version: 2}, at(4))
	is.Equal(age(5), 4*time.Second) // the rows in force are those of 1

	table.Rows(at(5))
	table.merge(update{rows: []store.WatchedRow{put("a", "3", 3)}, version: 3}, at(6))
	table.SetInForce()
	is.Equal(age(6), 2*time.Second) // the rows of 4 are in force, those of 6 are not
	table.Rows(at(6))
	table.SetInForce()
	is.Equal(age(7), time.Second)
}

// Guards against a host that takes an outage of the platform for its own fault and refuses requests, and against one that does not notice that others
// know more, or that it does not use what it knows.
func TestLagIsTheTimeWithoutNewsFromOthers(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	table := newTable("t", equal)
	lag := func(seconds int) time.Duration {
		lag, ok := table.Lag(at(seconds))
		is.True(ok)
		return lag
	}
	_, ok := table.Lag(start)
	is.True(!ok)
	apply := func(seconds int) {
		table.Rows(at(seconds))
		table.SetInForce()
	}
	table.merge(update{rows: []store.WatchedRow{put("a", "1", 5)}, version: 5, from: "h"}, at(0))
	apply(0)
	table.merge(update{version: 5, from: "h", age: 9 * time.Second}, at(10)) // no host could read the platform since
	is.Equal(lag(10), time.Duration(0))
	is.Equal(lag(13), 3*time.Second) // no other host has answered since
	table.merge(update{version: 5, from: "h", took: time.Second}, at(14))
	is.Equal(lag(14), time.Second) // the answer is late

	table.merge(update{rows: []store.WatchedRow{put("b", "1", 6)}, from: "h"}, at(20)) // pushed rows do not tell what else there is
	is.Equal(lag(20), 7*time.Second)
	table.merge(update{version: 6, from: "h"}, at(21))
	is.Equal(lag(22), 2*time.Second) // the rows of 20 are not in force
	table.Rows(at(22))
	table.merge(update{rows: []store.WatchedRow{put("c", "1", 7)}, version: 7, from: "h"}, at(23))
	table.SetInForce()
	is.Equal(lag(25), 2*time.Second) // nor are those of 23
	apply(25)
	table.merge(update{version: 7, from: "h"}, at(25))
	is.Equal(lag(25), time.Duration(0))
}
