package lookup

import (
	"math/rand/v2"
	"slices"

	"github.com/rattanhitch/rattanhitch/internal/shuffle"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// minNearby is the number of hosts that Nearest tries to name. With two hosts, a caller has another one to turn to when its first fails.
const minNearby = 2

// Caller is where a caller is, and what it sends.
type Caller struct {
	// Place is the failure domain of the caller, Region its region.
	Place, Region string
	// Homes are the regions in which its requests may be served; empty means all.
	Homes []string
}

// Nearest returns up to limit hosts for a caller, which picks one of them at random. They are the usable hosts of its failure domain if these
// suffice, or else those of its region. If those do not suffice either, the overloaded ones of the region are named as well and not hosts of others: how much
// moves between regions, and how fast, is for the dispatchers to decide, and lookups have no limit for it.
//
// A single host of the region is enough for a caller whose requests have homes, because its requests must not leave them; without a host in
// its region, it gets the hosts of the home regions. Any other caller gets a few hosts of other regions as well, as many as minNearby
// asks for: it would send most of its requests there if all were named.
//
// Hosts that reach no target are named last, because requests through them take longer: only with all alive and suspect hosts, when there
// are not enough others. Leaving and dead hosts are never returned. The order is random, weighted by the processor time (Capacity) of
// the hosts, so that larger hosts get more callers.
func Nearest(members []membership.Member, caller Caller, limit int) []membership.Member {
	return pick(candidates(members, caller), limit)
}

// candidates returns the hosts from which Nearest picks.
func candidates(members []membership.Member, caller Caller) []membership.Member {
	place := newGroup(members, func(m membership.Member) bool { return m.Place == caller.Place })
	if place.suffices() {
		return place.usable
	}
	local := newGroup(members, caller.isNear).all()
	if len(local) >= minNearby || len(local) > 0 && len(caller.Homes) > 0 {
		return local
	}
	if home := newGroup(members, caller.isHome).all(); len(home) > 0 {
		return home
	}
	far := newGroup(members, func(m membership.Member) bool { return !caller.isNear(m) }).all()
	switch {
	case len(local)+len(far) < minNearby:
		return filter(members, func(m membership.Member) bool {
			return m.State == membership.StateAlive || m.State == membership.StateSuspect
		})
	case len(local) == 0:
		return far
	}
	return append(local, pick(far, minNearby-len(local))...)
}

// group holds the alive hosts of a failure domain or a region that reach targets.
type group struct{ usable, overloaded []membership.Member }

func newGroup(members []membership.Member, contains func(membership.Member) bool) group {
	return group{
		usable:     filter(members, func(m membership.Member) bool { return contains(m) && m.IsUsable() }),
		overloaded: filter(members, func(m membership.Member) bool { return contains(m) && m.ReachesTargets() && m.Overloaded }),
	}
}

// suffices reports whether a group has at least minNearby usable hosts, with the processor time to take over the callers of its overloaded ones.
func (g group) suffices() bool {
	return len(g.usable) >= minNearby && processorTime(g.usable) >= processorTime(g.overloaded)
}

// all returns the usable hosts of the group, and the overloaded ones unless the usable ones suffice.
func (g group) all() []membership.Member {
	if g.suffices() {
		return g.usable
	}
	return slices.Concat(g.usable, g.overloaded)
}

func processorTime(members []membership.Member) (sum float64) {
	for _, m := range members {
		sum += m.ProcessorTime()
	}
	return sum
}

func (c Caller) isNear(m membership.Member) bool { return m.Region == c.Region }

func (c Caller) isHome(m membership.Member) bool { return slices.Contains(c.Homes, m.Region) }

func filter(members []membership.Member, keep func(membership.Member) bool) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if keep(m) {
			list = append(list, m)
		}
	}
	return list
}

// pick returns up to limit members in random order, weighted by their processor time.
func pick(members []membership.Member, limit int) []membership.Member {
	return shuffle.Weighted(members, membership.Member.ProcessorTime, rand.ExpFloat64)[:min(limit, len(members))]
}
