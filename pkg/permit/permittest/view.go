package permittest

import (
	"slices"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

var _ membership.View = (*Host)(nil)

// Self implements membership.View.
func (h *Host) Self() membership.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.peers[h.Member.Host].member
}

// Domain implements membership.View.
func (h *Host) Domain(failureDomain string) []membership.Member {
	return slices.DeleteFunc(h.All(), func(m membership.Member) bool {
		return m.State == membership.StateLeaving || m.FailureDomain != failureDomain
	})
}

// All implements membership.View.
func (h *Host) All() []membership.Member {
	list := h.cluster.otherMembers()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peers {
		if p.member.State != membership.StateDead {
			list = append(list, p.member)
		}
	}
	slices.SortFunc(list, compareNames)
	return list
}

// Lookup implements membership.View.
func (h *Host) Lookup(host string) (membership.Member, bool) {
	if m, ok := h.lookupOwnDomain(host); ok {
		return m, true
	}
	others := h.cluster.otherMembers()
	if i := slices.IndexFunc(others, func(m membership.Member) bool { return m.Host == host }); i >= 0 {
		return others[i], true
	}
	return membership.Member{}, false
}

func (h *Host) lookupOwnDomain(host string) (membership.Member, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[host]
	if p == nil {
		return membership.Member{}, false
	}
	return p.member, true
}

// Changed implements membership.View.
func (h *Host) Changed() <-chan struct{} {
	h.waitWhilePaused()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

func compareNames(a, b membership.Member) int {
	if a.Host < b.Host {
		return -1
	}
	if a.Host > b.Host {
		return 1
	}
	return 0
}
