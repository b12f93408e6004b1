// Package shuffle orders lists at random.
package shuffle

import (
	"cmp"
	"slices"
)

// Weighted returns the items in a random order in which each is first with a probability proportional to its weight, which
// must be above 0. exp draws from the exponential distribution with rate 1.
func Weighted[T any](items []T, weight func(T) float64, exp func() float64) []T {
	type keyed struct {
		item T
		key  float64
	}
	list := make([]keyed, len(items))
	for i, item := range items {
		// The smallest of exponential draws with rate w picks an item with a probability proportional to its weight w.
		list[i] = keyed{item, exp() / weight(item)}
	}
	slices.SortFunc(list, func(a, b keyed) int { return cmp.Compare(a.key, b.key) })
	ordered := make([]T, len(list))
	for i, k := range list {
		ordered[i] = k.item
	}
	return ordered
}
