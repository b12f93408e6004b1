package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// sortRing sorts hosts by the hash of their name. Hosts with similar names, such as those of one rack, may fail together and
// are spread over the ring.
func sortRing(hosts []string) {
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
}

// successors returns the hosts to which a host sends heartbeats.
func successors(ring []string, host string) []string { return neighbours(ring, host, 1) }

// predecessors returns the hosts from which a host receives heartbeats.
func predecessors(ring []string, host string) []string { return neighbours(ring, host, -1) }

// neighbours returns the hosts next to a host in the ring, in the direction of step (1 or -1).
func neighbours(ring []string, host string, step int) []string {
	at := slices.Index(ring, host)
	if at < 0 {
		return nil
	}
	count := ringSuccessors
	if len(ring) <= meshSize {
		count = len(ring) - 1
	}
	list := make([]string, 0, count)
	for i := 1; i <= count; i++ {
		list = append(list, ring[(at+step*i+len(ring))%len(ring)])
	}
	return list
}
