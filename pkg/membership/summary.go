package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// remoteDomain is the last summary of another failure domain and its liveness.
type remoteDomain struct {
	summary *peerv1.DomainSummary
	// sequences holds the last sequence number of each relay, to detect duplicate summaries.
	sequences map[relayID]uint64
	// members is the member list whose hash is membersHash; summary.Members is always empty.
	members       []*peerv1.Member
	membersHash   uint64
	lastSummaryAt time.Time
	state         State
}

// relayID identifies one process that creates summaries.
type relayID struct {
	host        string
	incarnation uint64
}

// Summary returns the last summary of another failure domain, with its members, or nil if there is none.
func (t *Tracker) Summary(failureDomain string) *peerv1.DomainSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.remoteDomains[failureDomain]
	if d == nil {
		return nil
	}
	return d.withMembers()
}

// ServiceHeadrooms returns the headroom of the services in the last summary of another failure domain. The messages are
// shared and must not be modified: the request path calls this often, and the cost of copies would grow with the number of
// services.
func (t *Tracker) ServiceHeadrooms(failureDomain string) []*peerv1.ServiceHeadroom {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.remoteDomains[failureDomain]
	if d == nil {
		return nil
	}
	return d.summary.GetServices()
}

// Summaries returns the last summaries, with members, of all other failure domains that are not dead, sorted by name.
func (t *Tracker) Summaries() []*peerv1.DomainSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*peerv1.DomainSummary
	for _, d := range t.remoteDomains {
		if d.state != StateDead {
			list = append(list, d.withMembers())
		}
	}
	slices.SortFunc(list, func(a, b *peerv1.DomainSummary) int { return cmp.Compare(a.GetFailureDomain(), b.GetFailureDomain()) })
	return list
}

// withMembers returns the summary including the member list. The messages in it are shared and must not be modified.
func (d *remoteDomain) withMembers() *peerv1.DomainSummary {
	s := withoutMembers(d.summary)
	s.Members = d.members
	return s
}

// triggerSummary makes summaryLoop start its next round early. It does not block.
func (t *Tracker) triggerSummary() {
	select {
	case t.summaryTrigger <- struct{}{}:
	default:
	}
}

// summaryLoop reports headroom to the relays and, on a relay, exchanges summaries. A change of the member table triggers a
// round early, but rounds are at least minSummaryInterval apart.
func (t *Tracker) summaryLoop() {
	const minSummaryInterval = summaryInterval / 5
	for {
		t.pausePoint()
		t.reportHeadroom()
		t.exchangeSummaries()
		pause := time.NewTimer(minSummaryInterval)
		select {
		case <-t.ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
		rest := time.NewTimer(summaryInterval - minSummaryInterval)
		select {
		case <-t.ctx.Done():
			rest.Stop()
			return
		case <-rest.C:
		case <-t.summaryTrigger:
			rest.Stop()
		}
	}
}

// Relays returns the relays of a failure domain in order of rank, from members that are not dead. If all hosts of the domain are
// leaving, leaving hosts are relays: otherwise no host would inform the other failure domains.
func Relays(members []Member, failureDomain string) []Member {
	var staying, leaving []Member
	for _, m := range members {
		switch {
		case m.FailureDomain != failureDomain:
		case m.State == StateLeaving:
			leaving = append(leaving, m)
		default:
			staying = append(staying, m)
		}
	}
	if len(staying) == 0 {
		staying = leaving
	}
	ranked := RankForDuty("relay/"+failureDomain, staying)
	return ranked[:min(len(ranked), relaysPerDomain)]
}

func (v *snapshot) relays(failureDomain string) []Member { return Relays(v.all, failureDomain) }

// relayRank returns the rank of this host among the relays of its failure domain, or -1 if it is not a relay or has just
// resumed from a pause.
func (t *Tracker) relayRank(v *snapshot) int {
	t.mu.Lock()
	// The state from before the pause is outdated, but its summary would replace newer ones at the receivers.
	stale := !t.resumedAt.IsZero() && time.Since(t.resumedAt) < suspectAfter
	t.mu.Unlock()
	if stale {
		return -1
	}
	return slices.IndexFunc(v.relays(v.self.FailureDomain), func(m Member) bool { return m.Host == v.self.Host })
}

// ownSummary builds the summary of the local failure domain.
func (t *Tracker) ownSummary() *peerv1.DomainSummary {
	version := t.opts.ConfigVersion()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.sequence++
	s := &peerv1.DomainSummary{
		FailureDomain: t.opts.Self.FailureDomain, Region: t.opts.Self.Region,
		Relay: t.opts.Self.Host, RelayIncarnation: t.opts.Self.Incarnation,
		Sequence: t.sequence, ConfigVersion: version, Services: t.latestHeadroom(now),
	}
	for _, host := range t.view.Load().ring {
		m := t.records[host].encode(now)
		m.Held = nil
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b *peerv1.Member) int { return cmp.Compare(a.GetHost(), b.GetHost()) })
	s.MembersHash = hashMembers(s.Members)
	return s
}

// hashMembers returns a hash of the name, incarnation, version and state of each member.
func hashMembers(members []*peerv1.Member) uint64 {
	var b []byte
	for _, m := range members {
		b = append(append(b, m.GetHost()...), 0)
		b = binary.LittleEndian.AppendUint64(b, m.GetIncarnation())
		b = binary.LittleEndian.AppendUint64(b, m.GetVersion())
		b = append(b, byte(m.GetState()))
	}
	return xxhash.Sum64(b)
}
