package membership

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
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

// headroomReport is the last headroom report of a host in the local failure domain.
type headroomReport struct {
	services []*peerv1.ServiceHeadroom
	at       time.Time
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

// relays returns the relays of a failure domain in order of rank. If all hosts of the domain are leaving, leaving hosts are
// relays: otherwise no host would inform the other failure domains.
func (v *snapshot) relays(failureDomain string) []Member {
	var hosts, leaving []string
	for _, m := range v.all {
		switch {
		case m.FailureDomain != failureDomain:
		case m.State == StateLeaving:
			leaving = append(leaving, m.Host)
		default:
			hosts = append(hosts, m.Host)
		}
	}
	if len(hosts) == 0 {
		hosts = leaving
	}
	var list []Member
	for _, host := range rendezvous.Rank("relay/"+failureDomain, hosts) {
		list = append(list, v.byName[host])
		if len(list) == relaysPerDomain {
			break
		}
	}
	return list
}

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

// reportHeadroom sends the headroom of the services that this host dispatches to the relays of its failure domain.
func (t *Tracker) reportHeadroom() {
	services := t.opts.Headroom()
	v := t.view.Load()
	for _, m := range v.relays(v.self.FailureDomain) {
		if m.Host == v.self.Host {
			t.storeHeadroom(m.Host, services)
			continue
		}
		if len(services) == 0 {
			continue
		}
		t.spawn(func() {
			ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
			defer cancel()
			_ = t.opts.Caller.Call(ctx, m.Address(), methodHeadroom, &peerv1.HeadroomReport{Services: services},
				&peerv1.HeadroomReportResponse{})
		})
	}
}

func (t *Tracker) onHeadroom(from peer.Identity, r *peerv1.HeadroomReport) (proto.Message, error) {
	t.storeHeadroom(from.Host, r.GetServices())
	return &peerv1.HeadroomReportResponse{}, nil
}

func (t *Tracker) storeHeadroom(host string, services []*peerv1.ServiceHeadroom) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.headroom[host] = headroomReport{services, time.Now()}
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

// latestHeadroom returns the latest headroom of each service and discards reports that are older than headroomValid. t.mu must be
// held.
func (t *Tracker) latestHeadroom(now time.Time) []*peerv1.ServiceHeadroom {
	newest := map[string]time.Time{}
	services := map[string]*peerv1.ServiceHeadroom{}
	for host, report := range t.headroom {
		if now.Sub(report.at) > headroomValid {
			delete(t.headroom, host)
			continue
		}
		for _, s := range report.services {
			if report.at.After(newest[s.GetService()]) {
				newest[s.GetService()], services[s.GetService()] = report.at, s
			}
		}
	}
	list := make([]*peerv1.ServiceHeadroom, 0, len(services))
	for _, s := range services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *peerv1.ServiceHeadroom) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return list
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
