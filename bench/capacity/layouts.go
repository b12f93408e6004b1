package main

import (
	"cmp"
	"math/bits"
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

// flatLayout has one sorted array per address family. Each block has the index of its parent, the innermost block that contains
// it. A change copies both arrays.
type flatLayout struct{ v4, v6 []flatEntry }

type flatEntry struct {
	hi, lo uint64
	parent int32
	site   uint16
	length uint8
}

func newFlat(list []prefix.Assignment) layout {
	f := &flatLayout{}
	for _, a := range list {
		hi, lo := words(a.Prefix.Addr())
		e := flatEntry{hi, lo, -1, a.Site, uint8(a.Prefix.Bits())}
		if a.Prefix.Addr().Is4() {
			f.v4 = append(f.v4, e)
		} else {
			f.v6 = append(f.v6, e)
		}
	}
	f.v4, f.v6 = slices.Clip(f.v4), slices.Clip(f.v6)
	for _, entries := range [][]flatEntry{f.v4, f.v6} {
		slices.SortFunc(entries, compareFlat)
		link(entries)
	}
	return f
}

func compareFlat(a, b flatEntry) int {
	return cmp.Or(cmp.Compare(a.hi, b.hi), cmp.Compare(a.lo, b.lo), cmp.Compare(a.length, b.length))
}

func link(entries []flatEntry) {
	for i := range entries {
		p := int32(i - 1)
		for p >= 0 && !entries[p].contains(entries[i].hi, entries[i].lo) {
			p = entries[p].parent
		}
		entries[i].parent = p
	}
}

// words returns an address left-aligned in 128 bits, as two words.
func words(a netip.Addr) (hi, lo uint64) {
	b := a.As16()
	if a.Is4() {
		c := a.As4()
		b = [16]byte{c[0], c[1], c[2], c[3]}
	}
	for i := range 8 {
		hi, lo = hi<<8|uint64(b[i]), lo<<8|uint64(b[8+i])
	}
	return hi, lo
}

func (e *flatEntry) contains(hi, lo uint64) bool {
	common := bits.LeadingZeros64(e.hi ^ hi)
	if common == 64 {
		common += bits.LeadingZeros64(e.lo ^ lo)
	}
	return common >= int(e.length)
}

func (f *flatLayout) lookup(a netip.Addr) (uint16, bool) {
	entries := f.v6
	if a.Is4() {
		entries = f.v4
	}
	hi, lo := words(a)
	low, high := 0, len(entries)
	for low < high {
		middle := (low + high) / 2
		if e := &entries[middle]; e.hi < hi || e.hi == hi && e.lo <= lo {
			low = middle + 1
		} else {
			high = middle
		}
	}
	for i := int32(low - 1); i >= 0; i = entries[i].parent {
		if entries[i].contains(hi, lo) {
			return entries[i].site, true
		}
	}
	return 0, false
}

func (f *flatLayout) change(p netip.Prefix, site uint16) layout {
	next := &flatLayout{slices.Clone(f.v4), slices.Clone(f.v6)}
	entries := &next.v6
	if p.Addr().Is4() {
		entries = &next.v4
	}
	hi, lo := words(p.Addr())
	e := flatEntry{hi, lo, -1, site, uint8(p.Bits())}
	at, found := slices.BinarySearchFunc(*entries, e, compareFlat)
	if found {
		e.parent = (*entries)[at].parent
		(*entries)[at] = e
		return next
	}
	*entries = slices.Insert(*entries, at, e)
	link(*entries)
	return next
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

// trieLayout is a multibit trie with 8 bits per level. Its nodes have bitmaps with population counts instead of sparse arrays,
// and a subtree with a single block is stored as a leaf instead of a chain of nodes. A change copies the nodes of one path.
type trieLayout struct{ v4, v6 *trieNode }

type trieNode struct {
	// prefixes has the bit 1<<n|value set for each block whose prefix ends after n bits of this level with that value.
	prefixes [8]uint64
	children [4]uint64
	sites    []uint16
	slots    []trieSlot
}

// trieSlot is the child of a node: either a node or a leaf.
type trieSlot struct {
	node *trieNode
	leaf *trieLeaf
}

type trieLeaf struct {
	prefix netip.Prefix
	site   uint16
}

func newTrie(list []prefix.Assignment) layout {
	t := &trieLayout{&trieNode{}, &trieNode{}}
	for _, a := range list {
		t.root(a.Prefix.Addr()).insert(&trieLeaf{a.Prefix, a.Site}, 0, false)
	}
	return t
}

func (t *trieLayout) root(a netip.Addr) *trieNode {
	if a.Is4() {
		return t.v4
	}
	return t.v6
}

func octet(a netip.Addr, i int) int {
	if a.Is4() {
		b := a.As4()
		return int(b[i])
	}
	b := a.As16()
	return int(b[i])
}

func has(words []uint64, i int) bool { return words[i/64]>>(i%64)&1 == 1 }

// rank returns the number of set bits before bit i.
func rank(words []uint64, i int) int {
	n := bits.OnesCount64(words[i/64] & (1<<(i%64) - 1))
	for _, w := range words[:i/64] {
		n += bits.OnesCount64(w)
	}
	return n
}

func (n *trieNode) insert(l *trieLeaf, depth int, share bool) *trieNode {
	if share {
		n = &trieNode{n.prefixes, n.children, slices.Clone(n.sites), slices.Clone(n.slots)}
	}
	if left := l.prefix.Bits() - 8*depth; left <= 8 {
		value := 0
		if left > 0 {
			value = octet(l.prefix.Addr(), depth) >> (8 - left)
		}
		i := 1<<left | value
		at := rank(n.prefixes[:], i)
		if has(n.prefixes[:], i) {
			n.sites[at] = l.site
		} else {
			n.prefixes[i/64] |= 1 << (i % 64)
			n.sites = slices.Clip(slices.Insert(n.sites, at, l.site))
		}
		return n
	}
	i := octet(l.prefix.Addr(), depth)
	at := rank(n.children[:], i)
	if !has(n.children[:], i) {
		n.children[i/64] |= 1 << (i % 64)
		n.slots = slices.Clip(slices.Insert(n.slots, at, trieSlot{leaf: l}))
		return n
	}
	switch old := n.slots[at]; {
	case old.node != nil:
		n.slots[at].node = old.node.insert(l, depth+1, share)
	case old.leaf.prefix == l.prefix:
		n.slots[at].leaf = l
	default:
		child := &trieNode{}
		child.insert(old.leaf, depth+1, false)
		child.insert(l, depth+1, false)
		n.slots[at] = trieSlot{node: child}
	}
	return n
}

func (t *trieLayout) lookup(a netip.Addr) (site uint16, ok bool) {
	n := t.root(a)
	last := a.BitLen()/8 - 1
	for depth := 0; ; depth++ {
		value := octet(a, depth)
		for i := 256 | value; i > 0; i >>= 1 {
			if has(n.prefixes[:], i) {
				site, ok = n.sites[rank(n.prefixes[:], i)], true
				break
			}
		}
		if depth == last || !has(n.children[:], value) {
			return site, ok
		}
		slot := n.slots[rank(n.children[:], value)]
		if slot.node == nil {
			if slot.leaf.prefix.Contains(a) {
				return slot.leaf.site, true
			}
			return site, ok
		}
		n = slot.node
	}
}

func (t *trieLayout) change(p netip.Prefix, site uint16) layout {
	next := *t
	if p.Addr().Is4() {
		next.v4 = t.v4.insert(&trieLeaf{p, site}, 0, true)
	} else {
		next.v6 = t.v6.insert(&trieLeaf{p, site}, 0, true)
	}
	return &next
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
