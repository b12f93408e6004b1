package prefix

import (
	"slices"
	"sort"
)

// maxPageChunks is the maximum number of chunks in a page. It bounds the cost of a change, which copies a page and the list of
// pages.
const maxPageChunks = 128

// tree holds the blocks of one address family: a list of index pages, each with a list of chunks. It is immutable.
type tree struct {
	pages []*indexPage
	// firstKeys duplicates the first address of each page, so that the search over pages touches few cache lines.
	firstKeys []key
	count     int
}

// indexPage is one page of the index: consecutive chunks and the first address of each. It is immutable once its tree is
// published.
type indexPage struct {
	firstKeys []key
	chunks    []chunk
}

// floorIndex returns the index of the last key that is at most x, or -1 if there is none. keys must be sorted.
func floorIndex(keys []key, x key) int {
	if len(keys) == 0 || !keys[0].lessOrEqual(x) {
		return -1
	}
	low := 0
	for n := len(keys); n > 1; {
		half := n / 2
		if keys[low+half].lessOrEqual(x) {
			low += half
		}
		n -= half
	}
	return low
}

// match returns the prefix length and the site of the longest block that contains x.
func (t *tree) match(x key) (length int, site uint16, ok bool) {
	i := floorIndex(t.firstKeys, x)
	if i < 0 {
		return 0, 0, false
	}
	p := t.pages[i]
	j := floorIndex(p.firstKeys, x)
	return p.chunks[j].match(x, p.firstKeys[j])
}

// firstEntry returns the first entry of chunk j.
func (p *indexPage) firstEntry(j int) entry {
	c := &p.chunks[j]
	return entry{key: p.firstKeys[j], length: uint8(c.length(0)), site: c.site(0)}
}

func (p *indexPage) clone() *indexPage {
	return &indexPage{firstKeys: slices.Clone(p.firstKeys), chunks: slices.Clone(p.chunks)}
}

// locateChunk returns the indexes of the page and, within it, of the chunk that holds e or into which e is to be inserted. The
// tree must not be empty.
func (t *tree) locateChunk(e entry) (i, j int) {
	i = sort.Search(len(t.pages), func(i int) bool { return t.pages[i].firstEntry(0).compare(e) > 0 }) - 1
	i = max(i, 0)
	p := t.pages[i]
	j = sort.Search(len(p.chunks), func(j int) bool { return p.firstEntry(j).compare(e) > 0 }) - 1
	return i, max(j, 0)
}

// siteOf returns the site of the block with the address and the prefix length of e.
func (t *tree) siteOf(e entry) (uint16, bool) {
	if len(t.pages) == 0 {
		return 0, false
	}
	i, j := t.locateChunk(e)
	p := t.pages[i]
	list := p.chunks[j].appendEntries(p.firstKeys[j], make([]entry, 0, maxChunkEntries))
	k, found := slices.BinarySearchFunc(list, e, entry.compare)
	if !found {
		return 0, false
	}
	return list[k].site, true
}

// ascend calls yield with the entries from start on, in ascending order, until yield returns false.
func (t *tree) ascend(start entry, yield func(entry) bool) {
	if len(t.pages) == 0 {
		return
	}
	i, j := t.locateChunk(start)
	list := make([]entry, 0, maxChunkEntries)
	for ; i < len(t.pages); i, j = i+1, 0 {
		p := t.pages[i]
		for ; j < len(p.chunks); j++ {
			list = p.chunks[j].appendEntries(p.firstKeys[j], list[:0])
			for _, e := range list {
				if e.compare(start) >= 0 && !yield(e) {
					return
				}
			}
		}
	}
}

// appender builds a tree from sorted entries and fills each chunk and page completely.
type appender struct {
	tree
	writer   chunkWriter
	covers   []coveringBlock
	lastPage *indexPage
}

// add appends an entry, which must be after all entries added before.
func (a *appender) add(e entry) {
	a.count++
	if a.writer.tryAdd(e) {
		return
	}
	a.flushChunk()
	if next := coversAfter(a.covers, a.writer.entries, e.key); !slices.Equal(next, a.covers) {
		a.covers = next
	}
	a.writer.reset()
	a.writer.tryAdd(e)
}

// flushChunk appends a chunk with the entries of the writer to the last page, or to a new one if that is full.
func (a *appender) flushChunk() {
	if a.lastPage == nil || len(a.lastPage.chunks) == maxPageChunks {
		a.lastPage = &indexPage{
			firstKeys: make([]key, 0, maxPageChunks),
			chunks:    make([]chunk, 0, maxPageChunks),
		}
		a.pages = append(a.pages, a.lastPage)
		a.firstKeys = append(a.firstKeys, a.writer.entries[0].key)
	}
	a.lastPage.firstKeys = append(a.lastPage.firstKeys, a.writer.entries[0].key)
	a.lastPage.chunks = append(a.lastPage.chunks, a.writer.encode(a.covers))
}

func (a *appender) finish() *tree {
	if len(a.writer.entries) > 0 {
		a.flushChunk()
		a.writer.reset()
	}
	t := a.tree
	return &t
}
