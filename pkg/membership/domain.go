package membership

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// onSummaries stores summaries of other failure domains and requests the members of those whose member list has changed.
// Summaries from another failure domain are forwarded to the relays of the local one.
func (t *Tracker) onSummaries(from peer.Identity, m *peerv1.DomainSummaries) (proto.Message, error) {
	resp := &peerv1.DomainSummariesResponse{}
	var accepted, updated []*peerv1.DomainSummary
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, s := range m.GetSummaries() {
		if s.GetFailureDomain() == t.opts.Self.FailureDomain {
			continue
		}
		d := t.remoteDomainFor(s.GetFailureDomain())
		if s.GetMembersHash() != d.membersHash && len(s.GetMembers()) == 0 {
			resp.WantMembers = append(resp.WantMembers, s.GetFailureDomain())
			continue
		}
		hash, state := d.membersHash, d.state
		if t.applySummary(d, s) {
			changed = true
			accepted = append(accepted, d.withMembers())
			if d.membersHash != hash || d.state != state {
				updated = append(updated, d.withMembers())
			}
		}
	}
	if changed {
		t.publish()
	}
	if from.FailureDomain != t.opts.Self.FailureDomain {
		t.forwardToRelays(accepted, updated)
		resp.Contacts = t.contactsFor(m.GetKnownDomains())
	}
	return resp, nil
}

// contactsFor returns one address in each other failure domain, or nil if the sender has contacts in at least as many of them
// (senderDomains) as this host. Domains whose seeds are all in one common domain discover each other in this way.
func (t *Tracker) contactsFor(senderDomains uint32) []*peerv1.Member {
	byDomain := t.contactsByDomain()
	if uint32(len(byDomain)) <= senderDomains {
		return nil
	}
	var list []*peerv1.Member
	for name, addresses := range byDomain {
		sortAddresses(addresses)
		addr := addresses[t.random.IntN(len(addresses))].Addr
		list = append(list, &peerv1.Member{FailureDomain: name, PeerAddress: addr})
	}
	return list
}

// forwardToRelays sends summaries from another failure domain to the relays of the local one. A host that is not a relay
// forwards all accepted summaries. A relay forwards only those that changed the members or the state of a domain, because
// the other relay exchanges summaries with other hosts and may not have that domain yet.
func (t *Tracker) forwardToRelays(accepted, updated []*peerv1.DomainSummary) {
	v := t.view.Load()
	relays := v.relays(v.self.FailureDomain)
	summaries := accepted
	if slices.ContainsFunc(relays, func(m Member) bool { return m.Host == v.self.Host }) {
		summaries = updated
	}
	if len(summaries) == 0 || t.closed {
		return
	}
	for _, m := range relays {
		if m.Host != v.self.Host {
			t.workers.Go(func() { t.pushSummaries(m.Address(), summaries) })
		}
	}
}

// remoteDomainFor returns the entry of a failure domain, and creates it in the state dead if there is none.
func (t *Tracker) remoteDomainFor(name string) *remoteDomain {
	d := t.remoteDomains[name]
	if d == nil {
		d = &remoteDomain{sequences: map[relayID]uint64{}, state: StateDead}
		t.remoteDomains[name] = d
	}
	return d
}

// maxRelaySequences limits the relays per domain whose last sequence number is stored.
const maxRelaySequences = 8

// applySummary stores a summary and its members and returns true, or returns false if the sequence number shows that the
// summary is a duplicate or out of order.
func (t *Tracker) applySummary(d *remoteDomain, s *peerv1.DomainSummary) bool {
	relay := relayID{s.GetRelay(), s.GetRelayIncarnation()}
	if s.GetSequence() <= d.sequences[relay] {
		return false
	}
	if len(d.sequences) >= maxRelaySequences {
		clear(d.sequences)
	}
	d.sequences[relay] = s.GetSequence()
	if len(s.GetMembers()) > 0 {
		d.members, d.membersHash = s.GetMembers(), s.GetMembersHash()
	}
	d.summary = withoutMembers(s)
	d.lastSummaryAt = time.Now()
	d.state = StateAlive
	t.applyDomainMembers(s.GetFailureDomain(), d.members)
	return true
}

// applyDomainMembers replaces the records of the hosts of another failure domain. Hosts that are not listed are dead.
func (t *Tracker) applyDomainMembers(name string, members []*peerv1.Member) {
	now := time.Now()
	listed := make(map[string]bool, len(members))
	for _, m := range members {
		listed[m.GetHost()] = true
		r := t.records[m.GetHost()]
		if r == nil {
			r = &record{}
			t.records[m.GetHost()] = r
		}
		if m.GetIncarnation() < r.Incarnation {
			continue
		}
		if m.GetIncarnation() > r.Incarnation {
			t.replace(r, m, now)
		}
		r.Member = decodeMember(m)
		r.version = m.GetVersion()
		t.addContact(m.GetPeerAddress(), m)
	}
	for _, r := range t.records {
		if r.FailureDomain == name && !listed[r.Host] && r.State != StateDead {
			r.State, r.diedAt = StateDead, now
		}
	}
}

// checkDomains marks failure domains without a recent summary as suspect or dead, and returns whether any state changed.
func (t *Tracker) checkDomains(now time.Time) bool {
	changed := false
	for name, d := range t.remoteDomains {
		silence := now.Sub(d.lastSummaryAt)
		next := d.state
		switch {
		case silence >= domainDeadAfter:
			next = StateDead
		case silence >= domainSuspectAfter && d.state == StateAlive:
			next = StateSuspect
		}
		if next == d.state {
			continue
		}
		d.state = next
		t.markDomain(name, next, now)
		changed = true
	}
	return changed
}

// markDomain sets the state of all hosts of a failure domain, except those whose state is as bad or worse.
func (t *Tracker) markDomain(name string, state State, now time.Time) {
	for _, r := range t.records {
		if r.FailureDomain != name || r.State >= state {
			continue
		}
		r.State = state
		if state == StateDead {
			r.diedAt = now
		}
	}
}
