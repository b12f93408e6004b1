package membership

import "github.com/rattanhitch/rattanhitch/pkg/rendezvous"

// ProcessorTime returns the capacity of the member in thousandths of a core, or 1 if it is unknown, so that it can serve as a weight.
func (m Member) ProcessorTime() float64 { return float64(max(m.Capacity, 1)) }

// Rank returns members in order of preference for a key, by rendezvous hashing with the given weights.
func Rank(key string, members []Member, weight func(Member) float64) []Member {
	nodes := make([]rendezvous.Node, len(members))
	byName := make(map[string]Member, len(members))
	for i, m := range members {
		nodes[i] = rendezvous.Node{Name: m.Host, Weight: weight(m)}
		byName[m.Host] = m
	}
	list := make([]Member, 0, len(members))
	for _, name := range rendezvous.RankWeighted(key, nodes) {
		list = append(list, byName[name])
	}
	return list
}
