// Package membership maintains the table of live hosts. In the local failure domain each host sends heartbeats to its
// successors in a ring, the timeouts form a failure detector, and changes spread by gossip. Relays exchange summaries of
// whole failure domains with other failure domains.
package membership

import (
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// State is the liveness of a host as this host sees it. The order matters: of two reports with the same incarnation and
// version, the one with the higher state wins.
type State int

// States of a member. A suspect member still owns its keys; a dead one does not.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateDead
)

// Member is one host.
type Member struct {
	Host string
	// Incarnation is the start time of the host's process, in microseconds since the Unix epoch.
	Incarnation uint64
	// FailureDomain is the dispatch domain of the host. It equals Place unless several failure domains share dispatchers.
	FailureDomain string
	// Place is the failure domain in which the host physically is.
	Place           string
	Region          string
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
	// Capacity is the CPU capacity of the host in thousandths of a core; 0 if it is unknown.
	Capacity uint32
	// TargetsUnreachable is set while the host can open a connection to no target of its dispatch domain.
	TargetsUnreachable bool
	// Overloaded is set while the host has more work than processor time, and refuses requests.
	Overloaded bool
	State      State
}

// Address returns the host name and the peer address of the member.
func (m Member) Address() peer.Address { return peer.Address{Host: m.Host, Addr: m.PeerAddress} }

// ReachesTargets reports whether the member is alive and reaches targets.
func (m Member) ReachesTargets() bool { return m.State == StateAlive && !m.TargetsUnreachable }

// IsUsable reports whether the member reaches targets and has processor time for requests.
func (m Member) IsUsable() bool { return m.ReachesTargets() && !m.Overloaded }

// Owners returns the hosts of a failure domain that may own its shared state, such as dispatchers and caps: those of
// View.Domain. If no host is left there but this one, which is leaving, this host stays an owner, because the requests that it still
// serves need that state.
func Owners(view View, failureDomain string) []Member {
	members := view.Domain(failureDomain)
	if self := view.Self(); len(members) == 0 && self.FailureDomain == failureDomain {
		return []Member{self}
	}
	return members
}

// IsGone reports whether a member has left the view, is dead or has restarted, so that it will not answer a call.
func IsGone(view View, m Member) bool {
	known, ok := view.Lookup(m.Host)
	return !ok || known.State == StateDead || known.Incarnation != m.Incarnation
}

// View is read access to the member table. Returned slices are sorted by host name and must not be modified.
type View interface {
	// Self returns this host.
	Self() Member
	// Domain returns the alive and suspect members of a failure domain, without leaving and dead ones.
	Domain(failureDomain string) []Member
	// All returns all members that are not dead.
	All() []Member
	// Lookup returns a member by host name. Dead members are included until their retention period is over.
	Lookup(host string) (Member, bool)
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}
