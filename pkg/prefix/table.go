// Package prefix maps client blocks (IPv4 and IPv6 prefixes) to sites by longest-prefix match.
//
// A Table is immutable and updated by copy-on-write. Its blocks are sorted and stored in compressed chunks of up to 255
// blocks under a two-level index. A change copies the affected chunks, their index pages, and the list of pages;
// everything else is shared with the previous table. Each chunk also lists the blocks of earlier chunks that contain its
// first block, so that a lookup reads one chunk.
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

// MaxDeltaBlocks is the maximum number of blocks in a delta. It bounds the time and the memory needed to apply one; a larger
// change is split into several deltas.
const MaxDeltaBlocks = 256

var (
	// ErrInvalidBlock means that a prefix or a site is malformed, or that blocks of a segment are out of order.
	ErrInvalidBlock = errors.New("invalid block")
	// ErrBaseVersion means that a delta is not based on the version of the table, or does not lead to a higher one.
	ErrBaseVersion = errors.New("delta is based on another version of the prefix table")
	// ErrChecksum means that the resulting content differs from the sender's; a full copy is needed.
	ErrChecksum = errors.New("prefix table checksum mismatch")
	// ErrTooLarge means that a delta has more than MaxDeltaBlocks blocks.
	ErrTooLarge = errors.New("delta has too many blocks")
)

// Assignment maps a client block to a site.
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

// New builds a table from assignments in any order. If a block is assigned several times, the last assignment applies.
// Errors: ErrInvalidBlock.
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

// familyIndex returns the index of an address family in arrays with one element per family: IPv4, then IPv6.
func familyIndex(ipv6 bool) int {
	if ipv6 {
		return 1
	}
	return 0
}

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.version }

// Checksum returns a hash of the content. It does not depend on the order in which the content was changed.
func (t *Table) Checksum() uint64 { return t.checksum }

// Len returns the number of blocks.
func (t *Table) Len() int { return t.v4.count + t.v6.count }

// Lookup returns the site of the longest-prefix match of an address. It does not allocate.
func (t *Table) Lookup(a netip.Addr) (site uint16, ok bool) {
	_, site, ok = t.match(a.Unmap())
	return site, ok
}

// Match returns the block and the site of the longest-prefix match of an address. It does not allocate.
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

// Site returns the site of a block by exact match of its prefix.
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

// All returns all assignments, IPv4 before IPv6, then by address, then by prefix length.
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

// Apply returns a new table with a delta applied and verifies its checksum. Errors: ErrBaseVersion, ErrTooLarge,
// ErrInvalidBlock, ErrChecksum.
func (t *Table) Apply(d *prefixv1.Delta) (*Table, error) {
	next, err := t.replay(d)
	if err != nil {
		return nil, err
	}
	if next.checksum != d.GetChecksum() {
		return nil, errors.Wrapf(ErrChecksum, "table version %d has checksum %016x, expected %016x",
			next.version, next.checksum, d.GetChecksum())
	}
	return next, nil
}

// Change returns a delta that sets and removes the given blocks, leading from t to the next version, and the table with the
// delta applied. Errors: ErrTooLarge, ErrInvalidBlock.
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

// replay applies a delta without verifying the checksum. Removals are applied before additions. Errors: ErrBaseVersion,
// ErrTooLarge, ErrInvalidBlock.
func (t *Table) replay(d *prefixv1.Delta) (*Table, error) {
	if d.GetBaseVersion() != t.version || d.GetVersion() <= t.version {
		return nil, errors.Wrapf(ErrBaseVersion, "delta leads from version %d to %d, table has version %d",
			d.GetBaseVersion(), d.GetVersion(), t.version)
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

// entryHash returns the hash of one entry. The checksum of a table is the sum of the entry hashes modulo 2^64, so that a delta
// updates it without reading the other entries.
func entryHash(e entry, ipv6 bool) uint64 {
	var b [20]byte
	binary.BigEndian.PutUint64(b[:], e.key.hi)
	binary.BigEndian.PutUint64(b[8:], e.key.lo)
	b[16], b[17] = byte(familyIndex(ipv6)), e.length
	binary.BigEndian.PutUint16(b[18:], e.site)
	return xxhash.Sum64(b[:])
}

// newBlock encodes a block without trailing zero bytes of the address beyond its prefix length. It does not validate the
// block; entryFromBlock does.
func newBlock(p netip.Prefix, site uint16) *prefixv1.Block {
	b := &prefixv1.Block{Length: uint32(max(p.Bits(), 0)), Site: uint32(site), Ipv6: p.Addr().Is6()}
	b.Address = p.Addr().AsSlice()
	for n := (int(b.Length) + 7) / 8; len(b.Address) > n && b.Address[len(b.Address)-1] == 0; {
		b.Address = b.Address[:len(b.Address)-1]
	}
	return b
}

// entryFromBlock validates and decodes a block and reports whether it is IPv6. Errors: ErrInvalidBlock.
func entryFromBlock(b *prefixv1.Block) (entry, bool, error) {
	size := 4
	if b.GetIpv6() {
		size = 16
	}
	if b.GetLength() > uint32(8*size) || len(b.GetAddress()) > size || b.GetSite() > 0xffff {
		return entry{}, false, errors.Wrapf(ErrInvalidBlock, "block has %d address bytes, prefix length %d, site %d, IPv6 %t",
			len(b.GetAddress()), b.GetLength(), b.GetSite(), b.GetIpv6())
	}
	var address [16]byte
	copy(address[:], b.GetAddress())
	p := netip.PrefixFrom(keyFromBytes(address).addr(b.GetIpv6()), int(b.GetLength()))
	return entryFromPrefix(p, uint16(b.GetSite()))
}

// builder builds a table from entries, which must be added in ascending order within each address family.
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
