package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// report is the value of a row that a program writes again and again: its start, the sequence of the write, and a state.
func report(start uint64, sequence int, state string) string {
	return fmt.Sprintf("%d %d %s", start, sequence, state)
}

// reportOrder is the order of reports.
func reportOrder(value []byte) (Order, bool) {
	var o Order
	var state string
	n, _ := fmt.Sscanf(string(value), "%d %f %s", &o.Start, &o.Sequence, &state)
	return o, n == 3
}

// sameReport reports whether two reports differ in their sequence only.
func sameReport(a, b []byte) bool {
	var starts [2]uint64
	var states [2]string
	for i, value := range [][]byte{a, b} {
		var sequence float64
		_, _ = fmt.Sscanf(string(value), "%d %f %s", &starts[i], &sequence, &states[i])
	}
	return starts[0] == starts[1] && states[0] == states[1]
}

// orderedCopy is the copy of one host, which reads the platform or hears from other hosts at the times that the test states.
type orderedCopy struct {
	*Table
	host string
	now  time.Time
}

func newOrderedCopy(host string, now time.Time) *orderedCopy {
	table := newTable("t", sameReport)
	table.order, table.minSilence, table.maxReadGap = reportOrder, 3*time.Second, 2*time.Second
	return &orderedCopy{table, host, now}
}

// list reads the whole table from the platform.
func (c *orderedCopy) list(version uint64, rows ...store.WatchedRow) {
	c.merge(update{full: true, version: version, rows: rows}, c.now)
}

// read reads rows that have changed since the last position.
func (c *orderedCopy) read(version uint64, rows ...store.WatchedRow) {
	c.merge(update{after: c.position(), version: version, rows: rows}, c.now)
}

// hear asks another host.
func (c *orderedCopy) hear(from *orderedCopy) {
	after := c.heardPosition()
	c.merge(decodeUpdate(from.rowsSince(after, true, c.now), from.host, after), c.now)
}

// values returns the rows that are present.
func (c *orderedCopy) values() map[string]string { return values(c.Table, c.now) }

func removed(key string, version uint64) store.WatchedRow {
	return store.WatchedRow{Key: key, Version: version, Deleted: true}
}

// Guards against a late write that brings back a row at hosts that did not read the platform, and so do not know the last report before the
// deletion: they got the row long ago, and the reports since then made no difference.
func TestTombstonesTellTheLastValue(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(1, put("a", report(1, 1, "ready"), 1))
	other.hear(reader)
	reader.read(5, put("a", report(1, 10, "ready"), 5))
	other.hear(reader)
	reader.read(6, removed("a", 6))
	other.hear(reader)
	other.read(7, put("a", report(1, 9, "ready"), 7)) // now this host reads; sequence 9 is later than the 1 that it got
	is.Equal(other.values(), map[string]string{})

	reader = expired(now)
	other = newOrderedCopy("h2", reader.now)
	other.list(1, put("a", report(1, 1, "ready"), 1))
	other.hear(reader)
	other.read(4, put("a", report(1, 4, "ready"), 4)) // the process may come back, but not with a report from before its expiry
	is.Equal(other.values(), map[string]string{})
}

// Guards against a target that is missing for longer than necessary after its row expired: it was silent, but it has not left.
func TestExpiredRowIsBackWithTheNextReport(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(1, put("a", report(1, 1, "ready"), 1), put("b", report(1, 1, "ready"), 1))
	reader.now = now.Add(2 * time.Second)
	reader.read(2, put("b", report(1, 2, "ready"), 2))
	reader.now = now.Add(4 * time.Second)
	reader.read(4, removed("a", 3), removed("b", 4)) // b has left
	other.now = reader.now
	other.hear(reader)
	rows := []store.WatchedRow{put("a", report(1, 3, "ready"), 5), put("b", report(1, 3, "ready"), 6)}
	for _, c := range []*orderedCopy{reader, other} {
		c.read(6, rows...)
		is.Equal(c.values(), map[string]string{"a": report(1, 3, "ready")})
	}
}

// Guards against a late write that a host takes for a new one because it started after the row was deleted: its first list has nothing that
// contradicts the write.
func TestStartingHostHearsOfDeletions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, starting := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(5, put("a", report(1, 5, "ready"), 4), put("b", report(1, 5, "draining"), 5))
	reader.read(6, removed("a", 6))
	reader.read(8, put("a", report(1, 4, "ready"), 7), put("b", report(1, 4, "ready"), 8))
	starting.list(8, put("a", report(1, 4, "ready"), 7), put("b", report(1, 4, "ready"), 8))
	starting.hear(reader)
	is.Equal(starting.values(), map[string]string{"b": report(1, 5, "draining")})
	is.Equal(reader.values(), starting.values())
}

// Guards against a host that reads a late write after it was cut off from the others, and then asks them only for what is newer than that write.
func TestHostThatWasCutOffHearsWhatItMissed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, cut, third := newOrderedCopy("h1", now), newOrderedCopy("h2", now), newOrderedCopy("h3", now)
	for _, c := range []*orderedCopy{reader, cut, third} {
		c.list(1, put("a", report(1, 1, "ready"), 1))
	}
	cut.hear(reader)
	reader.read(5, put("a", report(1, 5, "draining"), 5))
	reader.read(6, put("a", report(1, 4, "ready"), 6))
	cut.read(6, put("a", report(1, 4, "ready"), 6))
	third.hear(cut)
	is.Equal(third.values(), map[string]string{"a": report(1, 4, "ready")})
	cut.hear(reader)
	is.Equal(cut.values(), map[string]string{"a": report(1, 5, "draining")})
	third.hear(cut) // the row has a lower version than the one that this host has heard of
	is.Equal(third.values(), map[string]string{"a": report(1, 5, "draining")})
}

// Guards against a late write that brings back a row although it is later than all that were read before the deletion: the last report got no
// answer, or this host does not know the last one because it began to read after it.
func TestLastReportBeforeTheDeletionIsPerformedLate(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(1, put("a", report(1, 1, "ready"), 1))
	other.hear(reader)
	reader.read(5, put("a", report(1, 10, "ready"), 5))
	other.hear(reader)
	for _, c := range []*orderedCopy{reader, other} {
		c.read(7, removed("a", 7))
		c.read(8, put("a", report(1, 11, "ready"), 8))
		is.Equal(c.values(), map[string]string{})
	}

	other.now = now.Add(maxWriteDelay)
	other.read(8)
	other.read(9, put("a", report(1, 17, "ready"), 9))
	is.Equal(other.values(), map[string]string{"a": report(1, 17, "ready")}) // later than any write of before the deletion
	third := newOrderedCopy("h3", other.now)
	third.list(1, put("a", report(1, 1, "ready"), 1))
	third.read(7, removed("a", 7))
	third.hear(other) // it has not waited itself
	is.Equal(third.values(), other.values())
}

// Guards against a living target that is refused for good because it started with an earlier time of day than its last process, or because
// its row was taken from another writer: its sequence goes on growing.
func TestLivingTargetIsAcceptedAfterAWhile(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	reader, other := newOrderedCopy("h1", start), newOrderedCopy("h2", start)
	reader.list(1, put("a", report(9, 50, "draining"), 1))
	other.hear(reader)
	version := uint64(1)
	for sequence := range 20 {
		version++
		reader.now = reader.now.Add(1500 * time.Millisecond)
		other.now = reader.now
		reader.read(version, put("a", report(8, sequence, "ready"), version))
		other.hear(reader)
		is.Equal(other.values(), reader.values())
		if reader.values()["a"] == report(8, sequence, "ready") {
			break
		}
	}
	waited := reader.now.Sub(start)
	is.True(waited >= maxWriteDelay)
	is.True(waited <= maxWriteDelay+2*1500*time.Millisecond)
	reader.read(version+1, put("a", report(8, 99, "draining"), version+1)) // its reports count as before
	other.hear(reader)
	is.Equal(other.values(), map[string]string{"a": report(8, 99, "draining")})
	reader.read(version+2, put("a", report(9, 51, "ready"), version+2)) // later by the order, and a living writer would go on
	other.hear(reader)
	is.Equal(other.values(), reader.values())
}

// Guards against a late write that is accepted at a host which knows an earlier deletion only: the row was refused and deleted again, and this host's
// list of the table does not hold it.
func TestListShowsTheDeletionOfARefusedRow(t *testing.T) {
	for _, heardFirst := range []bool{false, true} {
		is := is.New(t)
		now := time.Now()
		reader, starting := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
		reader.list(1, put("a", report(9, 5, "ready"), 1))
		reader.read(2, removed("a", 2))
		reader.now = now.Add(maxWriteDelay - time.Second)
		reader.read(3, put("a", report(8, 1, "ready"), 3)) // the clock went back
		starting.now = reader.now
		if heardFirst {
			starting.hear(reader)
		}
		starting.list(5) // the row was deleted in version 4
		starting.hear(reader)
		starting.now = now.Add(maxWriteDelay + time.Second)
		starting.read(5)
		starting.read(6, put("a", report(8, 2, "ready"), 6))
		is.Equal(starting.values(), map[string]string{})
	}
}

// Guards against late writes that count as signs of life: their sequences may grow too, for as long as the platform performs writes late.
func TestSeveralLateWritesAreRefused(t *testing.T) {
	is := is.New(t)
	c := newOrderedCopy("h1", time.Now())
	c.list(1, put("a", report(1, 20, "ready"), 1))
	c.read(2, removed("a", 2))
	for i := range 9 {
		c.now = c.now.Add(time.Second)
		c.read(uint64(i+3), put("a", report(1, 10+i, "ready"), uint64(i+3)))
		is.Equal(c.values(), map[string]string{})
	}
}

// Guards against a late report that is accepted once late reports cannot be told by their time any more: a later one of the same process was refused,
// and then one of another process.
func TestRefusedReportsOfSeveralProcessesAreKnown(t *testing.T) {
	is := is.New(t)
	c := newOrderedCopy("h1", time.Now())
	c.list(1, put("a", report(9, 1, "ready"), 1))
	c.read(2, put("a", report(5, 7, "draining"), 2))
	c.read(3, put("a", report(6, 2, "draining"), 3))
	for range maxWriteDelay / time.Second {
		c.now = c.now.Add(time.Second)
		c.read(3)
	}
	c.read(4, put("a", report(5, 6, "draining"), 4))
	is.Equal(c.values(), map[string]string{"a": report(9, 1, "ready")})
	c.read(5, put("a", report(5, 8, "draining"), 5)) // later than all that was refused: the clock went back
	is.Equal(c.values(), map[string]string{"a": report(5, 8, "draining")})
}

// Guards against targets that are missing after an outage of the platform in which their entries expired, where the reader is a new one.
func TestTargetsOfAnOutageAreBackAtOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := newOrderedCopy("h1", now)
	c.merge(update{from: "h2", version: 1, rows: []store.WatchedRow{put("a", report(1, 1, "ready"), 1)}}, now)
	c.merge(update{after: 1, version: 2, rows: []store.WatchedRow{removed("a", 2)}, sinceRecovery: time.Millisecond}, now)
	c.now = now.Add(expiryGrace + time.Second)
	c.read(3, put("a", report(1, 9, "ready"), 3))
	c.now = now.Add(2 * expiryGrace)
	is.Equal(c.values(), map[string]string{"a": report(1, 9, "ready")})
}

// Guards against rows of a restored copy that replace newer ones after the grace period, where their content tells that they are older.
func TestRestoredReportsStayOutdated(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := newOrderedCopy("h1", now)
	c.list(3, put("a", report(1, 7, "draining"), 2), put("b", "other program", 3))
	c.read(4, put("b", report(1, 2, "ready"), 4))
	const era = 1 << 40
	rows := []store.WatchedRow{put("a", report(1, 6, "ready"), era+2), put("b", "other program", era+3)}
	c.merge(update{full: true, restored: true, version: era + 3, rows: rows, sinceRecovery: time.Millisecond}, now)
	want := map[string]string{"a": report(1, 7, "draining"), "b": report(1, 2, "ready")}
	is.Equal(c.values(), want)
	c.now = now.Add(expiryGrace)
	c.list(era+3, rows...)
	want["b"] = "other program" // its content does not tell its order
	is.Equal(c.values(), want)
	c.read(era+5, put("a", report(1, 8, "ready"), era+4), put("b", report(1, 3, "ready"), era+5))
	is.Equal(c.values(), map[string]string{"a": report(1, 8, "ready"), "b": report(1, 3, "ready")})
}
