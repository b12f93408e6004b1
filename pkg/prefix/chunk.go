package prefix

import (
	"encoding/binary"
	"slices"
)

const (
	// maxChunkEntries is the largest number of entries whose indexes fit in one byte without using noParent, which marks
	// entries without a parent.
	maxChunkEntries = 255
	noParent        = 255
	// maxChunkBytes is a size class of the Go allocator, so that allocating a full chunk wastes no memory.
	maxChunkBytes = 2048
	// chunkPadding is the minimum number of bytes after the address column. The search reads each address as one or two
	// 64-bit words, which for the last entries extends past the column.
	chunkPadding = 16
)

// coveringBlock is a block that contains the first entry of a chunk and is stored in an earlier chunk. Its address is that of
// the first entry, masked to length bits.
type coveringBlock struct {
	site   uint16
	length uint8
}

// chunk is an immutable run of consecutive entries, stored as columns in data:
//   - address bytes, without the leading bytes that all addresses share and the bytes beyond the longest prefix;
//   - sites;
//   - prefix lengths, omitted if all are equal;
//   - parents, omitted if no block contains another: the index in this chunk of the smallest block that contains the entry.
type chunk struct {
	data []byte
	// covers is sorted by prefix length. It is kept outside data, so that a change of a large block, which affects many
	// chunks, does not copy their entries.
	covers []coveringBlock
	layout
}

// layout gives the sizes and the presence of the columns of a chunk.
type layout struct {
	// count is the number of entries, sharedBytes the number of leading address bytes that all entries have in common, and
	// storedBytes the number of bytes stored of each address after them.
	count, sharedBytes, storedBytes uint8
	// maxLength is the largest prefix length, in bits.
	maxLength uint8
	// uniformLength is set if all prefix lengths are equal; the length column is then omitted.
	uniformLength bool
	// nested is set if a block of the chunk contains another; otherwise the parent column is omitted.
	nested bool
}

// withEntry returns the layout of the chunk with entry e appended. first is the first entry of the chunk and parent the index
// of e's parent, or noParent.
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

// sitesOffset, lengthsOffset and parentsOffset return the offsets of the columns in the data of a chunk.
func (l layout) sitesOffset() int { return int(l.count) * int(l.storedBytes) }

func (l layout) lengthsOffset() int { return int(l.count) * (int(l.storedBytes) + 2) }

func (l layout) parentsOffset() int {
	if l.uniformLength {
		return l.lengthsOffset()
	}
	return l.lengthsOffset() + int(l.count)
}

// dataSize returns the size of the data of a chunk in bytes, with padding.
func (l layout) dataSize() int {
	end := l.parentsOffset()
	if l.nested {
		end += int(l.count)
	}
	return max(end, l.sitesOffset()+chunkPadding)
}

// chunkWriter collects entries, in ascending order, and encodes them as a chunk.
type chunkWriter struct {
	layout
	entries []entry
	parents [maxChunkEntries]uint8
}

func (w *chunkWriter) reset() {
	w.layout, w.entries = layout{}, w.entries[:0]
}

// tryAdd appends an entry and reports whether the chunk had room for it. The entry must be after all entries added before.
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

// parentOf returns the index of the smallest collected block that contains e, the next entry, or noParent. It follows the
// parents of the last entry: no other block can contain e, because entries are sorted.
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

// encode returns the collected entries as a chunk with the given covering blocks.
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

// address returns the address of entry i. base is any address of the chunk and supplies the shared leading bytes.
func (c *chunk) address(i int, base key) key {
	b := base.bytes()
	clear(b[c.sharedBytes:])
	w := int(c.storedBytes)
	copy(b[c.sharedBytes:], c.data[i*w:(i+1)*w])
	return keyFromBytes(b)
}

// appendEntries appends the decoded entries of the chunk to list. base is any address of the chunk.
func (c *chunk) appendEntries(base key, list []entry) []entry {
	for i := range int(c.count) {
		list = append(list, entry{c.address(i, base), uint8(c.length(i)), c.site(i)})
	}
	return list
}

// match returns the prefix length and the site of the longest block that contains x. first is the first address of the chunk,
// and x must not be before it.
func (c *chunk) match(x, first key) (length int, site uint16, ok bool) {
	i := c.floor(x, first)
	// A block that contains x also contains the address of entry i: it is entry i, one of its ancestors in the chunk, or a
	// covering block.
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

// floor returns the index of the last entry whose address is at most x, by binary search. x must not be before first, the first
// address of the chunk.
func (c *chunk) floor(x, first key) int {
	// Since x is not before first, it is after all entries if it differs in the leading bytes that they share.
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

// floorWide is floor for chunks that store more than 8 bytes of each address. s is the searched address without the shared
// leading bytes.
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
