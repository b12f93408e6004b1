package watch

import (
	"bytes"
	"sync"
	"time"

	"github.com/phuslu/log"

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

// Table is the local copy of a platform table that other programs write. Where the order of two values of a row is known, the later one
// stays, whatever their versions: the platform may perform a write seconds after later ones. Otherwise the higher version stays.
type Table struct {
	name string
	// equivalent reports whether two values of a row make no difference to this program.
	equivalent func(a, b []byte) bool
	// order returns the order of a value among those of its row; the result is false if the content does not tell it.
	order func(value []byte) (Order, bool)
	// minSilence is the time without a write of a row after which its deletion counts as an expiry.
	minSilence time.Duration
	// deleteAfter is the table for which deletions wait, or nil.
	deleteAfter *Table

	mu sync.Mutex
	// rows includes tombstones.
	rows    map[string]*row
	version uint64
	// heard is the version up to which other hosts have told all that they know, heardFrom the version after which they knew all deletions.
	// heard differs from version on a host that reads the platform itself: the platform has only the last write of each row, which may be an
	// outdated one.
	heard, heardFrom uint64
	// readVersion and readAt are the version and the time of the last read of the platform by this host.
	readVersion uint64
	readAt      time.Time
	// maxReadGap is the time between two reads above which this host may miss writes.
	maxReadGap time.Duration
	// historyFrom is the version after which this host knows all deletions. A list of all rows tells none of the deletions before it.
	historyFrom uint64
	// recoveredAt is when reads first succeeded again after the last outage, or zero.
	recoveredAt time.Time
	changed     chan struct{}
	freshness   freshness
}

func newTable(name string, equivalent func(a, b []byte) bool) *Table {
	unknown := func([]byte) (Order, bool) { return Order{}, false }
	return &Table{name: name, equivalent: equivalent, order: unknown, rows: map[string]*row{}, changed: make(chan struct{})}
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

// heardPosition returns the version up to which other hosts have told all that they know; 0 if none has.
func (t *Table) heardPosition() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heard
}

// forgetHeard makes the position of what other hosts have told start again.
func (t *Table) forgetHeard() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heard = 0
}

// orderOf returns the order of a value, or nil.
func (t *Table) orderOf(value []byte) *Order {
	if order, ok := t.order(value); ok {
		return &order
	}
	return nil
}

// update is a set of rows from the platform or a peer.
type update struct {
	rows    []store.WatchedRow
	version uint64
	// after is the version since which the rows have changed.
	after uint64
	// marks holds, by key, what a host states of its rows.
	marks map[string]mark
	// historyFrom is the version after which the host that sent the rows knows all deletions.
	historyFrom uint64
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
	t.noteSource(u, now)
	before := t.version
	previouslyReadAt := t.freshness.readAt
	var changed []store.WatchedRow
	listed := map[string]bool{}
	for _, r := range u.rows {
		listed[r.Key] = true
		if u.restored && t.isOutdated(r) {
			continue
		}
		if t.mergeRow(t.arrivalOf(r, u, now), now) {
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
	t.noteHistory(u, before)
	t.purgeTombstones(now)
	// A peer may push all rows to a starting host before its first read. That read changes no row but completes the table.
	if len(changed) > 0 || firstRead {
		t.freshness.noteChange(now, previouslyReadAt)
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// noteSource records how far this host has read the platform, and how far other hosts have answered. A read that does not continue the last
// one misses writes that other hosts do not pass on, as they made no difference, and a late one those that were followed by another write.
// t.mu must be held.
func (t *Table) noteSource(u update, now time.Time) {
	if u.from != "" {
		t.noteHeard(u)
		return
	}
	if u.full || u.after != t.readVersion || now.Sub(t.readAt) > t.maxReadGap {
		for _, r := range t.rows {
			r.readHere = false
		}
	}
	t.readVersion, t.readAt = u.version, now
}

// noteHeard records what another host has told. t.mu must be held.
func (t *Table) noteHeard(u update) {
	switch {
	case u.full:
		t.heard, t.heardFrom = u.version, u.historyFrom
	case u.version > t.heard && u.after <= t.heard:
		t.heard = u.version
	}
}

// noteHistory records from where on this host knows all deletions, after an update of a table that was complete up to a version. t.mu must
// be held.
func (t *Table) noteHistory(u update, before uint64) {
	switch {
	case u.full && u.from == "":
		t.historyFrom = max(t.historyFrom, u.version)
	case u.full && u.historyFrom > before:
		t.historyFrom = max(t.historyFrom, u.historyFrom)
	}
	if t.heard >= t.historyFrom {
		t.historyFrom = min(t.historyFrom, t.heardFrom)
	}
}

// arrivalOf returns a row of an update with what is known of its write. The platform had not performed it when it had nothing newer than this
// copy. t.mu must be held.
func (t *Table) arrivalOf(r store.WatchedRow, u update, now time.Time) *arrival {
	a := &arrival{WatchedRow: r, order: t.orderOf(r.Value), from: u.from, mark: u.marks[r.Key]}
	a.learnedAt = now.Add(-a.known)
	if u.from == "" && !u.full {
		a.performedAfter = t.freshness.readAt
	}
	return a
}

// mergeRow applies one row and returns whether its value changed to one that is not equivalent. t.mu must be held.
func (t *Table) mergeRow(a *arrival, now time.Time) bool {
	current := t.rows[a.Key]
	if a.refused != nil {
		defer func() { t.rows[a.Key].noteRefused(a.refused, now) }()
	}
	switch {
	case a.Deleted:
		return t.mergeTombstone(current, a, now)
	case current == nil && a.from != "" && a.Version <= t.version:
		t.noteMissed(a, now)
		return false
	case current == nil:
		t.rows[a.Key] = newRow(a, now)
		return true
	}
	switch current.judge(a) {
	case rowOutdated:
		current.noteOutdated(a, now)
	case rowRefused:
		t.refuse(current, a, now)
	case rowAccepted:
		return t.replace(current, a, now)
	case rowConfirmed:
		t.logDecision(current, a, "row accepted: its write was made later")
		a.confirmed = true
		changed := t.replace(current, a, now)
		t.rows[a.Key].contradictedAt = now
		return changed
	}
	return false
}

// noteMissed records the deletion of a row that this copy lacks although it is complete beyond the row's version. t.mu must be held.
func (t *Table) noteMissed(a *arrival, now time.Time) {
	t.delete(a.Key, t.version, now)
	t.rows[a.Key].noteLastValue(a)
}

// refuse keeps the current row. t.mu must be held.
func (t *Table) refuse(current *row, a *arrival, now time.Time) {
	if a.from == "" {
		current.writtenAt = now
	}
	if !current.deleted && t.equivalent(current.value, a.Value) {
		return
	}
	if current.deleted {
		current.noteLastValue(a)
	}
	current.noteRefused(a.order, now)
	t.logDecision(current, a, "row refused: its write was made earlier")
}

// replace puts a row in the place of the current one and returns whether its value changed to one that is not equivalent. A host sends a row
// only if it has changed, so any other value from a host counts: the value that it is equivalent to may have been replaced in between. t.mu
// must be held.
func (t *Table) replace(current *row, a *arrival, now time.Time) bool {
	next := newRow(a, now)
	if a.order == nil {
		next.order = current.order
	}
	if a.Version < current.version {
		next.contradictedAt = now
		t.logDecision(current, a, "row replaced: its write was made earlier")
	}
	t.rows[a.Key] = next
	if current.deleted {
		return true
	}
	next.confirmed = next.confirmed || current.confirmed && next.isSameProcess(current)
	if bytes.Equal(current.value, a.Value) || a.from == "" && t.equivalent(current.value, a.Value) {
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
	order := t.orderOf(r.Value)
	if order == nil {
		return true
	}
	return current.order != nil && !order.after(*current.order)
}

// mergeTombstone applies a deletion and returns whether the row was present. A tombstone with a lower version than the row deletes it too if
// the row's value was written before the deletion. t.mu must be held.
func (t *Table) mergeTombstone(current *row, a *arrival, now time.Time) bool {
	if current != nil && !current.deleted {
		if a.Version <= current.version {
			if !current.wasWrittenBefore(a, now) {
				return false
			}
			t.logDecision(current, a, "row deleted: its write was made earlier")
			current.contradictedAt = now
		}
		a.expired = a.expired || a.from == "" && t.minSilence > 0 && current.readHere && now.Sub(current.writtenAt) >= t.minSilence
	}
	wasPresent := t.delete(a.Key, a.Version, now)
	tombstone := t.rows[a.Key]
	tombstone.noteLastValue(a)
	if a.refused != nil && current == nil && a.Version < t.version {
		t.delete(a.Key, t.version, now) // the row that was refused is not in this copy either
	}
	if tombstone.version == a.Version {
		tombstone.expired = tombstone.expired || a.expired
		tombstone.lastDeletedAt = earliest(tombstone.lastDeletedAt, a.learnedAt)
	}
	return wasPresent
}

// deleteMissing deletes the rows up to a version that a full list lacks, and returns them. t.mu must be held.
func (t *Table) deleteMissing(listed map[string]bool, version uint64, now time.Time) []store.WatchedRow {
	var changed []store.WatchedRow
	for key, r := range t.rows {
		// A refused row that is missing was deleted again.
		if listed[key] || r.deleted && len(r.refused) == 0 || r.version > version {
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
		t.rows[key] = &row{version: version, changedVersion: version, deleted: true, deletedAt: now, lastDeletedAt: now}
		return false
	}
	if current.deleted {
		if version > current.version {
			current.version, current.lastDeletedAt, current.expired = version, now, false
		}
		return false
	}
	current.lastDeletedAt = now
	current.version, current.changedVersion, current.deleted, current.deletedAt = version, version, true, now
	current.wasPresent, current.confirmed, current.expired = true, false, false
	if until := t.recoveredAt.Add(expiryGrace); !t.recoveredAt.IsZero() && until.After(now) {
		current.graceUntil = until
	}
	return true
}

// purgeTombstones removes tombstones older than tombstoneRetention. t.mu must be held.
func (t *Table) purgeTombstones(now time.Time) {
	for key, r := range t.rows {
		if r.deleted && now.Sub(r.lastDeletedAt) > tombstoneRetention {
			t.historyFrom = max(t.historyFrom, r.version)
			t.heardFrom = max(t.heardFrom, r.version)
			delete(t.rows, key)
		}
	}
}

// logDecision logs what becomes of a row where its record version and the order of its value contradict each other.
func (t *Table) logDecision(current *row, a *arrival, decision string) {
	event := log.Info().Str("step", "watch").Str("table", t.name).Str("row", a.Key).Str("from", a.from).
		Uint64("version", a.Version).Bool("deleted", a.Deleted).Uint64("known_version", current.version).Bool("known_deleted", current.deleted)
	if a.order != nil {
		event = event.Uint64("start", a.order.Start).Float64("sequence", a.order.Sequence)
	}
	if current.order != nil {
		event = event.Uint64("known_start", current.order.Start).Float64("known_sequence", current.order.Sequence)
	}
	event.Msg(decision)
}
