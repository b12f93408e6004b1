// Package prefix maps client blocks (IPv4 and IPv6 prefixes) to sites by longest-prefix match.
//
// A Table is immutable. Its blocks are sorted and stored in compressed chunks of up to 255 blocks under a two-level
// index. A change copies the chunks that it touches, their index pages, and the list of pages; everything else is shared
// with the table before. Each chunk also lists the blocks around its first block, so that a lookup reads one chunk.
package prefix

import (
	"encoding/binary"
	"iter"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
)

// MaxDeltaBlocks limits the blocks of a delta, which bounds the time and the memory of applying one. A larger change is
// a sequence of deltas.
const MaxDeltaBlocks = 256

var (
	// ErrInvalidBlock means that a prefix or a site is malformed.
	ErrInvalidBlock = errors.New("invalid block")
	// ErrBaseVersion means that a delta is based on another version than the table's.
	ErrBaseVersion = errors.New("delta is based on another version")
	// ErrChecksum means that the content differs from what the sender has; a full copy is needed.
	ErrChecksum = errors.New("prefix table checksum mismatch")
	// ErrTooLarge means that a delta has more than MaxDeltaBlocks blocks.
	ErrTooLarge = errors.New("delta has too many blocks")
)

// Assignment gives a client block to a site.
type Assignment struct {
	// Prefix must be masked. An IPv4-mapped IPv6 prefix is invalid.
	Prefix netip.Prefix
	Site   uint16
}

// Table maps client blocks to sites. It is immutable; the zero value is an empty table of version 0.
type Table struct {
	version  uint64
	checksum uint64
	v4, v6   tree
}

// New builds a table from assignments in any order. Of several assignments of one block the last applies. Errors:
// ErrInvalidBlock.
func New(version uint64, assignments []Assignment) (*Table, error) {
	families := [2][]entry{}
	for _, a := range assignments {
		e, ipv6, err := entryFromPrefix(a.Prefix, a.Site)
		if err != nil {
			return nil, err
		}
		f := familyIndex(ipv6)
		families[f] = append(families[f], e)
	}
	b := newBuilder()
	for f, list := range families {
		slices.SortStableFunc(list, entry.compare)
		for i, e := range list {
			if i+1 < len(list) && list[i+1].compare(e) == 0 {
				continue
			}
			b.add(f == 1, e)
		}
	}
	return b.table(version), nil
}

func familyIndex(ipv6 bool) int {
	if ipv6 {
		return 1
	}
	return 0
}

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.version }

// Checksum returns a hash of the content that does not depend on the order of changes.
func (t *Table) Checksum() uint64 { return t.checksum }

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.count + t.v6.count }

// Lookup returns the site of the longest block that contains an address. It does not allocate.
func (t *Table) Lookup(a netip.Addr) (site uint16, ok bool) {
	_, site, ok = t.match(a.Unmap())
	return site, ok
}

// Match returns the longest block that contains an address, and its site. It does not allocate.
func (t *Table) Match(a netip.Addr) (block netip.Prefix, site uint16, ok bool) {
	a = a.Unmap().WithZone("")
	length, site, ok := t.match(a)
	if !ok {
		return netip.Prefix{}, 0, false
	}
	block, _ = a.Prefix(length)
	return block, site, true
}

func (t *Table) match(a netip.Addr) (length int, site uint16, ok bool) {
	switch {
	case a.Is4():
		return t.v4.match(keyFromAddr(a))
	case a.Is6():
		return t.v6.match(keyFromAddr(a))
	}
	return 0, 0, false
}

// Site returns the site of exactly this block.
func (t *Table) Site(block netip.Prefix) (site uint16, ok bool) {
	e, ipv6, err := entryFromPrefix(block, 0)
	if err != nil {
		return 0, false
	}
	return t.treeFor(ipv6).siteOf(e)
}

func (t *Table) treeFor(ipv6 bool) *tree {
	if ipv6 {
		return &t.v6
	}
	return &t.v4
}

// All returns the assignments: IPv4 before IPv6, then by address, then by length.
func (t *Table) All() iter.Seq[Assignment] {
	return func(yield func(Assignment) bool) {
		for _, ipv6 := range []bool{false, true} {
			more := true
			t.treeFor(ipv6).ascend(entry{}, func(e entry) bool {
				more = yield(Assignment{netip.PrefixFrom(e.key.addr(ipv6), int(e.length)), e.site})
				return more
			})
			if !more {
				return
			}
		}
	}
}

// Apply returns the table after a delta. Errors: ErrBaseVersion, ErrTooLarge, ErrInvalidBlock, ErrChecksum.
func (t *Table) Apply(d *prefixv1.Delta) (*Table, error) {
	next, err := t.replay(d)
	if err != nil {
		return nil, err
	}
	if next.checksum != d.GetChecksum() {
		return nil, errors.Wrapf(ErrChecksum, "version %d: have %016x, want %016x", next.version, next.checksum, d.GetChecksum())
	}
	return next, nil
}

// Change returns the delta from t to the next version and the table after it. Errors: ErrTooLarge, ErrInvalidBlock.
func (t *Table) Change(put []Assignment, remove []netip.Prefix) (*prefixv1.Delta, *Table, error) {
	d := &prefixv1.Delta{BaseVersion: t.version, Version: t.version + 1}
	for _, a := range put {
		d.Put = append(d.Put, newBlock(a.Prefix, a.Site))
	}
	for _, p := range remove {
		d.Remove = append(d.Remove, newBlock(p, 0))
	}
	next, err := t.replay(d)
	if err != nil {
		return nil, nil, err
	}
	d.Checksum = next.checksum
	return d, next, nil
}

// replay applies a delta without checking the result.
func (t *Table) replay(d *prefixv1.Delta) (*Table, error) {
	if d.GetBaseVersion() != t.version || d.GetVersion() <= t.version {
		return nil, errors.Wrapf(ErrBaseVersion, "delta from %d to %d, table %d", d.GetBaseVersion(), d.GetVersion(), t.version)
	}
	if n := len(d.GetPut()) + len(d.GetRemove()); n > MaxDeltaBlocks {
		return nil, errors.Wrapf(ErrTooLarge, "%d blocks, limit %d", n, MaxDeltaBlocks)
	}
	editors := [2]*editor{newEditor(&t.v4), newEditor(&t.v6)}
	sum := t.checksum
	for _, b := range d.GetRemove() {
		e, ipv6, err := entryFromBlock(b)
		if err != nil {
			return nil, err
		}
		if before, existed := editors[familyIndex(ipv6)].remove(e); existed {
			e.site = before
			sum -= entryHash(e, ipv6)
		}
	}
	for _, b := range d.GetPut() {
		e, ipv6, err := entryFromBlock(b)
		if err != nil {
			return nil, err
		}
		sum += entryHash(e, ipv6)
		if before, existed := editors[familyIndex(ipv6)].put(e); existed {
			e.site = before
			sum -= entryHash(e, ipv6)
		}
	}
	return &Table{version: d.GetVersion(), checksum: sum, v4: editors[0].tree, v6: editors[1].tree}, nil
}

// entryHash returns the share of an entry in the checksum, which is their sum modulo 2^64, so that a delta updates it without
// reading the other entries.
func entryHash(e entry, ipv6 bool) uint64 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:], e.key.hi)
	binary.BigEndian.PutUint64(b[8:], e.key.lo)
	b[16], b[17] = byte(familyIndex(ipv6)), e.length
	binary.BigEndian.PutUint16(b[18:], e.site)
	return xxhash.Sum64(b[:])
}

// newBlock encodes a block. It does not check it: the receiver does.
func newBlock(p netip.Prefix, site uint16) *prefixv1.Block {
	b := &prefixv1.Block{Length: uint32(max(p.Bits(), 0)), Site: uint32(site), Ipv6: p.Addr().Is6()}
	b.Address = p.Addr().AsSlice()
	for n := (int(b.Length) + 7) / 8; len(b.Address) > n && b.Address[len(b.Address)-1] == 0; {
		b.Address = b.Address[:len(b.Address)-1]
	}
	return b
}

func entryFromBlock(b *prefixv1.Block) (entry, bool, error) {
	size := 4
	if b.GetIpv6() {
		size = 16
	}
	if b.GetLength() > uint32(8*size) || len(b.GetAddress()) > size || b.GetSite() > 0xffff {
		return entry{}, false, errors.Wrapf(ErrInvalidBlock, "%d address bytes, length %d, site %d, IPv6 %t",
			len(b.GetAddress()), b.GetLength(), b.GetSite(), b.GetIpv6())
	}
	var address [16]byte
	copy(address[:], b.GetAddress())
	p := netip.PrefixFrom(keyFromBytes(address).addr(b.GetIpv6()), int(b.GetLength()))
	return entryFromPrefix(p, uint16(b.GetSite()))
}

// builder builds a table from entries in order.
type builder struct {
	trees    [2]appender
	checksum uint64
}

func newBuilder() *builder { return &builder{} }

func (b *builder) add(ipv6 bool, e entry) {
	b.trees[familyIndex(ipv6)].add(e)
	b.checksum += entryHash(e, ipv6)
}

func (b *builder) table(version uint64) *Table {
	return &Table{version: version, checksum: b.checksum, v4: *b.trees[0].finish(), v6: *b.trees[1].finish()}
}
