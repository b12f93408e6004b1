package watch

import "time"

// freshness is what a host knows of how up to date its copy of a table is, and the rows of it that are in force.
type freshness struct {
	// readAt is the latest time at which the platform is known to have had no newer version than the copy.
	readAt time.Time
	// exchangedAt is the latest time at which a host or the platform has told this host all that it knew.
	exchangedAt time.Time
	// returnedAt is readAt when the rows were last returned to be put into force, returnedAll that none has changed since, and changedAt when the
	// first one changed since.
	returnedAt  time.Time
	returnedAll bool
	changedAt   time.Time
	// behindAt is the time up to which the rows in force are up to date while newer ones are not in force, or zero. waitingSince is when the
	// first of the newer ones arrived.
	behindAt, waitingSince time.Time
}

// confirm records an answer that tells all changes up to its version.
func (f *freshness) confirm(u update, now time.Time) {
	f.readAt = latest(f.readAt, now.Add(-u.age-u.took))
	f.exchangedAt = latest(f.exchangedAt, now.Add(-u.took))
}

// noteChange records that a row has changed that is not in force yet. readAt is what that was before.
func (f *freshness) noteChange(now, readAt time.Time) {
	if f.returnedAll || f.changedAt.IsZero() {
		f.changedAt = now
	}
	f.returnedAll = false
	if f.behindAt.IsZero() {
		f.behindAt, f.waitingSince = readAt, now
	}
}

// noteReturn records that all rows are returned to be put into force.
func (f *freshness) noteReturn() { f.returnedAt, f.returnedAll = f.readAt, true }

// noteInForce records that the rows that were last returned are in force.
func (f *freshness) noteInForce() {
	f.behindAt, f.waitingSince = time.Time{}, time.Time{}
	if !f.returnedAll {
		f.behindAt, f.waitingSince = f.returnedAt, f.changedAt
	}
}

// ageInForce returns the time for which the rows in force may have been out of date.
func (f *freshness) ageInForce(now time.Time) time.Duration {
	if f.behindAt.IsZero() {
		return now.Sub(f.readAt)
	}
	return now.Sub(f.behindAt)
}

// lag returns the time since the last complete answer or, if that is longer, since the first row arrived that is not in force.
func (f *freshness) lag(now time.Time) time.Duration {
	lag := now.Sub(f.exchangedAt)
	if f.waitingSince.IsZero() {
		return lag
	}
	return max(lag, now.Sub(f.waitingSince))
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earliest(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Age returns the time for which the copy may have been out of date. ok is false if the table was never read.
func (t *Table) Age(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Sub(t.freshness.readAt), t.version > 0
}

// SetInForce states that the rows that the last call of Rows returned are in force now.
func (t *Table) SetInForce() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.freshness.noteInForce()
}

// AgeInForce returns the time for which the rows in force may have been out of date. ok is false if the table was never read.
func (t *Table) AgeInForce(now time.Time) (age time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness.ageInForce(now), t.version > 0
}

// Lag returns the time for which this host may have been behind what other hosts and the platform could tell it: they have not answered since, or
// their rows have not been in force since. Unlike the age it does not grow while the platform answers no host. ok is false if the table was never
// read.
func (t *Table) Lag(now time.Time) (lag time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshness.lag(now), t.version > 0
}
