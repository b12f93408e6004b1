// Package rendezvous chooses the owner of a key among nodes by highest random weight, so that a change of one node moves
// only the keys of that node.
package rendezvous

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Rank returns the nodes by descending weight for key. The input is not changed.
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
	for i, w := range list {
		ranked[i] = w.node
	}
	return ranked
}

// Node is a node with a weight: the share of the keys that it owns is proportional to it.
type Node struct {
	Name   string
	Weight float64
}

// RankWeighted returns the names of the nodes in the order in which they own a key. With equal weights it is that of Rank.
func RankWeighted(key string, nodes []Node) []string {
	type scored struct {
		name  string
		score float64
	}
	list := make([]scored, len(nodes))
	for i, n := range nodes {
		// The smallest of exponential draws with rate w picks a node with a probability proportional to its weight w.
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

// Owner returns the node with the highest weight for key, or an empty string if there are no nodes.
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

func weight(key, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return mix(d.Sum64())
}

// mix finalizes the hash: the weights of keys that share a prefix must be independent in all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}
