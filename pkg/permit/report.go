package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// HeldPermits returns the number of permits that this host uses and their latest deadline, per service and target. Heartbeats
// carry it.
func (m *Manager) HeldPermits() []*peerv1.HeldPermits {
	now := time.Now()
	m.mu.Lock()
	states := make(map[string]*clientState, len(m.clientStates))
	for service, s := range m.clientStates {
		states[service] = s
	}
	m.mu.Unlock()
	var list []*peerv1.HeldPermits
	for service, s := range states {
		list = append(list, s.heldCounts(service, now)...)
	}
	return list
}

// heldCounts returns the permits in use per target. The deadlines are relative to now.
func (s *clientState) heldCounts(service string, now time.Time) []*peerv1.HeldPermits {
	s.mu.Lock()
	defer s.mu.Unlock()
	byTarget := map[string]*peerv1.HeldPermits{}
	var list []*peerv1.HeldPermits
	for _, h := range s.inUse(now) {
		c := byTarget[h.target]
		if c == nil {
			c = &peerv1.HeldPermits{Service: service, Target: h.target}
			byTarget[h.target] = c
			list = append(list, c)
		}
		c.Count++
		c.LatestDeadlineMs = max(c.LatestDeadlineMs, ceilMilliseconds(h.deadline.Sub(now)))
	}
	return list
}

// Headroom returns the free slots, total slots, queue delay and demand reported by each dispatcher that runs on this host.
func (m *Manager) Headroom() []*peerv1.ServiceHeadroom {
	var list []*peerv1.ServiceHeadroom
	for _, d := range m.running() {
		if h := d.headroom(); h != nil {
			list = append(list, h)
		}
	}
	return list
}
