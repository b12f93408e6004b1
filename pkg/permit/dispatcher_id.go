package permit

import (
	"cmp"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// dispatcherID identifies one run of a dispatcher and serves as a fencing token. It is the comparable form of
// peerv1.DispatcherID. The zero value is older than every dispatcher.
type dispatcherID struct {
	host        string
	incarnation uint64
	term        uint64
}

// firstTerm is the term of a dispatcher without a known predecessor.
const firstTerm = 1

func dispatcherIDOf(d *peerv1.DispatcherID) dispatcherID {
	return dispatcherID{host: d.GetHost(), incarnation: d.GetIncarnation(), term: d.GetTerm()}
}

func (i dispatcherID) proto() *peerv1.DispatcherID {
	return &peerv1.DispatcherID{Host: i.host, Incarnation: i.incarnation, Term: i.term}
}

// olderThan is the order of the dispatchers of one service. The term is compared first, because a successor may run on a host
// with a smaller incarnation than its predecessor's.
func (i dispatcherID) olderThan(o dispatcherID) bool {
	c := cmp.Or(cmp.Compare(i.term, o.term), cmp.Compare(i.incarnation, o.incarnation), cmp.Compare(i.host, o.host))
	return c < 0
}

// permitKey identifies a permit across dispatchers: by the dispatcher that granted it and its ID there.
type permitKey struct {
	dispatcher dispatcherID
	id         uint64
}

// holder is the incarnation of a host that requests and holds permits.
type holder struct {
	host        string
	incarnation uint64
}
