package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Guards against hosts that keep deleted rows for good after the host that reads the platform for them has restarted: targets that left while it did
// got requests for as long as they served (review/6), and an evacuated place that was taken back stays without requests.
func TestRestartedReaderDoesNotHideDeletions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(5, put("a", "1", 4), put("b", "1", 5))
	other.hear(reader)
	restarted := newOrderedCopy("h1", now)
	restarted.list(20, put("b", "1", 5)) // a was deleted meanwhile
	other.hear(restarted)
	is.Equal(other.values(), map[string]string{"b": "1"})
	is.Equal(other.position(), uint64(20))
}

// Guards against whole tables for all hosts of a domain whenever its reader restarts: the reader learns of the deletions from another host first.
func TestRestartedReaderLearnsTheHistory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	other, late, restarted := newOrderedCopy("h2", now), newOrderedCopy("h3", now), newOrderedCopy("h1", now)
	other.list(5, put("a", "1", 4), put("b", "1", 5))
	late.hear(other)
	other.read(10, removed("a", 10))
	restarted.list(20, put("b", "1", 5), put("c", "1", 15))
	restarted.hear(other)
	is.True(restarted.rowsSince(5, true, now).GetWhole()) // other tells nothing of the versions 11 to 20
	other.read(21, put("c", "1", 15), removed("d", 16))
	restarted.hear(other)
	m := restarted.rowsSince(5, true, now)
	is.True(!m.GetWhole())
	is.Equal(m.GetHistoryFrom(), uint64(5))
	late.hear(restarted)
	is.Equal(late.values(), map[string]string{"b": "1", "c": "1"})
	is.True(restarted.rowsSince(4, true, now).GetWhole()) // nobody knows of deletions before version 5
}

// Guards against a row that a host takes for a new one because it got its list of the table from the platform only after the row was deleted.
func TestRowsFromBeforeTheListAreDeleted(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	behind, starting, third := newOrderedCopy("h1", now), newOrderedCopy("h2", now), newOrderedCopy("h3", now)
	behind.list(5, put("a", report(1, 5, "ready"), 5))
	third.hear(behind)
	starting.list(20)
	starting.hear(behind)
	is.Equal(starting.values(), map[string]string{})
	third.hear(starting)
	is.Equal(third.values(), map[string]string{})
	starting.read(21, put("a", report(1, 4, "ready"), 21)) // and it knows what was written before the deletion
	is.Equal(starting.values(), map[string]string{})
}

// Guards against a row that is kept because it was written and deleted between two lists of the reader, after the platform lost its history.
func TestLostHistoryDoesNotHideDeletions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other, pushed := newOrderedCopy("h1", now), newOrderedCopy("h2", now), newOrderedCopy("h3", now)
	reader.list(20, put("a", "1", 4))
	other.hear(reader)
	pushed.list(22, put("a", "1", 4), put("b", "1", 22))
	other.merge(decodeUpdate(pushed.rowsMessage(pushedRows("b"), now), "h3", 0), now)
	is.Equal(len(other.values()), 2)
	reader.list(30, put("a", "1", 4)) // b was deleted meanwhile
	other.hear(reader)
	is.Equal(other.values(), map[string]string{"a": "1"})
}

// Guards against a row that was deleted and written again while the platform's history was lost, and that other hosts keep as deleted.
func TestRowWrittenAgainInLostHistory(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(20, put("a", "1", 4))
	other.hear(reader)
	reader.read(21, removed("a", 21))
	other.hear(reader)
	reader.list(30, put("a", "2", 25))
	other.hear(reader)
	is.Equal(other.values(), map[string]string{"a": "2"})
}

// Guards against hosts of two versions that misunderstand each other during an upgrade: an earlier one takes a whole table for the changes since its
// position, and states no history itself.
func TestHostsOfEarlierVersions(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader := newOrderedCopy("h1", now)
	reader.list(20, put("b", "1", 5))
	m := reader.rowsSince(5, false, now)
	is.Equal(m.GetVersion(), uint64(0)) // it reads the deletions from the platform
	is.Equal(len(m.GetRows()), 0)

	other := newOrderedCopy("h2", now)
	earlier := reader.rowsSince(0, false, now)
	earlier.Whole, earlier.HistoryFrom = false, nil
	other.merge(decodeUpdate(earlier, "h1", 0), now)
	is.Equal(other.position(), uint64(20))
	is.True(other.rowsSince(5, true, now).GetWhole())
}

// Guards against an answer that was asked for before a host forgot what it had heard: it does not tell the changes before that.
func TestAnswerToAnEarlierQuestion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(5, put("a", "1", 4))
	other.hear(reader)
	m := reader.rowsSince(other.heardPosition(), true, now)
	other.forgetHeard()
	other.merge(decodeUpdate(m, "h1", 5), now)
	is.Equal(other.heardPosition(), uint64(0))
}

// Guards against a message that reads as a complete one on a host that has not read the table yet.
func TestHostWithoutATableClaimsNothing(t *testing.T) {
	is := is.New(t)
	m := newOrderedCopy("h1", time.Now()).rowsSince(0, true, time.Now())
	is.True(proto.Equal(m, &peerv1.WatchedTable{Table: "t"}))
}

func pushedRows(keys ...string) (rows []store.WatchedRow) {
	for _, key := range keys {
		rows = append(rows, store.WatchedRow{Key: key})
	}
	return rows
}
