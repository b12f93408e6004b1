package prefix

import (
	"cmp"
	"encoding/binary"
	"math/bits"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// key is an address, left-aligned in 128 bits: an IPv4 address occupies the upper 32 bits of hi.
type key struct{ hi, lo uint64 }

func (k key) compare(o key) int { return cmp.Or(cmp.Compare(k.hi, o.hi), cmp.Compare(k.lo, o.lo)) }

func (k key) lessOrEqual(o key) bool { return k.hi < o.hi || k.hi == o.hi && k.lo <= o.lo }

// commonPrefixLen returns the number of leading bits in which k and o agree.
func (k key) commonPrefixLen(o key) int {
	if x := k.hi ^ o.hi; x != 0 {
		return bits.LeadingZeros64(x)
	}
	return 64 + bits.LeadingZeros64(k.lo^o.lo)
}

// mask clears all bits after the first n.
func (k key) mask(n int) key {
	if n <= 64 {
		return key{k.hi &^ (^uint64(0) >> n), 0}
	}
	return key{k.hi, k.lo &^ (^uint64(0) >> (n - 64))}
}

// shiftLeft returns k without its first n bits, filled with zeros on the right.
func (k key) shiftLeft(n int) key {
	if n >= 64 {
		return key{k.lo << (n - 64), 0}
	}
	return key{k.hi<<n | k.lo>>(64-n), k.lo << n}
}

func (k key) bytes() (b [16]byte) {
	binary.BigEndian.PutUint64(b[:8], k.hi)
	binary.BigEndian.PutUint64(b[8:], k.lo)
	return b
}

func keyFromBytes(b [16]byte) key {
	return key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
}

// keyFromAddr returns the key of an address, which must not be an IPv4-mapped IPv6 address.
func keyFromAddr(a netip.Addr) key {
	if a.Is4() {
		b := a.As4()
		return key{hi: uint64(binary.BigEndian.Uint32(b[:])) << 32}
	}
	return keyFromBytes(a.As16())
}

// addr returns the address of the given family that k stands for.
func (k key) addr(ipv6 bool) netip.Addr {
	b := k.bytes()
	if ipv6 {
		return netip.AddrFrom16(b)
	}
	return netip.AddrFrom4([4]byte(b[:4]))
}

// entry is one client block and its site. Entries are ordered by address, then by prefix length, so that a block comes after
// all blocks that contain it.
type entry struct {
	key    key
	length uint8
	site   uint16
}

func (e entry) compare(o entry) int {
	return cmp.Or(e.key.compare(o.key), cmp.Compare(e.length, o.length))
}

// contains reports whether the block contains address k.
func (e entry) contains(k key) bool { return e.key.commonPrefixLen(k) >= int(e.length) }

// entryFromPrefix validates a prefix and returns its entry and whether it is IPv6. Errors: ErrInvalidBlock.
func entryFromPrefix(p netip.Prefix, site uint16) (entry, bool, error) {
	if !p.IsValid() || p.Addr().Is4In6() || p != p.Masked() {
		return entry{}, false, errors.Wrapf(ErrInvalidBlock, "prefix %s must be valid, masked and not IPv4-mapped", p)
	}
	return entry{key: keyFromAddr(p.Addr()), length: uint8(p.Bits()), site: site}, p.Addr().Is6(), nil
}
