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
	candidates := nearby(members, caller)
	if len(candidates) == 0 {
		candidates = addFarther(members, caller)
	}
	return pick(candidates, limit)
}

// nearby returns the hosts to which the requests of a caller should go, or nothing if there are not enough.
func nearby(members []membership.Member, caller Caller) []membership.Member {
	place := usable(members, func(m membership.Member) bool { return m.Place == caller.Place })
	if len(place) >= minNearby {
		return place
	}
	region := usable(members, caller.isNear)
	if len(region) >= minNearby {
		return region
	}
	if len(caller.Homes) == 0 {
		return nil
	}
	if len(region) > 0 {
		return region
	}
	return usable(members, func(m membership.Member) bool { return slices.Contains(caller.Homes, m.Region) })
}

// addFarther returns the hosts of a caller's region, and as many others as minNearby asks for. If there is no host in the region, it returns
// the hosts of all regions.
func addFarther(members []membership.Member, caller Caller) []membership.Member {
	all := usable(members, func(membership.Member) bool { return true })
	if len(all) < minNearby {
		return filter(members, func(m membership.Member) bool {
			return m.State == membership.StateAlive || m.State == membership.StateSuspect
		})
	}
	near := usable(members, caller.isNear)
	if len(near) == 0 {
		return all
	}
	far := usable(members, func(m membership.Member) bool { return !caller.isNear(m) })
	return append(near, pick(far, minNearby-len(near))...)
}

func (c Caller) isNear(m membership.Member) bool { return m.Region == c.Region }

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
