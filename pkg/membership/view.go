package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
)

// snapshot is an immutable copy of the member table for readers.
type snapshot struct {
	self     Member
	all      []Member
	byDomain map[string][]Member
	byName   map[string]Member
	// ring holds the hosts of the local failure domain that are not dead, in ring order.
	ring         []string
	successors   []string
	predecessors []string
	// digest combines the hashes of the hosts in the ring.
	digest  uint64
	changed chan struct{}
}

// publish replaces the snapshot by one of the current records and closes the channel of the previous one. t.mu must be held.
func (t *Tracker) publish() {
	next := &snapshot{
		self: t.selfRecord().publicMember(), byDomain: map[string][]Member{}, byName: make(map[string]Member, len(t.records)),
		changed: make(chan struct{}),
	}
	for _, r := range t.records {
		next.add(r, t.opts.Self.FailureDomain)
	}
	byHost := func(a, b Member) int { return strings.Compare(a.Host, b.Host) }
	slices.SortFunc(next.all, byHost)
	for _, list := range next.byDomain {
		slices.SortFunc(list, byHost)
	}
	r := newRing(next.ring, func(host string) string { return next.byName[host].Place })
	next.successors = r.successors(next.self.Host)
	next.predecessors = r.predecessors(next.self.Host)
	invariant.Check(t.selfRecord().State == StateAlive || t.selfRecord().State == StateLeaving, "membership-self",
		"host %s is in state %d in its own member table", next.self.Host, t.selfRecord().State)
	invariant.Check(slices.Contains(next.ring, next.self.Host), "membership-ring",
		"host %s is missing from its own heartbeat ring", next.self.Host)
	previous := t.view.Swap(next)
	if previous != nil {
		close(previous.changed)
	}
}

// publicMember returns the member with its effective state.
func (r *record) publicMember() Member {
	m := r.Member
	m.State = r.effectiveState()
	return m
}

// add adds a record to the snapshot, and to the ring if it belongs to the local failure domain.
func (v *snapshot) add(r *record, localDomain string) {
	m := r.publicMember()
	v.byName[m.Host] = m
	if m.State == StateDead {
		return
	}
	v.all = append(v.all, m)
	if m.State != StateLeaving {
		v.byDomain[m.FailureDomain] = append(v.byDomain[m.FailureDomain], m)
	}
	if m.FailureDomain == localDomain {
		v.ring = append(v.ring, m.Host)
		v.digest ^= r.hash()
	}
}

// hash covers the fields on which all hosts must agree. Suspicion is left out because it is short-lived.
func (r *record) hash() uint64 {
	b := binary.LittleEndian.AppendUint64([]byte(r.Host), r.Incarnation)
	b = binary.LittleEndian.AppendUint64(b, r.version)
	if r.State == StateLeaving {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// Self implements View.
func (t *Tracker) Self() Member { return t.view.Load().self }

// Domain implements View.
func (t *Tracker) Domain(failureDomain string) []Member { return t.view.Load().byDomain[failureDomain] }

// All implements View.
func (t *Tracker) All() []Member { return t.view.Load().all }

// Lookup implements View.
func (t *Tracker) Lookup(host string) (Member, bool) {
	m, ok := t.view.Load().byName[host]
	return m, ok
}

// Changed implements View.
func (t *Tracker) Changed() <-chan struct{} { return t.view.Load().changed }

// LastReportedPermits returns the permits in a host's last heartbeat, and the incarnation that sent it. ok is false if this
// incarnation has sent no report. In failure domains larger than meshSize only the hosts that watch a host have its report,
// until the host is suspect or dead.
func (t *Tracker) LastReportedPermits(host string) (held []HeldPermits, incarnation uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.records[host]
	if r == nil || !r.heldReported {
		return nil, 0, false
	}
	return r.held, r.Incarnation, true
}

// PeerConfigVersion is the configuration version of a host or, if Host is empty, of a whole failure domain as its relay
// reported it.
type PeerConfigVersion struct {
	Host          string
	FailureDomain string
	Version       uint64
}

// ConfigVersions returns the last reported configuration versions of the other hosts of the local failure domain that are
// not dead, and of the other failure domains, sorted by failure domain and host.
func (t *Tracker) ConfigVersions() []PeerConfigVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []PeerConfigVersion
	for _, r := range t.records {
		if r.configVersion > 0 && r.State != StateDead && r.Host != t.opts.Self.Host {
			list = append(list, PeerConfigVersion{r.Host, r.FailureDomain, r.configVersion})
		}
	}
	for name, d := range t.remoteDomains {
		if d.summary != nil {
			list = append(list, PeerConfigVersion{FailureDomain: name, Version: d.summary.GetConfigVersion()})
		}
	}
	slices.SortFunc(list, func(a, b PeerConfigVersion) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Host, b.Host))
	})
	return list
}
