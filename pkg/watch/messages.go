package watch

import (
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// rowsSince returns a message with the rows and tombstones that have changed since a version, 0 for all of them. It leaves out rows that got
// equivalent values, which are most of them: programs update their rows all the time. If this host does not know all deletions since that
// version, the message holds the whole table, or has no version if the receiver does not understand that.
func (t *Table) rowsSince(after uint64, acceptsWhole bool, now time.Time) *peerv1.WatchedTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &peerv1.WatchedTable{
		Table: t.name, Version: t.version, AgeMs: uint32(now.Sub(t.freshness.readAt).Milliseconds()) + 1, ReturnedMs: t.recoveredMs(now),
		HistoryFrom: proto.Uint64(t.historyFrom),
	}
	unknown := after > 0 && after < t.historyFrom
	switch {
	case t.version == 0 || unknown && !acceptsWhole:
		m.Version, m.AgeMs, m.HistoryFrom = 0, 0, nil
	case unknown || after == 0:
		m.Whole, after = true, 0
	}
	for key, r := range t.rows {
		if r.changedVersion > after || r.isContradicted(now) {
			m.Rows = append(m.Rows, r.encode(key, now))
		}
	}
	return m
}

// isContradicted reports whether a host may have decided for another row that has a higher version.
func (r *row) isContradicted(now time.Time) bool {
	return !r.contradictedAt.IsZero() && now.Sub(r.contradictedAt) < maxWriteDelay
}

func (r *row) encode(key string, now time.Time) *peerv1.WatchedRow {
	m := &peerv1.WatchedRow{
		Key: key, Value: r.value, Version: r.version, Deleted: r.deleted, Expired: r.expired, Confirmed: r.confirmed,
		KnownMs: uint32(now.Sub(latest(r.learnedAt, r.lastDeletedAt)).Milliseconds()),
	}
	if n := len(r.refused); n > 0 {
		m.Refused = &peerv1.WatchedOrder{Start: r.refused[n-1].Start, Sequence: r.refused[n-1].Sequence}
	}
	return m
}

// rowsMessage returns a message with the present state of some rows. It has no version, because it lacks the rows that changed to an equivalent
// value: the receiver must not advance its position.
func (t *Table) rowsMessage(rows []store.WatchedRow, now time.Time) *peerv1.WatchedTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := &peerv1.WatchedTable{Table: t.name, ReturnedMs: t.recoveredMs(now)}
	for _, changed := range rows {
		if r := t.rows[changed.Key]; r != nil {
			m.Rows = append(m.Rows, r.encode(changed.Key, now))
		}
	}
	return m
}

// recoveredMs returns the time since the end of the last outage in milliseconds, at least 1, or 0 if expiryGrace has passed.
// t.mu must be held.
func (t *Table) recoveredMs(now time.Time) uint32 {
	elapsed := now.Sub(t.recoveredAt)
	if t.recoveredAt.IsZero() || elapsed >= expiryGrace {
		return 0
	}
	return uint32(elapsed.Milliseconds()) + 1
}

// decodeUpdate converts a message of a host, which answers a request for the changes after a version or is a push. Hosts of earlier versions don't
// state that an answer to a request for all rows is the whole table.
func decodeUpdate(m *peerv1.WatchedTable, from string, after uint64) update {
	u := update{
		from: from, version: m.GetVersion(), after: after, full: m.GetWhole() || after == 0 && m.GetVersion() > 0,
		historyFrom: m.GetVersion(), marks: map[string]mark{},
		age:           time.Duration(m.GetAgeMs()) * time.Millisecond,
		sinceRecovery: time.Duration(m.GetReturnedMs()) * time.Millisecond,
	}
	if m.HistoryFrom != nil {
		u.historyFrom = m.GetHistoryFrom()
	}
	for _, r := range m.GetRows() {
		u.rows = append(u.rows, store.WatchedRow{
			Key: r.GetKey(), Value: r.GetValue(), Version: r.GetVersion(), Deleted: r.GetDeleted(),
		})
		m := mark{expired: r.GetExpired(), confirmed: r.GetConfirmed(), known: time.Duration(r.GetKnownMs()) * time.Millisecond}
		if refused := r.GetRefused(); refused != nil {
			m.refused = &Order{Start: refused.GetStart(), Sequence: refused.GetSequence()}
		}
		u.marks[r.GetKey()] = m
	}
	return u
}
