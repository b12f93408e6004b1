// Package membership tracks the live hosts of the own failure domain by heartbeat and those of other failure domains by
// summaries.
package membership

import (
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// State says what is known of a host.
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
	// FailureDomain is the dispatch domain: the failure domain itself unless several share dispatchers.
	FailureDomain string
	// Place is the failure domain that the host stands in.
	Place           string
	Region          string
	PeerAddress     string
	CallerAddress   string
	OperatorAddress string
	// Capacity is the processor time that the host has, in thousandths of a core; 0 if it does not say.
	Capacity uint32
	State    State
}

// Address returns where the member listens for peers.
func (m Member) Address() peer.Address { return peer.Address{Host: m.Host, Addr: m.PeerAddress} }

// View reads the member table. Slices are sorted by host name and must not be changed.
type View interface {
	// Self returns this host.
	Self() Member
	// Domain returns the alive and suspect members of a failure domain, without leaving and dead ones.
	Domain(failureDomain string) []Member
	// All returns all members that are not dead.
	All() []Member
	// Lookup returns a member by host name, dead ones included for as long as they are remembered.
	Lookup(host string) (Member, bool)
	// Changed returns a channel that is closed at the next change of the table.
	Changed() <-chan struct{}
}
