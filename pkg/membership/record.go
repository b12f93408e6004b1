package membership

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// HeldPermits is the number of permits of one host at one target, from its last heartbeat.
type HeldPermits struct {
	Service string
	Target  string
	Count   int
	// Deadline is the latest deadline of these permits.
	Deadline time.Time
}

// record is the entry of one host in the member table.
type record struct {
	Member
	// version orders reports about one incarnation. Only the host itself increments it.
	version uint64
	// lastSeenAt is when the last message or version increment of the host arrived. It is used only while the host is
	// watched.
	lastSeenAt time.Time
	watched    bool
	// refusedConnections counts consecutive connection attempts that the host's address refused.
	refusedConnections int
	diedAt             time.Time
	// listedLeaving is set while the platform's host list marks the host as leaving.
	listedLeaving bool

	sequence      uint64
	configVersion uint64
	held          []HeldPermits
	heldReported  bool

	sending bool
	// acknowledgedVersion is the version of this host's own record that the host has in its table, as far as its replies tell. Heartbeats
	// to it leave out a record that it has.
	acknowledgedVersion uint64
	wantsFullList       bool
	fullListSentAt      time.Time
}

// supersedes reports whether m is newer than r, by incarnation, then version, then state.
func supersedes(m *peerv1.Member, r *record) bool {
	if m.GetIncarnation() != r.Incarnation {
		return m.GetIncarnation() > r.Incarnation
	}
	if m.GetVersion() != r.version {
		return m.GetVersion() > r.version
	}
	return State(m.GetState()) > r.State
}

// effectiveState returns the state of the record, or leaving if the platform's host list says so and the host is not dead.
func (r *record) effectiveState() State {
	if r.listedLeaving && r.State < StateLeaving {
		return StateLeaving
	}
	return r.State
}

// encode returns the message of the record. It includes the held permits only of suspect and dead hosts.
func (r *record) encode(now time.Time) *peerv1.Member {
	m := &peerv1.Member{
		Host: r.Host, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain, Place: r.Place, Region: r.Region,
		PeerAddress: r.PeerAddress, CallerAddress: r.CallerAddress, OperatorAddress: r.OperatorAddress,
		Leaving: r.State == StateLeaving, Capacity: r.Capacity, Version: r.version, State: peerv1.MemberState(r.State),
		TargetsUnreachable: r.TargetsUnreachable, Overloaded: r.Overloaded,
	}
	if r.State == StateSuspect || r.State == StateDead {
		m.Held = encodeHeld(r.held, now)
	}
	return m
}

func decodeMember(m *peerv1.Member) Member {
	return Member{
		Host: m.GetHost(), Incarnation: m.GetIncarnation(), FailureDomain: m.GetFailureDomain(), Place: m.GetPlace(), Region: m.GetRegion(),
		PeerAddress: m.GetPeerAddress(), CallerAddress: m.GetCallerAddress(), OperatorAddress: m.GetOperatorAddress(),
		Capacity: m.GetCapacity(), TargetsUnreachable: m.GetTargetsUnreachable(), Overloaded: m.GetOverloaded(), State: State(m.GetState()),
	}
}

// encodeHeld encodes held permits and omits those whose deadline has passed.
func encodeHeld(held []HeldPermits, now time.Time) []*peerv1.HeldPermits {
	var list []*peerv1.HeldPermits
	for _, h := range held {
		left := h.Deadline.Sub(now)
		if left <= 0 {
			continue
		}
		list = append(list, &peerv1.HeldPermits{
			Service: h.Service, Target: h.Target, Count: uint32(h.Count), LatestDeadlineMs: uint32(left.Milliseconds()) + 1,
		})
	}
	return list
}

func decodeHeld(list []*peerv1.HeldPermits, now time.Time) []HeldPermits {
	held := make([]HeldPermits, len(list))
	for i, h := range list {
		held[i] = HeldPermits{
			Service: h.GetService(), Target: h.GetTarget(), Count: int(h.GetCount()),
			Deadline: now.Add(time.Duration(h.GetLatestDeadlineMs()) * time.Millisecond),
		}
	}
	return held
}
