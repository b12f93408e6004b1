package watch

import (
	"sync"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// tombstoneTime is how long a deleted row is remembered, so that a peer that read earlier does not bring it back.
const tombstoneTime = time.Minute

// Table is what this host knows of one table that other programs write. Rows only ever go to newer versions.
type Table struct {
	name string
	// same reports whether two values of a row mean the same to this project.
	same func(a, b []byte) bool

	mu      sync.Mutex
	rows    map[string]*row
	version uint64
	// readAt is when the platform was last known to hold nothing newer than version.
	readAt time.Time
	// returnedAt is when the table could be read again after an outage, or zero.
	returnedAt time.Time
	changed    chan struct{}
}

type row struct {
	value   []byte
	version uint64
	deleted bool
	// until is how long a deleted row still counts as present, or zero.
	until time.Time
	// deletedAt is when the deletion was learned.
	deletedAt time.Time
}

func newTable(name string, same func(a, b []byte) bool) *Table {
	return &Table{name: name, same: same, rows: map[string]*row{}, changed: make(chan struct{})}
}

// Row is a present row.
type Row struct {
	Value   []byte
	Version uint64
}

// Rows returns the rows that count as present at a moment, by key, and when that changes by itself, or zero. loaded is
// false until the table has been read once.
func (t *Table) Rows(now time.Time) (rows map[string]Row, next time.Time, loaded bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows = make(map[string]Row, len(t.rows))
	for key, r := range t.rows {
		if r.deleted {
			if !now.Before(r.until) {
				continue
			}
			if next.IsZero() || r.until.Before(next) {
				next = r.until
			}
		}
		rows[key] = Row{r.value, r.version}
	}
	return rows, next, t.version > 0
}

// Changed returns a channel that is closed at the next change of a row that means something, and when the table has been read
// for the first time.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Age returns how old the knowledge of the table is; ok is false if it was never read.
func (t *Table) Age(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.readAt), t.version > 0
}

func (t *Table) position() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// update is news of a table.
type update struct {
	rows    []store.WatchedRow
	version uint64
	// full is set if rows holds all rows of the table.
	full bool
	// age is how old the news is.
	age time.Duration
	// returned is how long ago the table came back after an outage; 0 if there was none lately.
	returned time.Duration
}

// merge takes over what is newer and returns the rows whose meaning changed.
func (t *Table) merge(u update, now time.Time) []store.WatchedRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.returned > 0 {
		if at := now.Add(-u.returned); at.After(t.returnedAt) {
			t.returnedAt = at
		}
	}
	var changed []store.WatchedRow
	listed := map[string]bool{}
	for _, r := range u.rows {
		listed[r.Key] = true
		if t.mergeRow(r, now) {
			changed = append(changed, r)
		}
	}
	if u.full {
		changed = append(changed, t.deleteUnlisted(listed, u.version, now)...)
	}
	loads := t.version == 0 && u.version > 0
	if u.version >= t.version {
		t.version = u.version
		if at := now.Add(-u.age); at.After(t.readAt) {
			t.readAt = at
		}
	}
	t.forget(now)
	// A host that starts can be told all rows by a peer before its first read, which then changes none of them.
	if len(changed) > 0 || loads {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	return changed
}

// mergeRow returns whether the meaning of a row changed.
func (t *Table) mergeRow(r store.WatchedRow, now time.Time) bool {
	known := t.rows[r.Key]
	if known != nil && known.version >= r.Version {
		return false
	}
	if r.Deleted {
		return t.delete(r.Key, r.Version, now)
	}
	meaning := known == nil || known.deleted || !t.same(known.value, r.Value)
	t.rows[r.Key] = &row{value: r.Value, version: r.Version}
	return meaning
}

func (t *Table) deleteUnlisted(listed map[string]bool, version uint64, now time.Time) []store.WatchedRow {
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

// delete returns whether the row was known. Rows that lapsed while the platform was away come back soon after its return,
// so a row that is missed within that time stays present until the time is over.
func (t *Table) delete(key string, version uint64, now time.Time) bool {
	known := t.rows[key]
	if known == nil {
		t.rows[key] = &row{version: version, deleted: true, deletedAt: now}
		return false
	}
	if known.deleted {
		known.version = version
		return false
	}
	known.version, known.deleted, known.deletedAt = version, true, now
	if until := t.returnedAt.Add(lapseGrace); !t.returnedAt.IsZero() && until.After(now) {
		known.until = until
	}
	return true
}

// forget drops old tombstones. t.mu must be held.
func (t *Table) forget(now time.Time) {
	for key, r := range t.rows {
		if r.deleted && now.Sub(r.deletedAt) > tombstoneTime {
			delete(t.rows, key)
		}
	}
}

// since returns the rows that are newer than a version, for a peer.
func (t *Table) since(after uint64, now time.Time) *peerv1.WatchedTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &peerv1.WatchedTable{
		Table: t.name, Version: t.version, AgeMs: uint32(now.Sub(t.readAt).Milliseconds()) + 1, ReturnedMs: t.returnedMs(now),
	}
	for key, r := range t.rows {
		if r.version > after {
			m.Rows = append(m.Rows, &peerv1.WatchedRow{Key: key, Value: r.value, Version: r.version, Deleted: r.deleted})
		}
	}
	return m
}

// news returns a message with some rows. It has no version: rows that changed without a meaning are left out of it.
func (t *Table) news(rows []store.WatchedRow, now time.Time) *peerv1.WatchedTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &peerv1.WatchedTable{Table: t.name, ReturnedMs: t.returnedMs(now)}
	for _, r := range rows {
		m.Rows = append(m.Rows, &peerv1.WatchedRow{Key: r.Key, Value: r.Value, Version: r.Version, Deleted: r.Deleted})
	}
	return m
}

// returnedMs is the time since the return after an outage while it matters to the receiver. t.mu must be held.
func (t *Table) returnedMs(now time.Time) uint32 {
	returned := now.Sub(t.returnedAt)
	if t.returnedAt.IsZero() || returned >= lapseGrace {
		return 0
	}
	return uint32(returned.Milliseconds()) + 1
}

// updateOf reads a peer's message.
func updateOf(m *peerv1.WatchedTable) update {
	u := update{
		version: m.GetVersion(), age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		returned: time.Duration(m.GetReturnedMs()) * time.Millisecond,
	}
	for _, r := range m.GetRows() {
		u.rows = append(u.rows, store.WatchedRow{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted(),
		})
	}
	return u
}
