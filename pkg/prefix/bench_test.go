package prefix

import (
	"math/rand/v2"
	"net/netip"
	"testing"
)

// BenchmarkLookup looks up addresses all over a table of full size, so that most lookups miss the CPU caches.
func BenchmarkLookup(b *testing.B) {
	table := fullSize(1)
	r := rand.New(rand.NewPCG(2, 0))
	var addresses []netip.Addr
	for a := range table.All() {
		if r.IntN(20) == 0 {
			addresses = append(addresses, a.Prefix.Addr())
		}
	}
	r.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Lookup(addresses[i%len(addresses)])
	}
}

func BenchmarkApplyOneBlock(b *testing.B) {
	table := fullSize(1)
	var list []Assignment
	for a := range table.All() {
		list = append(list, a)
	}
	r := rand.New(rand.NewPCG(2, 0))
	b.ReportAllocs()
	for b.Loop() {
		a := list[r.IntN(len(list))]
		if _, _, err := table.Change([]Assignment{{a.Prefix, a.Site + 1}}, nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkLookupHot looks up only 64 addresses, so that their chunks stay in the CPU caches.
func BenchmarkLookupHot(b *testing.B) {
	table := fullSize(1)
	r := rand.New(rand.NewPCG(2, 0))
	var addresses []netip.Addr
	for a := range table.All() {
		if r.IntN(20) == 0 {
			addresses = append(addresses, a.Prefix.Addr())
		}
	}
	r.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:64]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.Lookup(addresses[i%len(addresses)])
	}
}
