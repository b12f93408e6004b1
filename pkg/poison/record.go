package poison

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// quarantine is how long a request is refused after two crashes. Two targets may have ended for another reason, so the
	// request gets another try before it is refused for longer. Targets that ended are usually back by then.
	quarantine = 10 * time.Second
	// poisonTTL is how long a request is refused after three crashes, and how long crashes and answers are remembered.
	poisonTTL = 10 * time.Minute
	// trialSpacing separates the first tries after a quarantine in different failure domains, which would otherwise each end a
	// target at the same time. trialSlots is the number of different delays.
	trialSpacing = 500 * time.Millisecond
	trialSlots   = 8
	// restartTime is the shortest time between two crashes of one target: reports within it are about the same crash.
	restartTime = time.Second
	// maxCrashes bounds the crashes in one record; the verdict depends on three.
	maxCrashes = 8
)

// Crash is the end of a target while it ran a request.
type Crash struct {
	Target string
	// FailureDomain is the failure domain whose dispatcher sent the request to the target.
	FailureDomain string
	// Started is when the request was sent to the target, Ended when its connection was lost.
	Started, Ended time.Time
}

// record is what is known about the requests with one fingerprint. Records of different hosts are merged, in any order.
type record struct {
	// crashes holds the crashes after the last answer, in order of their ends.
	crashes []Crash
	// answeredAt is when a target last answered the request, or zero. A poison request is never answered, so an answer voids the
	// crashes before it.
	answeredAt time.Time
	// persisted is set while the platform's table has a row of the record, as far as this host knows. It is not merged.
	persisted bool
}

// add adds a crash and reports whether the record has changed. Crashes that ended poisonTTL before the last one, and the oldest of more
// than maxCrashes, make room.
func (r *record) add(c Crash) bool {
	if !c.Ended.After(r.answeredAt) {
		return false
	}
	known := func(o Crash) bool { return o.Target == c.Target && c.Ended.Sub(o.Ended).Abs() < restartTime }
	if slices.ContainsFunc(r.crashes, known) {
		return false
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int {
		return cmp.Or(a.Ended.Compare(b.Ended), cmp.Compare(a.Target, b.Target))
	})
	last := r.lastEnd()
	r.crashes = slices.DeleteFunc(r.crashes, func(o Crash) bool { return last.Sub(o.Ended) > poisonTTL })
	r.crashes = r.crashes[max(0, len(r.crashes)-maxCrashes):]
	return slices.Contains(r.crashes, c)
}

// answered adds an answer and reports whether the record has changed.
func (r *record) answered(at time.Time) bool {
	if !at.After(r.answeredAt) {
		return false
	}
	r.answeredAt = at
	r.crashes = slices.DeleteFunc(r.crashes, func(c Crash) bool { return !c.Ended.After(at) })
	return true
}

// merge adds the content of another record and reports whether this one has changed.
func (r *record) merge(o *record) bool {
	changed := r.answered(o.answeredAt)
	for _, c := range o.crashes {
		changed = r.add(c) || changed
	}
	return changed
}

// strikes returns how often the request has made targets end. Crashes of runs that had started before the first of them ended
// count once, or twice if they are in several failure domains: a popular request runs at many targets, and a failure that breaks the
// connections of one failure domain affects all of its copies there.
func (r *record) strikes() int {
	count := 0
	var first Crash
	severalDomains := false
	for i, c := range r.crashes {
		switch {
		case i == 0 || c.Started.After(first.Ended):
			count++
			first, severalDomains = c, false
		case c.FailureDomain != first.FailureDomain && !severalDomains:
			count++
			severalDomains = true
		}
	}
	return count
}

// lastEnd returns when the last crash ended, or zero.
func (r *record) lastEnd() time.Time {
	if len(r.crashes) == 0 {
		return time.Time{}
	}
	return r.crashes[len(r.crashes)-1].Ended
}

// refusedUntil returns until when the request is refused, or zero if it is not. slot is the caller's delay after a quarantine, in
// units of trialSpacing.
func (r *record) refusedUntil(slot int) time.Time {
	switch strikes := r.strikes(); {
	case strikes >= 3:
		return r.lastEnd().Add(poisonTTL)
	case strikes == 2:
		return r.lastEnd().Add(quarantine + time.Duration(slot)*trialSpacing)
	}
	return time.Time{}
}

// expired reports whether the record is too old to matter.
func (r *record) expired(now time.Time) bool {
	return now.Sub(r.answeredAt) > poisonTTL && now.Sub(r.lastEnd()) > poisonTTL
}

// encode converts a record to a message, in which all times are relative to now: the clocks of hosts differ.
func (r *record) encode(fingerprint uint64, now time.Time) *peerv1.PoisonRecord {
	m := &peerv1.PoisonRecord{Fingerprint: fingerprint, AnsweredAgoMs: -1}
	if !r.answeredAt.IsZero() {
		m.AnsweredAgoMs = now.Sub(r.answeredAt).Milliseconds()
	}
	for _, c := range r.crashes {
		m.Crashes = append(m.Crashes, &peerv1.PoisonCrash{
			Target: c.Target, FailureDomain: c.FailureDomain,
			StartedAgoMs: now.Sub(c.Started).Milliseconds(), EndedAgoMs: now.Sub(c.Ended).Milliseconds(),
		})
	}
	return m
}

// decode is the inverse of encode.
func decode(m *peerv1.PoisonRecord, now time.Time) *record {
	ago := func(ms int64) time.Time { return now.Add(-time.Duration(ms) * time.Millisecond) }
	r := &record{}
	if m.GetAnsweredAgoMs() >= 0 {
		r.answeredAt = ago(m.GetAnsweredAgoMs())
	}
	for _, c := range m.GetCrashes() {
		r.add(Crash{
			Target: c.GetTarget(), FailureDomain: c.GetFailureDomain(),
			Started: ago(c.GetStartedAgoMs()), Ended: ago(c.GetEndedAgoMs()),
		})
	}
	return r
}
