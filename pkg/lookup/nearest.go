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

// Nearest returns up to limit hosts for a caller, which picks one of them at random. They are the alive hosts of its failure domain if there
// are at least minNearby, or else those of its region.
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
	place := usable(members, func(m membership.Member) bool { return m.Place == caller.Place })
	if len(place) >= minNearby {
		return place
	}
	near := usable(members, caller.isNear)
	if len(near) >= minNearby || len(near) > 0 && len(caller.Homes) > 0 {
		return near
	}
	if home := usable(members, caller.isHome); len(home) > 0 {
		return home
	}
	far := usable(members, func(m membership.Member) bool { return !caller.isNear(m) })
	switch {
	case len(near)+len(far) < minNearby:
		return filter(members, func(m membership.Member) bool {
			return m.State == membership.StateAlive || m.State == membership.StateSuspect
		})
	case len(near) == 0:
		return far
	}
	return append(near, pick(far, minNearby-len(near))...)
}

func (c Caller) isNear(m membership.Member) bool { return m.Region == c.Region }

func (c Caller) isHome(m membership.Member) bool { return slices.Contains(c.Homes, m.Region) }

// usable returns the alive members that reach targets and for which keep returns true.
func usable(members []membership.Member, keep func(membership.Member) bool) []membership.Member {
	return filter(members, func(m membership.Member) bool { return m.IsUsable() && keep(m) })
}

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
