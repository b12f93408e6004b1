package prefix

import (
	"encoding/binary"
	"slices"
)

const (
	// maxChunkEntries keeps the index of a parent in one byte; noParent is the remaining value.
	maxChunkEntries = 255
	noParent        = 255
	// maxChunkBytes is a size class of the Go allocator, so that a full chunk wastes no memory.
	maxChunkBytes = 2048
	// chunkPadding lets the address bytes of the last entry be read in whole words.
	chunkPadding = 16
)

// coveringBlock is a block that contains the first entry of a chunk but lies in an earlier chunk. Its address is implied by the
// first entry.
type coveringBlock struct {
	site   uint16
	length uint8
}

// chunk holds consecutive entries. It is immutable. data has up to four columns: address bytes, sites, lengths unless
// they are all the same, and the index in this chunk of the innermost block around the entry unless no block is inside
// another. Bytes that all addresses share and bytes beyond the longest prefix are not stored.
type chunk struct {
	data []byte
	// covers is sorted by length. It is separate from data, so that a change of a large block copies no entries.
	covers []coveringBlock
	layout
}

// layout describes the columns of a chunk.
type layout struct {
	// count is the number of entries, sharedBytes that of shared address bytes, and storedBytes that of stored address bytes.
	count, sharedBytes, storedBytes uint8
	// maxLength is the length of the longest block.
	maxLength uint8
	// uniformLength is set if all blocks have the same length; the column of lengths is then left out.
	uniformLength bool
	// nested is set if a block is inside another; the column of parents is otherwise left out.
	nested bool
}

// withEntry returns the layout after an entry is added. first is the first entry and parent that of the new one.
func (l layout) withEntry(first, e entry, parent int) layout {
	if l.count == 0 {
		l = layout{maxLength: e.length, uniformLength: true}
	}
	l.count++
	l.uniformLength = l.uniformLength && e.length == l.maxLength
	l.nested = l.nested || parent != noParent
	l.maxLength = max(l.maxLength, e.length)
	end := (l.maxLength + 7) / 8
	l.sharedBytes = min(uint8(first.key.commonPrefixLen(e.key)/8), end)
	l.storedBytes = end - l.sharedBytes
	return l
}

// Starts of the columns after the address bytes.
func (l layout) sitesOffset() int { return int(l.count) * int(l.storedBytes) }

func (l layout) lengthsOffset() int { return int(l.count) * (int(l.storedBytes) + 2) }

func (l layout) parentsOffset() int {
	if l.uniformLength {
		return l.lengthsOffset()
	}
	return l.lengthsOffset() + int(l.count)
}

func (l layout) dataSize() int {
	end := l.parentsOffset()
	if l.nested {
		end += int(l.count)
	}
	return max(end, l.sitesOffset()+chunkPadding)
}

// chunkWriter collects sorted entries for a chunk.
type chunkWriter struct {
	layout
	entries []entry
	parents [maxChunkEntries]uint8
}

func (w *chunkWriter) reset() {
	w.layout, w.entries = layout{}, w.entries[:0]
}

// tryAdd appends an entry if the chunk has room for it.
func (w *chunkWriter) tryAdd(e entry) bool {
	n := len(w.entries)
	if n == maxChunkEntries {
		return false
	}
	parent := w.parentOf(e)
	first := e
	if n > 0 {
		first = w.entries[0]
	}
	next := w.layout.withEntry(first, e, parent)
	if next.dataSize() > maxChunkBytes {
		return false
	}
	w.layout = next
	w.entries = append(w.entries, e)
	w.parents[n] = uint8(parent)
	return true
}

// parentOf returns the index of the innermost block around the next entry.
func (w *chunkWriter) parentOf(e entry) int {
	for p := len(w.entries) - 1; p >= 0; {
		if w.entries[p].contains(e.key) {
			return p
		}
		if w.parents[p] == noParent {
			break
		}
		p = int(w.parents[p])
	}
	return noParent
}

// encode encodes the entries.
func (w *chunkWriter) encode(covers []coveringBlock) chunk {
	c := chunk{data: make([]byte, w.dataSize()), covers: covers, layout: w.layout}
	width := int(c.storedBytes)
	for i, e := range w.entries {
		b := e.key.bytes()
		copy(c.data[i*width:], b[c.sharedBytes:c.sharedBytes+c.storedBytes])
		binary.LittleEndian.PutUint16(c.data[c.sitesOffset()+2*i:], e.site)
		if !c.uniformLength {
			c.data[c.lengthsOffset()+i] = e.length
		}
		if c.nested {
			c.data[c.parentsOffset()+i] = w.parents[i]
		}
	}
	return c
}

func (c *chunk) length(i int) int {
	if c.uniformLength {
		return int(c.maxLength)
	}
	return int(c.data[c.lengthsOffset()+i])
}

func (c *chunk) site(i int) uint16 { return binary.LittleEndian.Uint16(c.data[c.sitesOffset()+2*i:]) }

func (c *chunk) parent(i int) int {
	if !c.nested {
		return noParent
	}
	return int(c.data[c.parentsOffset()+i])
}

// address returns the address of an entry, given any address of the chunk.
func (c *chunk) address(i int, base key) key {
	b := base.bytes()
	clear(b[c.sharedBytes:])
	w := int(c.storedBytes)
	copy(b[c.sharedBytes:], c.data[i*w:(i+1)*w])
	return keyFromBytes(b)
}

// appendEntries decodes the chunk and appends to list.
func (c *chunk) appendEntries(base key, list []entry) []entry {
	for i := range int(c.count) {
		list = append(list, entry{c.address(i, base), uint8(c.length(i)), c.site(i)})
	}
	return list
}

// match returns the longest match for x. x must not be before first, the first address of the chunk.
func (c *chunk) match(x, first key) (length int, site uint16, ok bool) {
	i := c.floor(x, first)
	// Blocks that contain x contain entry i too: they are i itself, its parents, or covers.
	shared := x.commonPrefixLen(c.address(i, first))
	for i != noParent {
		if n := c.length(i); n <= shared {
			return n, c.site(i), true
		}
		i = c.parent(i)
	}
	if len(c.covers) == 0 {
		return 0, 0, false
	}
	shared = x.commonPrefixLen(first)
	for _, v := range slices.Backward(c.covers) {
		if int(v.length) <= shared {
			return int(v.length), v.site, true
		}
	}
	return 0, 0, false
}

// floor returns the index of the last entry whose address is not after x.
func (c *chunk) floor(x, first key) int {
	if x.commonPrefixLen(first) < int(c.sharedBytes)*8 {
		return int(c.count) - 1
	}
	s := x.shiftLeft(int(c.sharedBytes) * 8)
	if c.storedBytes > 8 {
		return c.floorWide(s)
	}
	w := int(c.storedBytes)
	drop := uint(64 - 8*w)
	want := s.hi >> drop
	low := 0
	for n := int(c.count); n > 1; {
		half := n / 2
		if binary.BigEndian.Uint64(c.data[(low+half)*w:])>>drop <= want {
			low += half
		}
		n -= half
	}
	return low
}

// floorWide is floor for more than 8 stored address bytes.
func (c *chunk) floorWide(s key) int {
	w := int(c.storedBytes)
	drop := uint(128 - 8*w)
	want := key{s.hi, s.lo >> drop}
	low := 0
	for n := int(c.count); n > 1; {
		half := n / 2
		at := c.data[(low+half)*w:]
		have := key{binary.BigEndian.Uint64(at), binary.BigEndian.Uint64(at[8:]) >> drop}
		if have.lessOrEqual(want) {
			low += half
		}
		n -= half
	}
	return low
}
