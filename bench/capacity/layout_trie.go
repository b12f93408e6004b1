package main

import (
	"math/bits"
	"net/netip"
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

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
