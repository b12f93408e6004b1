package membership

import (
	"cmp"
	"context"
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// exchangeSummaries does nothing on a host that is not a relay. A relay sends the summary of the local failure domain to
// each other failure domain. The disseminator also sends the summaries of the other failure domains to all hosts of its own.
func (t *Tracker) exchangeSummaries() {
	v := t.view.Load()
	rank := t.relayRank(v)
	if rank < 0 {
		return
	}
	own := t.ownSummary()
	for _, to := range t.remoteRelays(v, rank) {
		t.spawn(func() { t.pushSummaries(to, []*peerv1.DomainSummary{own}) })
	}
	t.rounds++
	if t.rounds%relaySyncRounds == 0 {
		t.syncWithRelays(v)
	}
	if t.isDisseminator(v) {
		others := t.Summaries()
		for _, host := range v.ring {
			if host != v.self.Host && len(others) > 0 {
				t.spawn(func() { t.pushSummaries(v.byName[host].Address(), others) })
			}
		}
	}
}

// syncWithRelays sends recent summaries to the other relays of the local failure domain, in case an earlier message was
// lost. Older summaries are left out: they would delay the detection of a failure domain that is partitioned.
func (t *Tracker) syncWithRelays(v *snapshot) {
	var summaries []*peerv1.DomainSummary
	t.mu.Lock()
	for _, d := range t.remoteDomains {
		if d.state == StateAlive && time.Since(d.lastSummaryAt) <= 2*summaryInterval {
			summaries = append(summaries, d.withMembers())
		}
	}
	t.mu.Unlock()
	if len(summaries) == 0 {
		return
	}
	for _, m := range v.relays(v.self.FailureDomain) {
		if m.Host != v.self.Host {
			t.spawn(func() { t.pushSummaries(m.Address(), summaries) })
		}
	}
}

// isDisseminator reports whether this host is the highest-ranked relay that is alive or leaving.
func (t *Tracker) isDisseminator(v *snapshot) bool {
	for _, m := range v.relays(v.self.FailureDomain) {
		if m.State == StateAlive || m.State == StateLeaving {
			return m.Host == v.self.Host
		}
	}
	return false
}

// remoteRelays returns, for each other failure domain, the relay with the same rank. If no host of the domain is alive or
// suspect, it adds a random contact: during a partition the known hosts may have left and others may have started.
func (t *Tracker) remoteRelays(v *snapshot, rank int) []peer.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	chosen := t.contactsByDomain()
	var list []peer.Address
	for name, contacts := range chosen {
		relays := v.relays(name)
		if len(relays) > 0 {
			list = append(list, relays[rank%len(relays)].Address())
		}
		if len(v.byDomain[name]) > 0 {
			continue
		}
		sortAddresses(contacts)
		list = append(list, contacts[t.random.IntN(len(contacts))])
	}
	return list
}

// contactsByDomain returns the contacts in other failure domains. t.mu must be held.
func (t *Tracker) contactsByDomain() map[string][]peer.Address {
	byDomain := map[string][]peer.Address{}
	for _, c := range t.contacts {
		if c.failureDomain != "" && c.failureDomain != t.opts.Self.FailureDomain {
			byDomain[c.failureDomain] = append(byDomain[c.failureDomain], c.address)
		}
	}
	return byDomain
}

func sortAddresses(list []peer.Address) {
	slices.SortFunc(list, func(a, b peer.Address) int { return cmp.Compare(a.Addr, b.Addr) })
}

// pushSummaries sends summaries without their member lists. It then sends again, with the list, each summary whose list the
// receiver requests because it does not have that version of it.
func (t *Tracker) pushSummaries(to peer.Address, summaries []*peerv1.DomainSummary) {
	headers := make([]*peerv1.DomainSummary, len(summaries))
	for i, s := range summaries {
		headers[i] = withoutMembers(s)
	}
	wanted, err := t.sendSummary(to, headers)
	if err != nil || len(wanted) == 0 {
		return
	}
	var full []*peerv1.DomainSummary
	for _, s := range summaries {
		if slices.Contains(wanted, s.GetFailureDomain()) {
			full = append(full, s)
		}
	}
	_, _ = t.sendSummary(to, full)
}

// withoutMembers returns a copy without the member list; services are shared with the original.
func withoutMembers(s *peerv1.DomainSummary) *peerv1.DomainSummary {
	return &peerv1.DomainSummary{
		FailureDomain: s.GetFailureDomain(), Region: s.GetRegion(), Relay: s.GetRelay(), RelayIncarnation: s.GetRelayIncarnation(),
		Sequence: s.GetSequence(), Services: s.GetServices(), ConfigVersion: s.GetConfigVersion(),
		MembersHash: s.GetMembersHash(),
	}
}

// sendSummary sends summaries in one call and returns the failure domains whose members the receiver requests. It adds the
// contacts in the reply.
func (t *Tracker) sendSummary(to peer.Address, summaries []*peerv1.DomainSummary) ([]string, error) {
	ctx, cancel := context.WithTimeout(t.ctx, summaryCallTimeout)
	defer cancel()
	t.metrics.summaries.Inc(1)
	resp := &peerv1.DomainSummariesResponse{}
	t.mu.Lock()
	req := &peerv1.DomainSummaries{Summaries: summaries, KnownDomains: uint32(len(t.contactsByDomain()))}
	t.mu.Unlock()
	err := t.opts.Caller.Call(ctx, to, methodSummaries, req, resp)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range resp.GetContacts() {
		t.addContact(m.GetPeerAddress(), m)
	}
	return resp.GetWantMembers(), err
}
