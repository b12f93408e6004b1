package lookup

import (
	"math/rand/v2"

	"github.com/rattanhitch/rattanhitch/internal/shuffle"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// enoughNear is the number of live hosts in a caller's failure domain from which on no others are named: a caller can then
// turn to another one when its host fails.
const enoughNear = 2

// Nearest returns the hosts that a caller in a failure domain and region should use, at most limit, with a probability that grows with
// their processor time: those of
// its failure domain, or of its region, or all, whichever are enough. Leaving and dead hosts are left out, and suspect ones
// unless there are no others.
func Nearest(members []membership.Member, place, region string, limit int) []membership.Member {
	filters := []func(m membership.Member) bool{
		func(m membership.Member) bool { return m.State == membership.StateAlive && m.Place == place },
		func(m membership.Member) bool { return m.State == membership.StateAlive && m.Region == region },
		func(m membership.Member) bool { return m.State == membership.StateAlive },
		func(m membership.Member) bool { return m.State == membership.StateSuspect },
	}
	var list []membership.Member
	for _, keep := range filters {
		list = list[:0]
		for _, m := range members {
			if keep(m) {
				list = append(list, m)
			}
		}
		if len(list) >= enoughNear {
			break
		}
	}
	capacity := func(m membership.Member) float64 { return float64(max(m.Capacity, 1)) }
	return shuffle.Weighted(list, capacity, rand.ExpFloat64)[:min(limit, len(list))]
}
