package main

import (
	"net/netip"
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

// layout is a data structure for the prefix table. The alternatives to pkg/prefix implement only what the comparison needs.
type layout interface {
	lookup(netip.Addr) (uint16, bool)
	// change returns a copy in which one block has another site. The copy shares unchanged memory with the original as far as
	// the layout allows it.
	change(netip.Prefix, uint16) layout
}

// chunkedLayout is the layout of pkg/prefix.
type chunkedLayout struct{ table *prefix.Table }

func (c chunkedLayout) lookup(a netip.Addr) (uint16, bool) { return c.table.Lookup(a) }

func (c chunkedLayout) change(p netip.Prefix, site uint16) layout {
	_, next, err := c.table.Change([]prefix.Assignment{{Prefix: p, Site: site}}, nil)
	return chunkedLayout{must(next, err)}
}

// hashLayout has one map from prefixes to sites. A lookup probes each prefix length that occurs, longest first. A change copies
// the map.
type hashLayout struct {
	sites   map[netip.Prefix]uint16
	lengths [2][]int
}

func newHashed(list []prefix.Assignment) layout {
	h := &hashLayout{sites: make(map[netip.Prefix]uint16, len(list))}
	for _, a := range list {
		h.sites[a.Prefix] = a.Site
		f := a.Prefix.Addr().BitLen() / 128
		if !slices.Contains(h.lengths[f], a.Prefix.Bits()) {
			h.lengths[f] = append(h.lengths[f], a.Prefix.Bits())
		}
	}
	for _, lengths := range h.lengths {
		slices.SortFunc(lengths, func(a, b int) int { return b - a })
	}
	return h
}

func (h *hashLayout) lookup(a netip.Addr) (uint16, bool) {
	for _, n := range h.lengths[a.BitLen()/128] {
		p, _ := a.Prefix(n)
		if site, ok := h.sites[p]; ok {
			return site, true
		}
	}
	return 0, false
}

func (h *hashLayout) change(p netip.Prefix, site uint16) layout {
	next := &hashLayout{make(map[netip.Prefix]uint16, len(h.sites)), h.lengths}
	for k, v := range h.sites {
		next.sites[k] = v
	}
	next.sites[p] = site
	return next
}

// poptrieBytes returns a lower bound for the memory of a poptrie with 6 bits per level: its inner nodes of 24 bytes (two bitmaps
// and two indexes) without its leaves. There is an inner node for each path that leads to a longer block.
func poptrieBytes(list []prefix.Assignment) float64 {
	const bitsPerLevel, nodeBytes = 6, 24
	nodes := map[netip.Prefix]struct{}{}
	for _, a := range list {
		for length := 0; length < a.Prefix.Bits(); length += bitsPerLevel {
			path, _ := a.Prefix.Addr().Prefix(length)
			nodes[path] = struct{}{}
		}
	}
	return float64(len(nodes) * nodeBytes)
}

func measureLayouts(s *settings) []*series {
	lower := &series{name: "poptrie, inner nodes only: memory", size: "blocks", unit: "MB"}
	for _, n := range s.blockCounts() {
		lower.add(n, poptrieBytes(assignments(n, typicalBlock))/1e6)
	}
	all := []*series{lower}
	for _, l := range []struct {
		name  string
		build func([]prefix.Assignment) layout
	}{
		{"chunks (pkg/prefix)", func(list []prefix.Assignment) layout { return chunkedLayout{must(prefix.New(1, list))} }},
		{"flat arrays", newFlat},
		{"hash map", newHashed},
		{"multibit trie", newTrie},
	} {
		memory := &series{name: l.name + ": live memory", size: "blocks", unit: "MB"}
		lookup := &series{name: l.name + ": lookup", size: "blocks", unit: "ns CPU"}
		change := &series{name: l.name + ": change one block", size: "blocks", unit: "us CPU"}
		copied := &series{name: l.name + ": bytes allocated by that", size: "blocks", unit: "kB"}
		for _, n := range s.blockCounts() {
			list := assignments(n, typicalBlock)
			table, bytes := liveHeapOf(func() layout { return l.build(list) })
			requireEqual(table, list)
			addresses := addressesIn(list)
			memory.add(n, bytes/1e6)
			lookup.add(n, 1e9*cpuPerOp(s.minCPUTime, func(n int) {
				for i := range n {
					table.lookup(addresses[i&(len(addresses)-1)])
				}
			}))
			i := 0
			changeOne := func() {
				i += 7919
				table.change(list[i%len(list)].Prefix, 3)
			}
			change.add(n, 1e6*cpuPerOp(s.minCPUTime, func(n int) {
				for range n {
					changeOne()
				}
			}))
			copied.add(n, allocPerOp(20, changeOne)/1e3)
		}
		all = append(all, memory, lookup, change, copied)
	}
	return all
}

// requireEqual panics if lookups in a layout and in pkg/prefix differ, because measurements of a wrong layout are worthless.
func requireEqual(l layout, list []prefix.Assignment) {
	table := must(prefix.New(1, list))
	for _, a := range addressesIn(list) {
		have, haveOK := l.lookup(a)
		want, wantOK := table.Lookup(a)
		if have != want || haveOK != wantOK {
			panic("layout differs from pkg/prefix at " + a.String())
		}
	}
}
