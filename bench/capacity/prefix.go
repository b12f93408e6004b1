package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"

	"google.golang.org/protobuf/proto"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

// maxTableBytes is the limit on the live heap of a prefix table while a delta is applied, in bytes.
const maxTableBytes = 32e6

// siteCount is the number of sites in the deployment expected in two years.
const siteCount = 1200

func (s *settings) blockCounts() []int {
	if s.quick {
		return []int{25_000, 50_000, 100_000, 200_000}
	}
	return []int{100_000, 200_000, 400_000, 800_000, 1_600_000}
}

// blockSource draws a random block from a distribution. It may return a block more than once.
type blockSource func(r *rand.Rand) netip.Prefix

// typicalBlock draws 60% IPv4 and 40% IPv6 blocks of usual prefix lengths; many of them are nested.
func typicalBlock(r *rand.Rand) netip.Prefix {
	if r.IntN(10) < 6 {
		return ipv4(r, []int{24, 24, 24, 24, 24, 24, 23, 22, 20, 16, 25, 28, 32}[r.IntN(13)])
	}
	return ipv6(r, []int{48, 48, 48, 48, 56, 56, 64, 44, 40, 36, 32}[r.IntN(11)])
}

func ipv4(r *rand.Rand, length int) netip.Prefix {
	x := r.Uint32()
	a := netip.AddrFrom4([4]byte{1 + byte(x>>24)%223, byte(x >> 16), byte(x >> 8), byte(x)})
	p, _ := a.Prefix(length)
	return p
}

// ipv6 draws a block from 30,000 networks of 32 bits, in which the blocks are dense.
func ipv6(r *rand.Rand, length int) netip.Prefix {
	network, x := r.IntN(30_000), r.Uint64()
	b := [16]byte{0x2a, byte(network >> 8), byte(network), 4: byte(x >> 8), 5: byte(x), 6: byte(x >> 16), 7: byte(x >> 24)}
	p, _ := netip.AddrFrom16(b).Prefix(length)
	return p
}

func randomIPv6(r *rand.Rand, length int) netip.Prefix {
	b := [16]byte{0x20}
	for i := 1; i < 16; i++ {
		b[i] = byte(r.Uint32())
	}
	p, _ := netip.AddrFrom16(b).Prefix(length)
	return p
}

// nestedBlocks alternately draws a random block and a block inside it. With such blocks, chunks can omit none of their columns.
func nestedBlocks() blockSource {
	var outer netip.Prefix
	return func(r *rand.Rand) netip.Prefix {
		if outer.IsValid() {
			inner := netip.PrefixFrom(outer.Addr(), 128)
			outer = netip.Prefix{}
			return inner
		}
		outer = randomIPv6(r, 127)
		return outer
	}
}

// assignments draws n distinct blocks with random sites.
func assignments(n int, draw blockSource) []prefix.Assignment {
	r := rand.New(rand.NewPCG(1, uint64(n)))
	seen := make(map[netip.Prefix]bool, n)
	list := make([]prefix.Assignment, 0, n)
	for len(list) < n {
		p := draw(r)
		if !seen[p] {
			seen[p] = true
			list = append(list, prefix.Assignment{Prefix: p, Site: uint16(r.IntN(siteCount))})
		}
	}
	return list
}

// must returns v, or panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// addressesIn returns random addresses. Half of them are in blocks of the list.
func addressesIn(list []prefix.Assignment) []netip.Addr {
	r := rand.New(rand.NewPCG(2, 0))
	addresses := make([]netip.Addr, 1<<16)
	for i := range addresses {
		addresses[i] = list[r.IntN(len(list))].Prefix.Addr()
		if i%2 == 0 {
			addresses[i] = typicalBlock(r).Addr()
		}
	}
	return addresses
}

// storeSource is a prefix.Source that reads a store of the same process, but encodes and decodes each segment and counts its
// bytes.
type storeSource struct {
	store *prefix.Store
	bytes int
}

func (s *storeSource) FetchSegment(_ context.Context, from *prefixv1.Block, n int) (*prefixv1.Segment, error) {
	segment, err := s.store.Table().Segment(from, n)
	if err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(segment)
	if err != nil {
		return nil, err
	}
	s.bytes += len(encoded)
	decoded := &prefixv1.Segment{}
	return decoded, proto.Unmarshal(encoded, decoded)
}

func (s *storeSource) FetchDeltas(_ context.Context, after uint64) (*prefixv1.FetchDeltasResponse, error) {
	return s.store.Deltas(after), nil
}

func measurePrefix(s *settings) []*series {
	const size = "blocks"
	memory := &series{name: "live memory", size: size, unit: "MB"}
	flight := &series{name: "live memory with the largest delta in flight", size: size, unit: "MB"}
	lookup := &series{name: "lookup of random addresses", size: size, unit: "ns CPU"}
	hot := &series{name: "lookup of 64 addresses in turn", size: size, unit: "ns CPU"}
	apply := &series{name: "apply a delta of one block", size: size, unit: "us CPU"}
	copied := &series{name: "bytes allocated by that", size: size, unit: "kB"}
	wire := &series{name: "delta of one block, encoded", size: size, unit: "B"}
	top := &series{name: "apply a delta of ::/0", size: size, unit: "us CPU"}
	topCopied := &series{name: "bytes allocated by that delta", size: size, unit: "kB"}
	full := &series{name: "full copy, encoded", size: size, unit: "MB"}
	load := &series{name: "load a full copy, both sides", size: size, unit: "s CPU"}
	for _, n := range s.blockCounts() {
		list := assignments(n, typicalBlock)
		table, bytes := liveHeapOf(func() *prefix.Table { return must(prefix.New(1, list)) })
		memory.add(n, bytes/1e6)
		flight.add(n, (bytes+deltaHeap(table, list))/1e6)
		addresses := addressesIn(list)
		lookup.add(n, 1e9*cpuPerOp(s.minCPUTime, func(n int) { lookUp(table, addresses, n) }))
		hot.add(n, 1e9*cpuPerOp(s.minCPUTime, func(n int) { lookUp(table, addresses[:64], n) }))

		delta := mustFirst(table.Change([]prefix.Assignment{{Prefix: list[n/2].Prefix, Site: 7}}, nil))
		wire.add(n, float64(proto.Size(delta)))
		apply.add(n, 1e6*cpuPerOp(s.minCPUTime, func(n int) { applyEach(table, list, n) }))
		copied.add(n, allocPerOp(200, func() { applyEach(table, list, 1) })/1e3)
		all := mustFirst(table.Change([]prefix.Assignment{{Prefix: netip.MustParsePrefix("::/0"), Site: 7}}, nil))
		top.add(n, 1e6*cpuPerOp(s.minCPUTime, func(n int) {
			for range n {
				must(table.Apply(all))
			}
		}))
		topCopied.add(n, allocPerOp(20, func() { must(table.Apply(all)) })/1e3)

		source := &storeSource{store: prefix.NewStore()}
		source.store.Set(table)
		start := cpuTime()
		must(prefix.Load(context.Background(), prefix.LoadOptions{Peers: []prefix.Source{source}}))
		load.add(n, (cpuTime() - start).Seconds())
		full.add(n, float64(source.bytes)/1e6)
	}
	printDistributions(s)
	return []*series{memory, flight, lookup, hot, apply, copied, wire, top, topCopied, full, load}
}

// mustFirst is must for functions with two results before the error; it returns the first.
func mustFirst[T, U any](v T, _ U, err error) T { return must(v, err) }

// deltaHeap returns the live heap that a delta of the largest size and the new table add while the old table is still in use.
func deltaHeap(table *prefix.Table, list []prefix.Assignment) float64 {
	var put []prefix.Assignment
	for i := range prefix.MaxDeltaBlocks {
		a := list[i*(len(list)/prefix.MaxDeltaBlocks)]
		put = append(put, prefix.Assignment{Prefix: a.Prefix, Site: a.Site + 1})
	}
	type change struct {
		delta *prefixv1.Delta
		next  *prefix.Table
	}
	_, bytes := liveHeapOf(func() change {
		delta, next, err := table.Change(put, nil)
		return change{must(delta, err), next}
	})
	return bytes
}

func lookUp(table *prefix.Table, addresses []netip.Addr, n int) {
	for i := range n {
		table.Lookup(addresses[i&(len(addresses)-1)])
	}
}

func applyEach(table *prefix.Table, list []prefix.Assignment, n int) {
	for i := range n {
		a := list[i*7919%len(list)]
		mustFirst(table.Change([]prefix.Assignment{{Prefix: a.Prefix, Site: a.Site + 1}}, nil))
	}
}

// printDistributions prints memory and lookup time of the largest table for several distributions of blocks.
func printDistributions(s *settings) {
	counts := s.blockCounts()
	n := counts[len(counts)-1]
	fmt.Printf("| %d blocks | live MB | with the largest delta in flight, MB | lookup, ns CPU | full copy, MB |\n", n)
	fmt.Println("| --- | --- | --- | --- | --- |")
	for _, d := range []struct {
		name string
		draw blockSource
	}{
		{"IPv4 and IPv6 of usual lengths", typicalBlock},
		{"IPv4 /24 and /32", func(r *rand.Rand) netip.Prefix { return ipv4(r, []int{24, 32}[r.IntN(2)]) }},
		{"IPv6 /48", func(r *rand.Rand) netip.Prefix { return ipv6(r, 48) }},
		{"IPv6 /64", func(r *rand.Rand) netip.Prefix { return ipv6(r, 64) }},
		{"IPv6 /128 at random", func(r *rand.Rand) netip.Prefix { return randomIPv6(r, 128) }},
		{"IPv6 /121 to /128 at random", func(r *rand.Rand) netip.Prefix { return randomIPv6(r, 121+r.IntN(8)) }},
		{"IPv6 /127 and /128 inside it, at random: the worst case", nestedBlocks()},
	} {
		list := assignments(n, d.draw)
		table, bytes := liveHeapOf(func() *prefix.Table { return must(prefix.New(1, list)) })
		printDistribution(s, d.name, table, list, bytes)
	}
	list := assignments(n, typicalBlock)
	changes := n / 4
	aged, bytes := liveHeapOf(func() *prefix.Table { return churn(must(prefix.New(1, list)), list, changes) })
	printDistribution(s, fmt.Sprintf("usual lengths after %d removals and %d insertions", changes, changes), aged, list, bytes)
}

func printDistribution(s *settings, name string, table *prefix.Table, list []prefix.Assignment, bytes float64) {
	flight := deltaHeap(table, list)
	if bytes+flight > maxTableBytes {
		s.exceededLimits = append(s.exceededLimits, fmt.Sprintf("prefix table of %s takes %.1f MB", name, (bytes+flight)/1e6))
	}
	addresses := addressesIn(list)
	ns := 1e9 * cpuPerOp(s.minCPUTime, func(n int) { lookUp(table, addresses, n) })
	source := &storeSource{store: prefix.NewStore()}
	source.store.Set(table)
	must(prefix.Load(context.Background(), prefix.LoadOptions{Peers: []prefix.Source{source}}))
	fmt.Printf("| %s | %.1f | %.1f | %.0f | %.1f |\n", name, bytes/1e6, (bytes+flight)/1e6, ns, float64(source.bytes)/1e6)
	runtime.KeepAlive(table)
}

// churn replaces random blocks: the insertions split full chunks, and the removals leave others partly empty.
func churn(table *prefix.Table, list []prefix.Assignment, changes int) *prefix.Table {
	const batch = prefix.MaxDeltaBlocks / 2
	r := rand.New(rand.NewPCG(3, 0))
	for range changes / batch {
		var put []prefix.Assignment
		var remove []netip.Prefix
		for range batch {
			put = append(put, prefix.Assignment{Prefix: typicalBlock(r), Site: 5})
			remove = append(remove, list[r.IntN(len(list))].Prefix)
		}
		_, next, err := table.Change(put, remove)
		table = must(next, err)
	}
	return table
}

var _ prefix.Source = (*storeSource)(nil)
