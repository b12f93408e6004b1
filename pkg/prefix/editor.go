package prefix

import (
	"cmp"
	"slices"
)

// editor changes a copy of a tree by copy-on-write. It copies each page at most once.
type editor struct {
	tree
	// writable holds the pages that this editor has copied or created.
	writable map[*indexPage]bool
	// entries are the decoded entries of the chunk that is being changed.
	entries []entry
	// writer, newFirstKeys and newChunks encode the chunks that replace the changed one. They are reused to save allocations.
	writer       chunkWriter
	newFirstKeys []key
	newChunks    []chunk
}

func newEditor(t *tree) *editor {
	return &editor{
		tree:     tree{pages: slices.Clone(t.pages), firstKeys: slices.Clone(t.firstKeys), count: t.count},
		writable: map[*indexPage]bool{},
	}
}

// writablePage returns page i, replaced by a copy unless this editor has already copied or created it.
func (d *editor) writablePage(i int) *indexPage {
	p := d.pages[i]
	if !d.writable[p] {
		p = p.clone()
		d.pages[i] = p
		d.writable[p] = true
	}
	return p
}

// put adds a block or changes its site. It returns the previous site of the block, if it existed.
func (d *editor) put(e entry) (before uint16, existed bool) {
	if len(d.pages) == 0 {
		d.writer.reset()
		d.writer.tryAdd(e)
		p := &indexPage{firstKeys: []key{e.key}, chunks: []chunk{d.writer.encode(nil)}}
		d.pages, d.firstKeys, d.count = []*indexPage{p}, []key{e.key}, 1
		d.writable[p] = true
		return 0, false
	}
	i, j := d.locateChunk(e)
	d.loadChunk(i, j)
	at, existed := slices.BinarySearchFunc(d.entries, e, entry.compare)
	if existed {
		before = d.entries[at].site
		d.entries[at] = e
	} else {
		d.entries = slices.Insert(d.entries, at, e)
		d.count++
	}
	d.updateCovers(i, j, e, true)
	d.storeChunk(i, j)
	return before, existed
}

// remove deletes a block. It returns the site that the block had, if it existed.
func (d *editor) remove(e entry) (before uint16, existed bool) {
	if len(d.pages) == 0 {
		return 0, false
	}
	i, j := d.locateChunk(e)
	d.loadChunk(i, j)
	at, existed := slices.BinarySearchFunc(d.entries, e, entry.compare)
	if !existed {
		return 0, false
	}
	before = d.entries[at].site
	d.entries = slices.Delete(d.entries, at, at+1)
	d.count--
	d.updateCovers(i, j, e, false)
	d.storeChunk(i, j)
	return before, true
}

// loadChunk decodes chunk j of page i into d.entries.
func (d *editor) loadChunk(i, j int) {
	p := d.pages[i]
	d.entries = p.chunks[j].appendEntries(p.firstKeys[j], d.entries[:0])
}

// updateCovers adds e to the covering blocks of the chunks after chunk j of page i whose first address is in e, or removes it
// if present is false.
func (d *editor) updateCovers(i, j int, e entry, present bool) {
	var before, after []coveringBlock
	for j++; i < len(d.pages); i, j = i+1, 0 {
		for ; j < len(d.pages[i].chunks); j++ {
			p := d.pages[i]
			if !e.contains(p.firstKeys[j]) {
				return
			}
			// Neighbouring chunks mostly have equal covering blocks; such chunks share one slice.
			if old := p.chunks[j].covers; after == nil || !slices.Equal(old, before) {
				before, after = old, withCover(old, e, present)
			}
			d.writablePage(i).chunks[j].covers = after
		}
	}
}

// withCover returns a copy of covers in which e is present, with its current site, or absent.
func withCover(covers []coveringBlock, e entry, present bool) []coveringBlock {
	at, found := slices.BinarySearchFunc(covers, e.length, func(c coveringBlock, n uint8) int { return cmp.Compare(c.length, n) })
	next := make([]coveringBlock, 0, len(covers)+1)
	next = append(next, covers[:at]...)
	if present {
		next = append(next, coveringBlock{site: e.site, length: e.length})
	}
	if found {
		at++
	}
	return append(next, covers[at:]...)
}

// storeChunk replaces chunk j of page i by chunks with the entries of d.entries. It merges the next chunk of the page into them
// if both are small, and deletes the chunk if no entry is left.
func (d *editor) storeChunk(i, j int) {
	p := d.writablePage(i)
	if len(d.entries) == 0 {
		p.firstKeys = slices.Delete(p.firstKeys, j, j+1)
		p.chunks = slices.Delete(p.chunks, j, j+1)
		d.rebalancePage(i)
		return
	}
	covers := trimCovers(p.chunks[j].covers, p.firstKeys[j], d.entries[0].key)
	if j+1 < len(p.chunks) && len(d.entries)+int(p.chunks[j+1].count) <= maxChunkEntries/2 {
		d.entries = p.chunks[j+1].appendEntries(p.firstKeys[j+1], d.entries)
		p.firstKeys = slices.Delete(p.firstKeys, j+1, j+2)
		p.chunks = slices.Delete(p.chunks, j+1, j+2)
	}
	d.newFirstKeys, d.newChunks = d.newFirstKeys[:0], d.newChunks[:0]
	d.encodeChunks(d.entries, covers)
	p.firstKeys = slices.Replace(p.firstKeys, j, j+1, d.newFirstKeys...)
	p.chunks = slices.Replace(p.chunks, j, j+1, d.newChunks...)
	d.rebalancePage(i)
}

// encodeChunks encodes entries and appends the chunks to d.newChunks. It halves the entries recursively until each part fits
// in a chunk. Two parts may not suffice: one long prefix increases the stored address bytes of all entries of its chunk.
func (d *editor) encodeChunks(entries []entry, covers []coveringBlock) {
	if d.fillWriter(entries) {
		d.newFirstKeys = append(d.newFirstKeys, entries[0].key)
		d.newChunks = append(d.newChunks, d.writer.encode(covers))
		return
	}
	half := len(entries) / 2
	left, right := entries[:half], entries[half:]
	d.encodeChunks(left, covers)
	d.encodeChunks(right, coversAfter(covers, left, right[0].key))
}

// fillWriter resets the writer, adds the entries to it, and reports whether all fit in one chunk.
func (d *editor) fillWriter(entries []entry) bool {
	d.writer.reset()
	for _, e := range entries {
		if !d.writer.tryAdd(e) {
			return false
		}
	}
	return true
}

// trimCovers returns the covering blocks that a chunk keeps when its first address changes from old to next: those that
// contain both.
func trimCovers(covers []coveringBlock, old, next key) []coveringBlock {
	shared := old.commonPrefixLen(next)
	n := len(covers)
	for n > 0 && int(covers[n-1].length) > shared {
		n--
	}
	return slices.Clip(covers[:n])
}

// coversAfter returns the covering blocks of the chunk that begins at next, given those and the entries of the preceding chunk.
func coversAfter(covers []coveringBlock, entries []entry, next key) []coveringBlock {
	list := slices.Clone(trimCovers(covers, entries[0].key, next))
	for _, e := range entries {
		if e.contains(next) {
			list = append(list, coveringBlock{site: e.site, length: e.length})
		}
	}
	return slices.Clip(list)
}

// rebalancePage updates the list of pages after a change of the chunks of page i: it deletes an empty page, splits one that is
// too large, and merges page i with the next one if both are small.
func (d *editor) rebalancePage(i int) {
	p := d.pages[i]
	switch {
	case len(p.chunks) == 0:
		d.pages = slices.Delete(d.pages, i, i+1)
		d.firstKeys = slices.Delete(d.firstKeys, i, i+1)
		return
	case len(p.chunks) > maxPageChunks:
		half := len(p.chunks) / 2
		left := &indexPage{firstKeys: slices.Clone(p.firstKeys[:half]), chunks: slices.Clone(p.chunks[:half])}
		right := &indexPage{firstKeys: slices.Clone(p.firstKeys[half:]), chunks: slices.Clone(p.chunks[half:])}
		d.writable[left], d.writable[right] = true, true
		d.pages = slices.Replace(d.pages, i, i+1, left, right)
		d.firstKeys = slices.Insert(d.firstKeys, i+1, right.firstKeys[0])
		p = left
	case i+1 < len(d.pages) && len(p.chunks)+len(d.pages[i+1].chunks) <= maxPageChunks/2:
		next := d.pages[i+1]
		p.firstKeys = append(p.firstKeys, next.firstKeys...)
		p.chunks = append(p.chunks, next.chunks...)
		d.pages = slices.Delete(d.pages, i+1, i+2)
		d.firstKeys = slices.Delete(d.firstKeys, i+1, i+2)
	}
	d.firstKeys[i] = p.firstKeys[0]
}
