package lookup

import (
	"math/rand/v2"

	"github.com/rattanhitch/rattanhitch/internal/shuffle"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// minNearby is the number of hosts at which Nearest stops widening its search. With two hosts, a caller has another one to
// turn to when its first fails.
const minNearby = 2

// Nearest returns up to limit hosts for a caller whose failure domain is place and whose region is region. It considers the
// alive hosts of the failure domain, then of the region, then of all regions, and stops at the first group of at least
// minNearby hosts. Hosts that reach no target are not in these groups, because requests through them take longer. If no group is large
// enough, it considers all alive and suspect hosts; leaving and dead ones are never returned. The order is random, weighted by the
// processor time (Capacity) of the hosts, so that larger hosts get more callers.
func Nearest(members []membership.Member, place, region string, limit int) []membership.Member {
	filters := []func(m membership.Member) bool{
		func(m membership.Member) bool { return m.IsUsable() && m.Place == place },
		func(m membership.Member) bool { return m.IsUsable() && m.Region == region },
		membership.Member.IsUsable,
		func(m membership.Member) bool {
			return m.State == membership.StateAlive || m.State == membership.StateSuspect
		},
	}
	var candidates []membership.Member
	for _, filter := range filters {
		candidates = candidates[:0]
		for _, m := range members {
			if filter(m) {
				candidates = append(candidates, m)
			}
		}
		if len(candidates) >= minNearby {
			break
		}
	}
	return shuffle.Weighted(candidates, membership.Member.ProcessorTime, rand.ExpFloat64)[:min(limit, len(candidates))]
}
