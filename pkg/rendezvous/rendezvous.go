// Package rendezvous implements rendezvous hashing (highest random weight): it assigns keys to nodes so that adding or
// removing a node reassigns only the keys of that node.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes sorted by descending weight for key, the owner first. It does not modify nodes.
func Rank(key string, nodes []string) []string {
	type weighted struct {
		node   string
		weight uint64
	}
	list := make([]weighted, len(nodes))
	for i, node := range nodes {
		list[i] = weighted{node, weight(key, node)}
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.node, b.node))
	})
	ranked := make([]string, len(list))
	for i, n := range list {
		ranked[i] = n.node
	}
	return ranked
}

// Node is a node of a weighted ranking.
type Node struct {
	Name string
	// Weight is proportional to the fraction of the keys that the node owns.
	Weight float64
}

// RankWeighted returns the names of the nodes in order of preference for key, the owner first. With equal weights the order is
// the same as that of Rank.
func RankWeighted(key string, nodes []Node) []string {
	type scored struct {
		name  string
		score float64
	}
	list := make([]scored, len(nodes))
	for i, n := range nodes {
		// Each node's hash yields a sample of the exponential distribution with rate w, its weight. The probability that a
		// node has the smallest sample is proportional to w.
		uniform := (float64(weight(key, n.Name)>>11) + 1) / (1 << 53)
		list[i] = scored{n.Name, -math.Log(uniform) / n.Weight}
	}
	slices.SortFunc(list, func(a, b scored) int {
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.name, b.name))
	})
	ranked := make([]string, len(list))
	for i, s := range list {
		ranked[i] = s.name
	}
	return ranked
}

// Owner returns the node with the highest weight for key, or an empty string if nodes is empty. It is the first node of Rank.
func Owner(key string, nodes []string) string {
	best, bestWeight := "", uint64(0)
	for _, node := range nodes {
		w := weight(key, node)
		if best == "" || w > bestWeight || w == bestWeight && node < best {
			best, bestWeight = node, w
		}
	}
	return best
}

// weight returns a 64-bit hash of key and node.
func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return mixBits(d.Sum64())
}

// mixBits finalizes a hash so that the weights of keys with a common prefix are independent in all bits.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
