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

// remoteDomain is what this host knows of another failure domain.
type remoteDomain struct {
	summary *peerv1.DomainSummary
	// sequences holds the last sequence of each relay, so that a repeated summary is recognised.
	sequences map[relayID]uint64
	// members is the list with the hash membersHash; summary.Members is always empty.
	members       []*peerv1.Member
	membersHash   uint64
	lastSummaryAt time.Time
	state         State
}

// relayID names one process that makes summaries.
type relayID struct {
	host        string
	incarnation uint64
}

type headroomReport struct {
	services []*peerv1.ServiceHeadroom
	at       time.Time
}

// Summary returns the last summary of another failure domain with its members, or nil.
func (t *Tracker) Summary(failureDomain string) *peerv1.DomainSummary {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.remoteDomains[failureDomain]
	if d == nil {
		return nil
	}
	return d.withMembers()
}

// ServiceHeadrooms returns what another failure domain last reported of its services. The messages are shared and must not
// be changed: the request path calls this often, and copies would grow with the number of services.
func (t *Tracker) ServiceHeadrooms(failureDomain string) []*peerv1.ServiceHeadroom {
	t.mu.Lock()
	defer t.mu.Unlock()
	d := t.remoteDomains[failureDomain]
	if d == nil {
		return nil
	}
	return d.summary.GetServices()
}

// Summaries returns the last summaries of all other failure domains that are not dead, sorted by name.
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

// withMembers returns the summary with its members. The messages in it are shared and must not be changed.
func (d *remoteDomain) withMembers() *peerv1.DomainSummary {
	s := withoutMembers(d.summary)
	s.Members = d.members
	return s
}

func (t *Tracker) triggerSummary() {
	select {
	case t.summaryTrigger <- struct{}{}:
	default:
	}
}

// summaryLoop reports headroom to the relays and, on a relay, exchanges summaries. A change of the member table is
// passed on at once, but not more often than minSummaryInterval.
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

// relays returns the relays of a failure domain in order of rank. If all its hosts are leaving, leaving ones are relays:
// otherwise nobody would tell the other failure domains.
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

// relayRank returns the rank of this host among the relays of its domain, or -1.
func (t *Tracker) relayRank(v *snapshot) int {
	t.mu.Lock()
	// News that a host collected before a pause would replace newer news elsewhere.
	stale := !t.resumedAt.IsZero() && time.Since(t.resumedAt) < suspectAfter
	t.mu.Unlock()
	if stale {
		return -1
	}
	return slices.IndexFunc(v.relays(v.self.FailureDomain), func(m Member) bool { return m.Host == v.self.Host })
}

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

// ownSummary describes the own failure domain.
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

// latestHeadroom returns the newest report of each service.
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

// exchangeSummaries sends the own summary to one relay of each other domain and, on the first relay that is alive, the
// summaries of the others to the hosts of the own domain.
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

// syncWithRelays hands the summaries that came a moment ago to the other relays of the domain, in case that a message
// with a new one was lost. Older ones would make a failure domain that is cut off look alive for longer.
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

func (t *Tracker) isDisseminator(v *snapshot) bool {
	for _, m := range v.relays(v.self.FailureDomain) {
		if m.State == StateAlive || m.State == StateLeaving {
			return m.Host == v.self.Host
		}
	}
	return false
}

// remoteRelays returns one host in each other failure domain that is known, the relay of the same rank, and any contact
// while no host that stays is known: the known ones may have left, and others started, during a partition.
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

// contactsByDomain returns known addresses in each other failure domain. t.mu must be held.
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

// pushSummaries sends summaries without members, then those members that the receiver lacks.
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

func withoutMembers(s *peerv1.DomainSummary) *peerv1.DomainSummary {
	return &peerv1.DomainSummary{
		FailureDomain: s.GetFailureDomain(), Region: s.GetRegion(), Relay: s.GetRelay(), RelayIncarnation: s.GetRelayIncarnation(),
		Sequence: s.GetSequence(), Services: s.GetServices(), ConfigVersion: s.GetConfigVersion(),
		MembersHash: s.GetMembersHash(),
	}
}

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
