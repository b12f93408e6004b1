package permit

import (
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit/placement"
)

// target is the dispatcher's record of one target: its slots, and what was observed of its health and speed.
type target struct {
	name    string
	address string
	// place is the failure domain that the target is in, where several share the dispatcher; empty if none do.
	place string
	// instance is the instance ID that requests must carry, which the target verifies; empty if it verifies none.
	instance string
	slots    int
	used     int
	// usedLong counts the slots that long requests occupy. It exceeds longSlots only through permits that were recovered
	// from an earlier dispatcher.
	usedLong  int
	longSlots int
	health    targetHealth
	// closed is set while the target is draining, leaving or no longer configured. It then gets no new permits. leaving is set once its
	// present process has stated that it is leaving.
	closed, leaving bool
	// config is the configuration that was applied last.
	config   *configv1.Target
	nameHash uint64
	// recentObjects holds the hashes of the objects that the target served, most recent first.
	recentObjects placement.RecentObjects
	speed         placement.Speed
	// lastAnswer is when the target last responded to a request.
	lastAnswer time.Time
	// aliveAt is when the header of a response of the target was last read, and endedAt when it was last found to have ended.
	aliveAt, endedAt time.Time
	// awaitingWaiters counts the waiting requests whose awaitedTarget is this target.
	awaitingWaiters int
	// coldUntil is when the target stops being cold (still filling its caches). Until then cold limits its requests.
	coldUntil time.Time
	cold      rateBucket
	// rateLimit keeps the limit that the target stated last, at rateReportedAt. rateLimitSlots is the number of slots that can be
	// occupied at that rate.
	rateLimit      rateBucket
	rateReportedAt time.Time
	rateLimitSlots int
}

// freeSlots returns the number of free slots; 0 while the target is closed.
func (t *target) freeSlots() int {
	if t.closed {
		return 0
	}
	return max(0, t.slots-t.used)
}

// freeSlotsFor returns the number of free slots that a request class may occupy.
func (t *target) freeSlotsFor(class configv1.RequestClass) int {
	if class == classLong {
		return min(t.freeSlots(), max(0, t.longSlots-t.usedLong))
	}
	return t.freeSlots()
}

// load returns the used slots and the limit that apply to a request class. The ratio used/limit is the target's load.
func (t *target) load(class configv1.RequestClass) (used, limit int) {
	if class == classLong {
		return t.usedLong, t.longSlots
	}
	return t.used, t.slots
}

// lessLoadedThan compares the used/limit ratios of a request class by cross-multiplication, which avoids floating point.
func (t *target) lessLoadedThan(o *target, class configv1.RequestClass) bool {
	used, limit := t.load(class)
	otherUsed, otherLimit := o.load(class)
	return used*otherLimit < otherUsed*limit
}
