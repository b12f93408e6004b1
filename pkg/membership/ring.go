package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ring is the order, on which all hosts of a failure domain agree, in which they watch each other.
type ring struct {
	hosts []string
	// placeOf returns the place of a host.
	placeOf func(host string) string
}

// newRing returns a ring of hosts, which it sorts by the hash of their name. Hosts with similar names, such as those of one rack, may fail
// together and are spread over the ring.
func newRing(hosts []string, placeOf func(host string) string) ring {
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return ring{hosts, placeOf}
}

// successors returns the hosts to which a host sends heartbeats, which watch it: the next ones in the ring. Of more than meshSize hosts
// there are ringSuccessors, of which one is in another place, so that the loss of a whole place is noticed, and the others are in the same
// place if it has enough hosts: messages between places are expensive.
func (r ring) successors(host string) []string {
	at := slices.Index(r.hosts, host)
	if at < 0 {
		return nil
	}
	return r.successorsAt(at)
}

// successorsAt returns the successors of the host at a position.
func (r ring) successorsAt(at int) []string {
	size := len(r.hosts)
	if size <= meshSize {
		return slices.Concat(r.hosts[at+1:], r.hosts[:at])
	}
	place := r.placeOf(r.hosts[at])
	near, far := make([]string, 0, ringSuccessors), make([]string, 0, ringSuccessors)
	for i := 1; i < size && (len(near) < ringSuccessors || len(far) < 1); i++ {
		next := r.hosts[(at+i)%size]
		switch isNear := r.placeOf(next) == place; {
		case isNear && len(near) < ringSuccessors:
			near = append(near, next)
		case !isNear && len(far) < ringSuccessors:
			far = append(far, next)
		}
	}
	near = near[:min(len(near), max(ringSuccessors-1, ringSuccessors-len(far)))]
	return append(near, far[:min(len(far), ringSuccessors-len(near))]...)
}

// predecessors returns the hosts from which a host receives heartbeats.
func (r ring) predecessors(host string) []string {
	var list []string
	for i, h := range r.hosts {
		if slices.Contains(r.successorsAt(i), host) {
			list = append(list, h)
		}
	}
	return list
}
