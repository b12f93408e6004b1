// Package shuffle provides weighted random permutations.
package shuffle

import (
	"cmp"
	"slices"
)

// Weighted returns a random permutation of the items: each is first with a probability proportional to its weight, and so on
// for the rest. Weights must be above 0. exp draws from the exponential distribution with rate 1, as rand.ExpFloat64 does.
func Weighted[T any](items []T, weight func(T) float64, exp func() float64) []T {
	type keyed struct {
		item T
		key  float64
	}
	list := make([]keyed, len(items))
	for i, item := range items {
		// exp()/w is an exponential draw with rate w, and the least of such draws belongs to an item with a probability
		// proportional to w.
		list[i] = keyed{item, exp() / weight(item)}
	}
	slices.SortFunc(list, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	ordered := make([]T, len(list))
	for i, k := range list {
		ordered[i] = k.item
	}
	return ordered
}
