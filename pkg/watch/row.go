package watch

import (
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// maxRefused limits the processes of a row of which refused values are remembered. Late writes of more within maxWriteDelay would need as many
// restarts.
const maxRefused = 4

type row struct {
	value   []byte
	version uint64
	// changedVersion is the version of the last change to a value that is not equivalent; it is at most version.
	changedVersion uint64
	deleted        bool
	// order is the order of the value, nil if it is not known. A deleted row keeps its last value.
	order *Order
	// readHere is set if this host has read all writes of the row from the platform since value was written.
	readHere bool
	// writtenAt is when this host read the last write of the row, also a refused one, if readHere is set.
	writtenAt time.Time
	// expired is set on a deleted row whose writer had been silent for so long that the platform may have deleted it for that reason.
	expired bool
	// learnedAt is when value arrived at the first host that passed it on.
	learnedAt time.Time
	// refused holds the orders of the last values that were refused, one for each of up to maxRefused processes, the latest one last.
	refused []Order
	// confirmed is set if a value of this process was accepted although the order contradicted it or did not decide.
	confirmed bool
	// contradictedAt is when another row was refused, or this one accepted, against the order of their versions or values, or zero. Hosts that
	// have decided otherwise may be beyond this version, and must be told this row again.
	contradictedAt time.Time
	// from is the host that sent this version, empty if this host read it from the platform itself.
	from string
	// graceUntil is the end of the time for which a deleted row is still returned by Rows, or zero.
	graceUntil time.Time
	// deletedAt is when this host received the deletion. wasPresent is set if the row was present until then.
	deletedAt  time.Time
	wasPresent bool
	// lastDeletedAt is when this host received the last deletion: a row that is refused is deleted again.
	lastDeletedAt time.Time
}

// mark is what a host states of a row besides its value.
type mark struct {
	expired, confirmed bool
	// known is the time since the host learned of it.
	known time.Duration
	// refused is the order of the last value that was refused because of the row, or nil.
	refused *Order
}

// verdict is what becomes of a row that arrives.
type verdict int

const (
	// rowOutdated is a row that is not newer than the local one.
	rowOutdated verdict = iota
	// rowRefused is a row that was performed after the local one but made before it, as far as is known.
	rowRefused
	rowAccepted
	// rowConfirmed is a row that is accepted although the order of the values contradicts it or does not decide.
	rowConfirmed
)

// arrival is a row that arrives, with what is known of its write.
type arrival struct {
	store.WatchedRow
	order *Order
	// from is the host that sent the row, empty if this host read it from the platform.
	from string
	mark
	// learnedAt is when the first host learned of it.
	learnedAt time.Time
	// performedAfter is a time after which the platform has performed the write, or zero.
	performedAfter time.Time
}

// mayBeLate reports whether the write may have been made before one that this host learned of at a time, because the platform may have performed
// it late.
func (a *arrival) mayBeLate(learnedAt time.Time) bool {
	return a.performedAfter.IsZero() || a.performedAfter.Sub(learnedAt) < maxWriteDelay
}

// judge decides on a value that arrives for a row.
func (r *row) judge(a *arrival) verdict {
	newer := a.Version > r.version
	if r.order == nil || a.order == nil {
		return acceptedIf(newer)
	}
	otherProcess := a.order.Start != r.order.Start
	switch {
	case newer && a.confirmed && (otherProcess || r.deleted && !r.order.after(*a.order)):
		return rowConfirmed
	case !newer && r.confirmed && otherProcess:
		return rowOutdated
	case r.deleted:
		return r.judgeReturn(a)
	case a.order.after(*r.order):
		return rowAccepted
	case !newer || *a.order == *r.order:
		return acceptedIf(newer)
	case a.mayBeLate(r.learnedAt) || r.hasRefusedLater(a):
		return rowRefused
	}
	return rowConfirmed
}

// hasRefusedLater reports whether a later value of the same process was refused.
func (r *row) hasRefusedLater(a *arrival) bool {
	i := r.refusedOf(a.order.Start)
	return i >= 0 && !a.order.after(r.refused[i])
}

// refusedOf returns the index of the last refused value of a process, or -1.
func (r *row) refusedOf(start uint64) int {
	return slices.IndexFunc(r.refused, func(o Order) bool { return o.Start == start })
}

func (r *row) isSameProcess(o *row) bool {
	return r.order != nil && o.order != nil && r.order.Start == o.order.Start
}

func acceptedIf(newer bool) verdict {
	if newer {
		return rowAccepted
	}
	return rowOutdated
}

// judgeReturn decides on a value that arrives for a deleted row. A process that has deleted its row does not come back: another value of it was
// written before the deletion and is performed after it. A process whose row has expired, as it may have around an outage of the platform, is
// expected back.
func (r *row) judgeReturn(a *arrival) verdict {
	switch {
	case a.Version <= r.version:
		return rowOutdated
	case a.order.Start > r.order.Start:
		return rowAccepted
	case !a.order.after(*r.order) && (a.mayBeLate(r.learnedAt) || r.hasRefusedLater(a)):
		return rowRefused
	case a.mayBeLate(r.lastDeletedAt) && !r.expired && r.graceUntil.IsZero():
		return rowRefused
	}
	return rowConfirmed
}

func newRow(a *arrival, now time.Time) *row {
	return &row{
		value: a.Value, version: a.Version, changedVersion: a.Version, order: a.order, from: a.from, confirmed: a.confirmed,
		learnedAt: a.learnedAt, readHere: a.from == "", writtenAt: now,
	}
}

// noteOutdated records what a row tells that does not replace this one.
func (r *row) noteOutdated(a *arrival, now time.Time) {
	if a.Version == r.version && a.from == "" && !r.readHere {
		r.readHere, r.writtenAt = true, now
	}
	if r.deleted {
		r.noteLastValue(a)
	}
}

// noteRefused records the order of a value that is refused, and that other hosts must be told of it, unless a later one of the same process is
// known.
func (r *row) noteRefused(order *Order, now time.Time) {
	i := r.refusedOf(order.Start)
	if i >= 0 && !order.after(r.refused[i]) {
		return
	}
	if i < 0 && len(r.refused) == maxRefused {
		i = 0
	}
	if i >= 0 {
		r.refused = slices.Delete(r.refused, i, i+1)
	}
	r.refused = append(r.refused, *order)
	r.contradictedAt = now
}

// noteLastValue records a value that was written before the deletion, unless a later one is known.
func (r *row) noteLastValue(a *arrival) {
	if a.order != nil && (r.order == nil || a.order.after(*r.order)) {
		r.value, r.order, r.learnedAt = a.Value, a.order, a.learnedAt
	}
}

// wasWrittenBefore reports whether the value of this row was written before a deletion that has a lower version, as far as is known.
func (r *row) wasWrittenBefore(deletion *arrival, now time.Time) bool {
	if r.order == nil || deletion.order == nil || r.confirmed {
		return false
	}
	tombstone := &row{version: deletion.Version, order: deletion.order, learnedAt: now, expired: deletion.expired, lastDeletedAt: now}
	return tombstone.judgeReturn(&arrival{WatchedRow: store.WatchedRow{Version: r.version}, order: r.order}) == rowRefused
}
