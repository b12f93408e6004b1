package prefix

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"sync"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
)

// naiveTable is the reference implementation: a map that is probed with every prefix length, longest first.
type naiveTable map[netip.Prefix]uint16

func (n naiveTable) match(a netip.Addr) (netip.Prefix, uint16, bool) {
	for length := a.BitLen(); length >= 0; length-- {
		p, _ := a.Prefix(length)
		if site, ok := n[p]; ok {
			return p, site, true
		}
	}
	return netip.Prefix{}, 0, false
}

// randomPrefix draws prefixes whose addresses differ in few bits, so that blocks contain each other, repeat and share chunks.
func randomPrefix(r *rand.Rand) netip.Prefix {
	if r.IntN(2) == 0 {
		a := netip.AddrFrom4([4]byte{10, byte(r.IntN(4)), byte(r.IntN(256)), byte(r.IntN(256))})
		p, _ := a.Prefix([]int{0, 6, 8, 14, 15, 16, 20, 24, 24, 24, 25, 28, 30, 32, 32}[r.IntN(15)])
		return p
	}
	b := [16]byte{0x20, 0x01, 0x0d, 0xb8, byte(r.IntN(2)), byte(r.IntN(256)), 0, byte(r.IntN(8)), 15: byte(r.IntN(256))}
	p, _ := netip.AddrFrom16(b).Prefix([]int{0, 3, 32, 36, 40, 48, 48, 48, 56, 64, 72, 127, 128}[r.IntN(13)])
	return p
}

// nearbyAddress returns an address that is in a block, just before it, or random.
func nearbyAddress(r *rand.Rand, p netip.Prefix) netip.Addr {
	switch r.IntN(4) {
	case 0:
		if a := p.Addr().Prev(); a.IsValid() {
			return a
		}
	case 1:
		b := p.Addr().AsSlice()
		for i := p.Bits(); i < 8*len(b); i++ {
			b[i/8] |= byte(r.IntN(2)) << (7 - i%8)
		}
		a, _ := netip.AddrFromSlice(b)
		return a
	case 2:
		return randomPrefix(r).Addr()
	}
	return p.Addr()
}

// requireSame fails the test unless the table and the reference give the same match for an address.
func requireSame(t *testing.T, table *Table, reference naiveTable, a netip.Addr) {
	t.Helper()
	block, site, ok := table.Match(a)
	wantBlock, wantSite, wantOK := reference.match(a)
	if block != wantBlock || site != wantSite || ok != wantOK {
		t.Fatalf("version %d, %s: have %s %d %t, want %s %d %t",
			table.Version(), a, block, site, ok, wantBlock, wantSite, wantOK)
	}
	if short, shortOK := table.Lookup(a); short != site || shortOK != ok {
		t.Fatalf("Lookup of %s differs from Match", a)
	}
}

// Guards against a delta that leaves a wrong parent, covering block or chunk boundary behind, for instance after a split or a
// merge of chunks or a change of a large block that spans many chunks. Each delta is encoded and decoded before it is applied.
func TestTableMatchesNaiveUnderRandomChanges(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { testRandomChanges(t, seed) })
	}
}

func testRandomChanges(t *testing.T, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 0))
	reference := naiveTable{}
	table := &Table{}
	for step := range 60 {
		previous, previousChecksum := table, table.Checksum()
		put, remove := randomChange(r, reference, step)
		delta, _, err := table.Change(put, remove)
		if err != nil {
			t.Fatal(err)
		}
		encoded, _ := proto.Marshal(delta)
		decoded := &prefixv1.Delta{}
		if err := proto.Unmarshal(encoded, decoded); err != nil {
			t.Fatal(err)
		}
		if table, err = table.Apply(decoded); err != nil {
			t.Fatal(err)
		}
		var probes []netip.Addr
		for p := range reference {
			if len(probes) == 300 {
				break
			}
			probes = append(probes, nearbyAddress(r, p))
		}
		for _, p := range remove {
			probes = append(probes, p.Addr())
		}
		for _, a := range probes {
			requireSame(t, table, reference, a)
		}
		if step%4 != 0 {
			continue
		}
		requireContent(t, table, reference)
		if rebuilt, _ := New(previous.Version(), slices.Collect(previous.All())); rebuilt.Checksum() != previousChecksum {
			t.Fatal("a change modified the table that it was applied to")
		}
	}
}

// randomChange changes the reference and returns the change. It grows the reference until step 45 and shrinks it from then on.
func randomChange(r *rand.Rand, reference naiveTable, step int) (put []Assignment, remove []netip.Prefix) {
	grow, shrink := 200, 20
	if step >= 45 {
		grow, shrink = 20, 230
	}
	for p := range reference {
		if len(remove) >= shrink {
			break
		}
		remove = append(remove, p)
		delete(reference, p)
	}
	for range r.IntN(grow) + 1 {
		p, site := randomPrefix(r), uint16(r.IntN(1200))
		put = append(put, Assignment{p, site})
		reference[p] = site
	}
	return put, remove
}

// requireContent fails the test unless the table has the blocks of the reference and equals a table built from them.
func requireContent(t *testing.T, table *Table, reference naiveTable) {
	t.Helper()
	if table.Len() != len(reference) {
		t.Fatalf("table has %d blocks, want %d", table.Len(), len(reference))
	}
	list := make([]Assignment, 0, len(reference))
	for p, site := range reference {
		list = append(list, Assignment{p, site})
	}
	built, err := New(table.Version(), list)
	if err != nil {
		t.Fatal(err)
	}
	if built.Checksum() != table.Checksum() {
		t.Fatal("checksum after changes differs from that of a built table")
	}
	if !slices.Equal(slices.Collect(built.All()), slices.Collect(table.All())) {
		t.Fatal("content after changes differs from that of a built table")
	}
}

// Guards against a delta that is accepted by a table of another version or content, or a second time, and against malformed
// blocks from the network.
func TestApplyRefusesWrongDeltas(t *testing.T) {
	a := Assignment{netip.MustParsePrefix("10.0.0.0/8"), 1}
	b := Assignment{netip.MustParsePrefix("10.1.0.0/16"), 2}
	base, _ := New(7, []Assignment{a})
	other, _ := New(7, []Assignment{{a.Prefix, 9}})
	delta, next, err := base.Change([]Assignment{b}, nil)
	is.New(t).NoErr(err)
	invalid := func(block *prefixv1.Block) *prefixv1.Delta {
		return &prefixv1.Delta{BaseVersion: 7, Version: 8, Put: []*prefixv1.Block{block}}
	}
	for _, c := range []struct {
		name  string
		table *Table
		delta *prefixv1.Delta
		want  error
	}{
		{"right base", base, delta, nil},
		{"applied twice", next, delta, ErrBaseVersion},
		{"older table", &Table{}, delta, ErrBaseVersion},
		{"version goes back", base, &prefixv1.Delta{BaseVersion: 7, Version: 7}, ErrBaseVersion},
		{"same version, other content", other, delta, ErrChecksum},
		{"too many blocks", base, &prefixv1.Delta{BaseVersion: 7, Version: 8, Remove: make([]*prefixv1.Block, MaxDeltaBlocks+1)}, ErrTooLarge},
		{"length beyond address", base, invalid(&prefixv1.Block{Length: 33}), ErrInvalidBlock},
		{"address too long", base, invalid(&prefixv1.Block{Address: make([]byte, 5), Length: 32}), ErrInvalidBlock},
		{"bits beyond length", base, invalid(&prefixv1.Block{Address: []byte{10, 1}, Length: 8}), ErrInvalidBlock},
		{"site too large", base, invalid(&prefixv1.Block{Site: 1 << 16}), ErrInvalidBlock},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, err := c.table.Apply(c.delta)
			is.True(errors.Is(err, c.want))
			is.Equal(got == nil, c.want != nil)
		})
	}
}

// Guards against a delta whose size depends on the size of the block or of the table: a change of one block must fit in a few
// hundred bytes.
func TestDeltaOfOneBlockIsSmall(t *testing.T) {
	table, _ := New(1<<60, nil)
	p := netip.MustParsePrefix("2001:db8:1234:5678:9abc:def0:1234:5678/128")
	delta, _, err := table.Change([]Assignment{{p, 1199}}, []netip.Prefix{p})
	is := is.New(t)
	is.NoErr(err)
	is.True(proto.Size(delta) <= 100)
}

// Guards against blocks that are lost when one long prefix increases the stored address bytes of a full chunk, whose entries
// then no longer fit in two chunks.
func TestLongBlockWidensChunk(t *testing.T) {
	reference := naiveTable{}
	var list []Assignment
	for i := range maxChunkEntries {
		p := netip.PrefixFrom(netip.AddrFrom16([16]byte{0x2a, byte(i)}), 16)
		list = append(list, Assignment{p, uint16(i)})
		reference[p] = uint16(i)
	}
	table, err := New(1, list)
	is := is.New(t)
	is.NoErr(err)
	is.Equal(len(table.v6.pages[0].chunks), 1)
	long := netip.MustParsePrefix("2a01::1/128")
	reference[long] = 700
	_, table, err = table.Change([]Assignment{{long, 700}}, nil)
	is.NoErr(err)
	for p := range reference {
		requireSame(t, table, reference, p.Addr())
	}
	requireContent(t, table, reference)
	for _, c := range table.v6.pages[0].chunks {
		is.True(len(c.data) <= maxChunkBytes)
	}
}

// Guards against a lookup that allocates memory, for any layout of a chunk.
func TestLookupDoesNotAllocate(t *testing.T) {
	r := rand.New(rand.NewPCG(4, 0))
	var list []Assignment
	for range 20_000 {
		list = append(list, Assignment{randomPrefix(r), 3})
	}
	table, err := New(1, list)
	is.New(t).NoErr(err)
	mapped := netip.MustParseAddr("::ffff:10.1.2.3")
	allocations := testing.AllocsPerRun(100, func() {
		for i := range 500 {
			table.Lookup(list[i].Prefix.Addr())
			table.Match(list[i].Prefix.Addr())
		}
		table.Match(mapped)
	})
	is.New(t).Equal(allocations, 0.0)
}

// Guards against a reader that sees part of a delta or is blocked by the writer. Two blocks always change together, so readers
// must see equal sites; under the race detector the test also checks the memory accesses.
func TestReadersSeeWholeVersions(t *testing.T) {
	left, right := netip.MustParsePrefix("10.0.0.0/24"), netip.MustParsePrefix("10.200.0.0/24")
	r := rand.New(rand.NewPCG(5, 0))
	var list []Assignment
	for range 5000 {
		list = append(list, Assignment{randomPrefix(r), 5})
	}
	store := NewStore()
	first, _ := New(1, append(list, Assignment{left, 0}, Assignment{right, 0}))
	store.Set(first)
	done := make(chan struct{})
	var readers sync.WaitGroup
	for range 4 {
		readers.Go(func() {
			for version := uint64(0); ; {
				table := store.Table()
				a, _ := table.Site(left)
				_, b, _ := table.Match(right.Addr())
				if a != b || table.Version() < version {
					t.Errorf("version %d after %d: sites %d and %d", table.Version(), version, a, b)
					return
				}
				version = table.Version()
				select {
				case <-done:
					return
				default:
				}
			}
		})
	}
	for i := range 300 {
		site := uint16(i)
		put := []Assignment{{left, site}, {right, site}, {randomPrefix(r), 6}}
		put = slices.DeleteFunc(put, func(a Assignment) bool { return a.Site == 6 && (a.Prefix == left || a.Prefix == right) })
		delta, _, err := store.Table().Change(put, nil)
		if err == nil {
			err = store.Apply(delta)
		}
		if err != nil {
			t.Error(err)
		}
	}
	close(done)
	readers.Wait()
}

// Guards against more than 32 MB of live memory while the largest delta is applied to a table of full size. The old table, the
// delta and the new table are all reachable then.
func TestMemoryAtFullSize(t *testing.T) {
	const limit = 32_000_000
	table := fullSize(1)
	before := liveBytes()
	r := rand.New(rand.NewPCG(6, 0))
	var put []Assignment
	for a := range table.All() {
		if r.IntN(400) == 0 && len(put) < MaxDeltaBlocks {
			put = append(put, Assignment{a.Prefix, a.Site + 1})
		}
	}
	delta, next, err := table.Change(put, nil)
	is := is.New(t)
	is.NoErr(err)
	during := liveBytes()
	runtime.KeepAlive(delta)
	runtime.KeepAlive(next)
	runtime.KeepAlive(table)
	table, delta, next, put = nil, nil, nil, nil
	empty := liveBytes()
	t.Logf("table %d bytes, with a delta of %d blocks in flight %d bytes", before-empty, MaxDeltaBlocks, during-empty)
	is.True(during-empty <= limit)
	runtime.KeepAlive([]any{table, delta, next, put})
}

// liveBytes returns the reachable heap memory in bytes.
func liveBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// fullSize returns a table of 1.6 million blocks, half IPv4 /24 and half IPv6 /48, at random addresses.
func fullSize(seed uint64) *Table {
	const blocks = 1_600_000
	r := rand.New(rand.NewPCG(seed, 1))
	b := newBuilder()
	for _, ipv6 := range []bool{false, true} {
		shift, length, spread := 40, uint8(24), uint64(40)
		k := key{}
		if ipv6 {
			shift, length, spread = 16, 48, 1<<25
			k.hi = 1 << 61
		}
		for range blocks / 2 {
			k.hi += (1 + r.Uint64N(spread)) << shift
			b.add(ipv6, entry{k, length, uint16(r.IntN(1200))})
		}
	}
	return b.table(1)
}
