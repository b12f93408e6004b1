package watch

import (
	"bytes"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// tombstoneRetention is how long the tombstone of a deleted row is kept. It prevents an outdated message of a peer from
// restoring the row.
const tombstoneRetention = time.Minute

const (
	// maxDeletionDelay is how long a deletion waits for another table, which may not be readable.
	maxDeletionDelay = 3 * time.Second
	// deletionRecheck is the time between two checks whether the deletion of a row is in force. Each one makes the readers of the rows work
	// on all of them; the other table advances with fetchInterval at most.
	deletionRecheck = 200 * time.Millisecond
)

// Table is the local copy of a platform table that other programs write. The version of a row never decreases.
type Table struct {
	name string
	// equivalent reports whether two values of a row make no difference to this program.
	equivalent func(a, b []byte) bool
	// supersedes reports whether the content of a value shows that it was written after another one.
	supersedes func(next, current []byte) bool
	// deleteAfter is the table for which deletions wait, or nil.
	deleteAfter *Table

	mu sync.Mutex
	// rows includes tombstones.
	rows    map[string]*row
	version uint64
	// purgedVersion is the newest version of a tombstone that was removed.
	purgedVersion uint64
	// recoveredAt is when reads first succeeded again after the last outage, or zero.
	recoveredAt time.Time
	changed     chan struct{}
	freshness   freshness
}

type row struct {
	value   []byte
	version uint64
	// changedVersion is the version of the last change to a value that is not equivalent; it is at most version.
	changedVersion uint64
	deleted        bool
	// from is the host that sent this version, empty if this host read it from the platform itself.
	from string
	// graceUntil is the end of the time for which a deleted row is still returned by Rows, or zero.
	graceUntil time.Time
	// deletedAt is when this host received the deletion. wasPresent is set if the row was present until then.
	deletedAt  time.Time
	wasPresent bool
}

func newTable(name string, equivalent func(a, b []byte) bool) *Table {
	never := func(_, _ []byte) bool { return false }
	return &Table{name: name, equivalent: equivalent, supersedes: never, rows: map[string]*row{}, changed: make(chan struct{})}
}

// Row is a row that is present or in its grace period after a deletion.
type Row struct {
	Value   []byte
	Version uint64
	// From is the host that sent this version, empty if this host read it from the platform itself.
	From string
}

// Rows returns, by key, the rows that are present at the given time, in their grace period, or waiting for another table. next is when the
// first of them may end to be so, or zero. loaded is false until the table has been read once.
func (t *Table) Rows(now time.Time) (rows map[string]Row, next time.Time, loaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freshness.noteReturn()
	rows = make(map[string]Row, len(t.rows))
	for key, r := range t.rows {
		if r.deleted {
			until := t.presentUntil(r, now)
			if !now.Before(until) {
				continue
			}
			if next.IsZero() || until.Before(next) {
				next = until
			}
		}
		rows[key] = Row{r.value, r.version, r.from}
	}
	return rows, next, t.version > 0
}

// presentUntil returns until when a deleted row counts as present, as far as is known at the given time. t.mu must be held.
func (t *Table) presentUntil(r *row, now time.Time) time.Time {
	waits := t.deleteAfter != nil && r.wasPresent && now.Sub(r.deletedAt) < maxDeletionDelay && t.deleteAfter.position() < r.version
	if recheck := now.Add(deletionRecheck); waits && recheck.After(r.graceUntil) {
		return recheck
	}
	return r.graceUntil
}

// Changed returns a channel that is closed at the next change of a row to a value that is not equivalent, and when the table
// has been read for the first time.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// position returns the version up to which the table is complete; 0 if it was never read.
func (t *Table) position() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// update is a set of rows from the platform or a peer.
type update struct {
	rows    []store.WatchedRow
	version uint64
	// full is set if rows contains all rows of the table, so that missing ones are deleted.
	full bool
	// restored is set if the platform was restored from a copy, so that rows may be older than the local ones in spite of their
	// versions. Their writers write them again.
	restored bool
	// age is the time for which the rows were out of date at most when they were sent. took is the time before their arrival in which they
	// were sent.
	age, took time.Duration
	// sinceRecovery is the time since the end of the last outage; 0 if it is longer ago than expiryGrace.
	sinceRecovery time.Duration
	// from is the host that sent the rows, empty if this host read them from the platform itself.
	from string
}

// merge applies the rows that are newer than the local ones and returns those that changed to a value that is not
// equivalent.
func (t *Table) merge(u update, now time.Time) []store.WatchedRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.sinceRecovery > 0 {
		if at := now.Add(-u.sinceRecovery); at.After(t.recoveredAt) {
			t.recoveredAt = at
		}
	}
	previouslyReadAt := t.freshness.readAt
	var changed []store.WatchedRow
	listed := map[string]bool{}
	for _, r := range u.rows {
		listed[r.Key] = true
		if u.restored && t.isOutdated(r) {
			continue
		}
		if t.mergeRow(r, u.from, now) {
			changed = append(changed, r)
		}
	}
	if u.full {
		changed = append(changed, t.deleteMissing(listed, u.version, now)...)
	}
	firstRead := t.version == 0 && u.version > 0
	if u.version >= t.version {
		t.version = u.version
		t.freshness.confirm(u, now)
	}
	t.purgeTombstones(now)
	// A peer may push all rows to a starting host before its first read. That read changes no row but completes the table.
	if len(changed) > 0 || firstRead {
		t.freshness.noteChange(now, previouslyReadAt)
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// mergeRow applies one row and returns whether its value changed to one that is not equivalent. A host sends a row only if it has
// changed, so any other value from a host counts: the value that it is equivalent to may have been replaced in between. t.mu must
// be held.
func (t *Table) mergeRow(r store.WatchedRow, from string, now time.Time) bool {
	current := t.rows[r.Key]
	if current != nil && current.version >= r.Version {
		return false
	}
	if r.Deleted {
		return t.delete(r.Key, r.Version, now)
	}
	next := &row{value: r.Value, version: r.Version, changedVersion: r.Version, from: from}
	t.rows[r.Key] = next
	if current == nil || current.deleted {
		return true
	}
	if bytes.Equal(current.value, r.Value) || from == "" && t.equivalent(current.value, r.Value) {
		next.changedVersion = current.changedVersion
		return false
	}
	return true
}

// isOutdated reports whether a row of a restored copy must not replace the local one, which may be newer: it differs, and its content
// does not show that it was written later. t.mu must be held.
func (t *Table) isOutdated(r store.WatchedRow) bool {
	current := t.rows[r.Key]
	if current == nil || !current.deleted && bytes.Equal(current.value, r.Value) {
		return false
	}
	return !t.supersedes(r.Value, current.value)
}

// deleteMissing deletes the rows up to a version that a full list lacks, and returns them. t.mu must be held.
func (t *Table) deleteMissing(listed map[string]bool, version uint64, now time.Time) []store.WatchedRow {
	var changed []store.WatchedRow
	for key, r := range t.rows {
		if listed[key] || r.deleted || r.version > version {
			continue
		}
		if t.delete(key, version, now) {
			changed = append(changed, store.WatchedRow{Key: key, Version: version, Deleted: true})
		}
	}
	return changed
}

// delete replaces a row by a tombstone and returns whether the row was present. During an outage of the platform the entries
// of live programs expire, and they are restored soon after it. So a row that is deleted within expiryGrace after an outage
// stays present until that time is over. t.mu must be held.
func (t *Table) delete(key string, version uint64, now time.Time) bool {
	current := t.rows[key]
	if current == nil {
		t.rows[key] = &row{version: version, changedVersion: version, deleted: true, deletedAt: now}
		return false
	}
	if current.deleted {
		current.version = version
		return false
	}
	current.version, current.changedVersion, current.deleted, current.deletedAt = version, version, true, now
	current.wasPresent = true
	if until := t.recoveredAt.Add(expiryGrace); !t.recoveredAt.IsZero() && until.After(now) {
		current.graceUntil = until
	}
	return true
}

// purgeTombstones removes tombstones older than tombstoneRetention. t.mu must be held.
func (t *Table) purgeTombstones(now time.Time) {
	for key, r := range t.rows {
		if r.deleted && now.Sub(r.deletedAt) > tombstoneRetention {
			t.purgedVersion = max(t.purgedVersion, r.version)
			delete(t.rows, key)
		}
	}
}
