package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
)

// RankForDuty returns members in the order in which they should take on a duty that one host fulfils for many, such as reading for them or
// passing messages on to them. Hosts with more processor time come first, because the work of a duty grows with the number of hosts and may be
// more than a small one can do; among hosts with about as much, rendezvous hashing of the key decides, so that different duties go to
// different hosts. Hosts that are overloaded come after all others. A host ranks first of a subset of the members if it does of all.
func RankForDuty(key string, members []Member) []Member {
	names := make([]string, len(members))
	byName := make(map[string]Member, len(members))
	for i, m := range members {
		names[i] = m.Host
		byName[m.Host] = m
	}
	ranked := make([]Member, 0, len(members))
	for _, name := range rendezvous.Rank(key, names) {
		ranked = append(ranked, byName[name])
	}
	slices.SortStableFunc(ranked, func(a, b Member) int { return cmp.Compare(b.strength(), a.strength()) })
	return ranked
}

// strength is the binary order of magnitude of the member's processor time; it is negative if the member has none left.
func (m Member) strength() int {
	order := bits.Len32(m.Capacity)
	if m.Overloaded {
		return order - bits.UintSize
	}
	return order
}
