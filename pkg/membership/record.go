package membership

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// HeldPermits counts the permits of one host at one target, as its last heartbeat reported.
type HeldPermits struct {
	Service string
	Target  string
	Count   int
	// Deadline is the latest deadline of these permits.
	Deadline time.Time
}

// record is what this host knows of one member.
type record struct {
	Member
	// version is raised by the member itself and orders what is said about one incarnation.
	version uint64
	// lastSeenAt is the last sign of life; it counts only while watched.
	lastSeenAt time.Time
	watched    bool
	// refusedConnections counts the connections that the host's address refused since its last sign of life.
	refusedConnections int
	diedAt             time.Time
	// listedLeaving is set while the platform's list says that the host is leaving.
	listedLeaving bool

	sequence      uint64
	configVersion uint64
	held          []HeldPermits
	heldReported  bool

	sending        bool
	wantsFullList  bool
	fullListSentAt time.Time
}

// supersedes reports whether m says something newer than r about the same host.
func supersedes(m *peerv1.Member, r *record) bool {
	if m.GetIncarnation() != r.Incarnation {
		return m.GetIncarnation() > r.Incarnation
	}
	if m.GetVersion() != r.version {
		return m.GetVersion() > r.version
	}
	return State(m.GetState()) > r.State
}

// effectiveState adds what the platform's list says.
func (r *record) effectiveState() State {
	if r.listedLeaving && r.State < StateLeaving {
		return StateLeaving
	}
	return r.State
}

func (r *record) encode(now time.Time) *peerv1.Member {
	m := &peerv1.Member{
		Host: r.Host, Incarnation: r.Incarnation, FailureDomain: r.FailureDomain, Place: r.Place, Region: r.Region,
		PeerAddress: r.PeerAddress, CallerAddress: r.CallerAddress, OperatorAddress: r.OperatorAddress,
		Leaving: r.State == StateLeaving, Capacity: r.Capacity, Version: r.version, State: peerv1.MemberState(r.State),
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
		Capacity: m.GetCapacity(), State: State(m.GetState()),
	}
}

// encodeHeld leaves out permits whose deadline has passed.
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
