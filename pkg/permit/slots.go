package permit

import (
	"container/heap"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// target is the dispatcher's account of one target's slots.
type target struct {
	name    string
	address string
	// instance is the identity that the target checks; empty if it checks none.
	instance string
	slots    int
	used     int
	// usedLong counts the slots that long work occupies, at most longSlots unless permits were recovered.
	usedLong  int
	longSlots int
	quality   targetHealth
	// suspectRequests counts the requests here that lost the connection at another target before.
	suspectRequests int
	// closed is set while the target is draining or no longer configured.
	closed bool
	// config is what the configuration said last.
	config   *configv1.Target
	nameHash uint64
	// recentObjects holds the objects that the target served lately.
	recentObjects recentObjects
	speed         speed
	// lastAnswer is when the target last answered a request.
	lastAnswer time.Time
	// awaitingWaiters counts the requests that wait for this target.
	awaitingWaiters int
	// coldUntil is when the target stops being cold. Until then it gets coldPerSecond requests a second, which are saved up
	// in coldTokens since coldAt.
	coldUntil      time.Time
	coldRate       float64
	coldTokens     float64
	coldRefilledAt time.Time
}

func (t *target) freeSlots() int {
	if t.closed {
		return 0
	}
	return max(0, t.slots-t.used)
}

// freeSlotsFor returns the slots that a class can take.
func (t *target) freeSlotsFor(class configv1.RequestClass) int {
	if class == classLong {
		return min(t.freeSlots(), max(0, t.longSlots-t.usedLong))
	}
	return t.freeSlots()
}

// load is the share of its slots that a class occupies at a target, as a fraction.
func (t *target) load(class configv1.RequestClass) (used, of int) {
	if class == classLong {
		return t.usedLong, t.longSlots
	}
	return t.used, t.slots
}

// permit is an occupied slot.
type permit struct {
	key         permitKey
	target      *target
	holder      holder
	requestID   string
	route       string
	fingerprint uint64
	class       configv1.RequestClass
	// probe is set if the permit tests a quarantined target.
	probe   bool
	suspect bool
	// objective is set for a request with an objective; warm, cold and slowdown are what was known of the target then.
	objective  bool
	warm, cold bool
	slowdown   float64
	// recencyRank is how many other objects the target had served since it served the request's.
	recencyRank int
	// expectedEnd is when it was expected to end; zero if unknown.
	expectedEnd time.Time
	granted     time.Time
	// expires is when the slot returns without a release.
	expires   time.Time
	heapIndex int
}

// slotTable holds the permits that are out and the targets they occupy.
type slotTable struct {
	targets  map[string]*target
	order    []*target
	permits  map[permitKey]*permit
	expiries expiryHeap
}

func newSlotTable() *slotTable {
	return &slotTable{targets: map[string]*target{}, permits: map[permitKey]*permit{}}
}

// target returns the account of a target, which starts closed if it is unknown.
func (s *slotTable) target(name string) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{name: name, closed: true}
		s.targets[name] = t
		s.order = append(s.order, t)
	}
	return t
}

// configure applies the configured targets at a moment, and returns when it must be called again for the same snapshot, or
// zero. Targets that are gone keep their account while permits are out.
func (s *slotTable) configure(snap *config.Snapshot, key, failureDomain string, now time.Time) (next time.Time) {
	for _, t := range s.order {
		t.closed = true
		t.slots = 0
	}
	drained, next := drainedTargets(snap, failureDomain, now)
	service := ServiceOf(key)
	for _, c := range targetsOfShard(snap, key, failureDomain) {
		t := s.target(c.GetName())
		t.address, t.instance = c.GetAddress(), c.GetInstance()
		t.slots = int(c.GetSlots())
		t.applyConfig(c, snap.Service(service).GetColdRequestsPerSecond(), now)
		t.closed = c.GetState() == configv1.TargetState_TARGET_STATE_DRAINING || drained(c.GetName())
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
	return next
}

// limitLongSlots limits long work at each target. If a share of each target's slots is less than one slot, one target gives a
// slot, because long work could never run otherwise.
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

// drainedTargets reports which targets a drain object takes out of service at a moment, and when that changes next without a
// change of the configuration; the time is zero if it does not. A target under a drain of its own gets nothing more at once.
// The targets of a failure domain stay in service until the drain's ramp is over: steering takes the requests away bit by
// bit, and refusing them all at once would send them to cold caches elsewhere.
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

// grant occupies a slot of a target that has one free.
func (s *slotTable) grant(p *permit) {
	s.occupy(p)
	invariant.Check(!p.target.closed && p.target.used <= p.target.slots, "permit.slots",
		"target %s has %d permits out for %d slots", p.target.name, p.target.used, p.target.slots)
	invariant.Check(p.class != classLong || p.target.usedLong <= p.target.longSlots, "permit.long_share",
		"target %s has %d long permits out for %d slots", p.target.name, p.target.usedLong, p.target.longSlots)
}

// occupy adds a permit without a check of the slots: a recovered permit exists already.
func (s *slotTable) occupy(p *permit) {
	p.target.used++
	if p.suspect {
		p.target.suspectRequests++
	}
	if p.class == classLong {
		p.target.usedLong++
	}
	s.permits[p.key] = p
	heap.Push(&s.expiries, p)
}

// free returns the slot of a permit; it returns nil if the permit is not out.
func (s *slotTable) free(key permitKey) *permit {
	p := s.permits[key]
	if p == nil {
		return nil
	}
	delete(s.permits, key)
	heap.Remove(&s.expiries, p.heapIndex)
	p.target.used--
	p.target.quality.remove(p)
	if p.suspect {
		p.target.suspectRequests--
	}
	if p.class == classLong {
		p.target.usedLong--
	}
	invariant.Check(p.target.used >= 0, "permit.slots", "target %s has %d permits out", p.target.name, p.target.used)
	return p
}

// popExpired removes and returns a permit that expires, or nil.
func (s *slotTable) popExpired(now time.Time) *permit {
	if len(s.expiries) == 0 || s.expiries[0].expires.After(now) {
		return nil
	}
	return s.free(s.expiries[0].key)
}

// totals returns the free and all slots of the targets that take new work.
func (s *slotTable) totals() (free, total int) {
	for _, t := range s.order {
		if !t.closed && !t.quality.down {
			free += t.freeSlots()
			total += t.slots
		}
	}
	return free, total
}

// capacity returns the free slots for a class and all that it can take while the other class keeps what it has.
func (s *slotTable) capacity(class configv1.RequestClass) (free, usable int) {
	for _, t := range s.order {
		if t.closed || t.quality.down {
			continue
		}
		free += t.freeSlotsFor(class)
		if class == classLong {
			usable += t.longSlots
		} else {
			usable += t.slots - t.usedLong
		}
	}
	return free, usable
}

// expiryHeap orders permits by expiry.
type expiryHeap []*permit

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push is part of heap.Interface.
func (h *expiryHeap) Push(x any) {
	p := x.(*permit)
	p.heapIndex = len(*h)
	*h = append(*h, p)
}

// Pop is part of heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	p := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return p
}

func (t *target) lessLoadedThan(o *target, class configv1.RequestClass) bool {
	used, of := t.load(class)
	otherUsed, otherOf := o.load(class)
	return used*otherOf < otherUsed*of
}
