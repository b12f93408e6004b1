package main

import (
	"cmp"
	"math/bits"
	"net/netip"
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

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
