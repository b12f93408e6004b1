package permit

import (
	"container/heap"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// permit is a granted permit, which occupies one slot of its target.
type permit struct {
	key         permitKey
	target      *target
	holder      holder
	requestID   string
	route       string
	fingerprint uint64
	class       configv1.RequestClass
	// probe is set if the request probes a target that is quarantined or unreachable.
	probe bool
	// trial is set if the request was let through as a trial of its route (see admitTimeLeft).
	trial bool
	// warm (the target probably has the object in its cache), cold (the target is filling its caches) and slowdown (as reported by the
	// target) describe the target when the permit was granted.
	warm, cold bool
	slowdown   float64
	// recencyRank is the number of other objects that the target had served since it last served the request's object.
	recencyRank int
	// expectedEnd is when the request is expected to end; zero if unknown.
	expectedEnd time.Time
	granted     time.Time
	// process is the process of the target that the configuration named when the permit was granted.
	process process
	// expires is when the slot is reclaimed without a release.
	expires time.Time
	// heapIndex is the position in slotTable.expiries.
	heapIndex int
}

// slotTable holds the targets of a dispatcher and the permits that occupy their slots.
type slotTable struct {
	targets map[string]*target
	// order holds the targets in the order in which they were added.
	order    []*target
	permits  map[permitKey]*permit
	expiries expiryHeap
}

func newSlotTable() *slotTable {
	return &slotTable{targets: map[string]*target{}, permits: map[permitKey]*permit{}}
}

// target returns the record of a target. It creates a closed one if there is none.
func (s *slotTable) target(name string) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{name: name, closed: true}
		s.targets[name] = t
		s.order = append(s.order, t)
	}
	return t
}

// configure applies the targets of a configuration snapshot and closes those that a drain takes out of service at now. If the
// ramp of a drain is in progress, next is when it ends and configure must be called again for the same snapshot; otherwise next
// is zero. restarted holds the targets that have another process than before. Targets that were removed from the configuration are kept,
// closed, until their last permit is released.
func (s *slotTable) configure(snap *config.Snapshot, key, failureDomain string, now time.Time) (restarted []*target, next time.Time) {
	for _, t := range s.order {
		t.closed = true
		t.slots = 0
	}
	drained, next := drainedTargets(snap, failureDomain, now)
	service := ServiceOf(key)
	for _, c := range targetsOfShard(snap, key, failureDomain) {
		t := s.target(c.GetName())
		t.address, t.instance, t.place = c.GetAddress(), c.GetInstance(), c.GetPlace()
		t.slots = int(c.GetSlots())
		if (process{t.name, t.config.GetStartedUnixMs()}).isOther(c.GetStartedUnixMs()) {
			restarted = append(restarted, t)
		}
		t.applyConfig(c, snap.Service(service).GetColdRequestsPerSecond(), now)
		t.closed = isDraining(c) || drained(c.GetName()) || t.leaving
	}
	s.limitLongSlots(snap.Policy(service).GetLongSharePercent())
	kept := s.order[:0]
	for _, t := range s.order {
		if t.slots == 0 && t.used == 0 {
			delete(s.targets, t.name)
			continue
		}
		kept = append(kept, t)
	}
	s.order = kept
	return restarted, next
}

// limitLongSlots sets the number of slots that long requests may occupy at each target, as a percentage of its slots rounded
// down. If that gives no slot at any open target, the first open one gets one long slot, since no long request could be served
// otherwise.
func (s *slotTable) limitLongSlots(percent uint32) {
	if percent == 0 {
		percent = defaultLongShare
	}
	sum := 0
	for _, t := range s.order {
		t.longSlots = t.slots * int(min(percent, 100)) / 100
		if !t.closed {
			sum += t.longSlots
		}
	}
	if i := slices.IndexFunc(s.order, func(t *target) bool { return !t.closed }); sum == 0 && i >= 0 {
		s.order[i].longSlots = 1
	}
}

// drainedTargets returns a predicate for the targets that the configured drains take out of service at now. next is when the
// first ramp in progress ends, after which the result differs for the same snapshot; it is zero if none is in progress. A drain
// of a single target takes effect at once. A drain of the failure domain leaves its targets in service until the ramp is over:
// steering moves the requests away gradually, and refusing all of them at once would send them to cold caches elsewhere.
func drainedTargets(snap *config.Snapshot, failureDomain string, now time.Time) (drained func(target string) bool, next time.Time) {
	all := false
	names := map[string]bool{}
	for _, o := range snap.List(config.KindDrain) {
		d := o.GetDrain()
		if d.GetCancelled() {
			continue
		}
		if d.GetTarget() != "" {
			names[d.GetTarget()] = true
		}
		if d.GetFailureDomain() != failureDomain {
			continue
		}
		end := time.UnixMilli(d.GetStartedUnixMs()).Add(time.Duration(d.GetRampSeconds()) * time.Second)
		switch {
		case !end.After(now):
			all = true
		case next.IsZero() || end.Before(next):
			next = end
		}
	}
	return func(target string) bool { return all || names[target] }, next
}

// grant occupies a free slot with a new permit.
func (s *slotTable) grant(p *permit) {
	s.occupy(p)
	invariant.Check(!p.target.closed && p.target.used <= p.target.slots, "permit.slots",
		"target %s has %d permits in use for %d slots", p.target.name, p.target.used, p.target.slots)
	invariant.Check(p.class != classLong || p.target.usedLong <= p.target.longSlots, "permit.long_share",
		"target %s has %d long permits in use for %d long slots", p.target.name, p.target.usedLong, p.target.longSlots)
}

// occupy adds a permit without checking that a slot is free: a permit recovered from an earlier dispatcher is in use already.
func (s *slotTable) occupy(p *permit) {
	p.target.used++
	if p.class == classLong {
		p.target.usedLong++
	}
	s.permits[p.key] = p
	heap.Push(&s.expiries, p)
}

// free removes a permit, frees its slot and returns the permit; nil if the table does not hold it.
func (s *slotTable) free(key permitKey) *permit {
	p := s.permits[key]
	if p == nil {
		return nil
	}
	delete(s.permits, key)
	heap.Remove(&s.expiries, p.heapIndex)
	p.target.used--
	p.target.health.remove(p)
	if p.class == classLong {
		p.target.usedLong--
	}
	invariant.Check(p.target.used >= 0, "permit.slots", "target %s has %d permits in use", p.target.name, p.target.used)
	return p
}

// popExpired frees the slot of one permit that has expired and returns the permit; nil if there is none.
func (s *slotTable) popExpired(now time.Time) *permit {
	if len(s.expiries) == 0 || s.expiries[0].expires.After(now) {
		return nil
	}
	return s.free(s.expiries[0].key)
}

// anyFree reports whether any target has a free slot, also one that may only be probed.
func (s *slotTable) anyFree() bool {
	return slices.ContainsFunc(s.order, func(t *target) bool { return t.freeSlots() > 0 })
}

// totals returns the free and the total slots of the targets that are neither closed nor unreachable.
func (s *slotTable) totals() (free, total int) {
	for _, t := range s.order {
		if !t.closed && !t.health.down {
			free += t.freeAtRate(t.freeSlots())
			total += t.usableSlots()
		}
	}
	return free, total
}

// configured returns the number of slots of all targets in the configuration, usable or not.
func (s *slotTable) configured() int {
	sum := 0
	for _, t := range s.order {
		sum += t.slots
	}
	return sum
}

// capacity returns the slots that a request class can take now, and the slots it could have in total while the other class
// keeps those that it occupies.
func (s *slotTable) capacity(class configv1.RequestClass) (free, usable int) {
	for _, t := range s.order {
		if t.closed || t.health.down {
			continue
		}
		free += t.freeAtRate(t.freeSlotsFor(class))
		if class == classLong {
			usable += t.longSlots
		} else {
			usable += max(0, t.usableSlots()-t.usedLong)
		}
	}
	return free, usable
}
