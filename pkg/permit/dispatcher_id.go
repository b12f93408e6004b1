package permit

import (
	"cmp"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// dispatcherID is a DispatcherID as a comparable value. The zero value is older than every dispatcher.
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

// olderThan orders dispatchers of one service. The term comes first because a successor may run on a host that started earlier
// than its predecessor.
func (i dispatcherID) olderThan(o dispatcherID) bool {
	c := cmp.Or(cmp.Compare(i.term, o.term), cmp.Compare(i.incarnation, o.incarnation), cmp.Compare(i.host, o.host))
	return c < 0
}

// permitKey names a permit across dispatchers.
type permitKey struct {
	dispatcher dispatcherID
	id         uint64
}

// holder is the host and incarnation that a permit was granted to.
type holder struct {
	host        string
	incarnation uint64
}
