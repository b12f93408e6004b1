package prefix

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
)

// blockHeaderBytes is the size of the fixed part of a block in a segment. Blocks are front-coded: one byte with the number of
// leading address bytes shared with the preceding block, one byte with the prefix length, the site in two bytes
// (big-endian), then the remaining address bytes up to the prefix length.
const blockHeaderBytes = 4

// MaxSegmentBytes is the maximum size of the encoded blocks of a segment, in bytes.
const MaxSegmentBytes = 64 << 10

// Segment encodes the blocks of one address family from position from on, in at most maxBytes bytes; 0 or more than
// MaxSegmentBytes means MaxSegmentBytes. from is nil for the first segment. The segment's Next is the position of the next
// one and nil after the last. Errors: ErrInvalidBlock.
func (t *Table) Segment(from *prefixv1.Block, maxBytes int) (*prefixv1.Segment, error) {
	var start entry
	ipv6 := false
	if from != nil {
		var err error
		if start, ipv6, err = entryFromBlock(from); err != nil {
			return nil, err
		}
	}
	if maxBytes <= 0 || maxBytes > MaxSegmentBytes {
		maxBytes = MaxSegmentBytes
	}
	s := &prefixv1.Segment{Version: t.version, Checksum: t.checksum, Ipv6: ipv6}
	var previous key
	t.treeFor(ipv6).ascend(start, func(e entry) bool {
		next := appendBlock(s.Blocks, previous, e)
		if len(next) > maxBytes && len(s.Blocks) > 0 {
			s.Next = segmentStart(e, ipv6)
			return false
		}
		s.Blocks, previous = next, e.key
		return true
	})
	if s.Next == nil && !ipv6 {
		s.Next = segmentStart(entry{}, true)
	}
	return s, nil
}

// segmentStart encodes the position at which a segment begins.
func segmentStart(e entry, ipv6 bool) *prefixv1.Block {
	b := e.key.bytes()
	return &prefixv1.Block{Address: b[:(e.length+7)/8], Length: uint32(e.length), Ipv6: ipv6}
}

// appendBlock appends the front-coded entry e to data. previous is the address of the preceding entry.
func appendBlock(data []byte, previous key, e entry) []byte {
	end := (int(e.length) + 7) / 8
	shared := min(previous.commonPrefixLen(e.key)/8, end)
	b := e.key.bytes()
	data = append(data, byte(shared), e.length)
	data = binary.BigEndian.AppendUint16(data, e.site)
	return append(data, b[shared:end]...)
}

// decodeBlocks decodes the blocks of a segment and calls add with each entry in order. Errors: ErrInvalidBlock and that of add.
func decodeBlocks(data []byte, ipv6 bool, add func(entry) error) error {
	size := 32
	if ipv6 {
		size = 128
	}
	var previous [16]byte
	for len(data) > 0 {
		if len(data) < blockHeaderBytes {
			return errors.Wrap(ErrInvalidBlock, "segment is truncated inside a block")
		}
		shared, length := int(data[0]), int(data[1])
		site := binary.BigEndian.Uint16(data[2:])
		end := (length + 7) / 8
		if length > size || shared > end || len(data) < blockHeaderBytes+end-shared {
			return errors.Wrapf(ErrInvalidBlock, "block with prefix length %d and %d shared address bytes is malformed or truncated",
				length, shared)
		}
		clear(previous[shared:])
		copy(previous[shared:end], data[blockHeaderBytes:])
		data = data[blockHeaderBytes+end-shared:]
		e := entry{keyFromBytes(previous), uint8(length), site}
		if e.key != e.key.mask(length) {
			return errors.Wrapf(ErrInvalidBlock, "block with prefix length %d has address bits set beyond its prefix", length)
		}
		if err := add(e); err != nil {
			return err
		}
	}
	return nil
}
