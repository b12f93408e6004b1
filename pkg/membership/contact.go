package membership

import (
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// contact is a peer address at which a host may listen. failureDomain is empty if it is unknown, as for a seed.
type contact struct {
	address       peer.Address
	failureDomain string
}

// addContact stores the peer address of m as a contact, unless it is empty or m is this host. t.mu must be held.
func (t *Tracker) addContact(addr string, m *peerv1.Member) {
	if addr == "" || m.GetHost() == t.opts.Self.Host {
		return
	}
	t.contacts[addr] = contact{peer.Address{Addr: addr}, m.GetFailureDomain()}
}

// dropContact removes the address of a dead host whose retention period is over. It keeps the seeds and the addresses of a
// failure domain without any live host, because that domain may only be partitioned from this host. t.mu must be held.
func (t *Tracker) dropContact(r *record) {
	v := t.view.Load()
	if !slices.Contains(t.opts.Seeds, r.PeerAddress) && len(v.byDomain[r.FailureDomain]) > 0 {
		delete(t.contacts, r.PeerAddress)
	}
}

// discoveryLoop sends heartbeats to addresses outside the ring, to find hosts after the start or a partition and hosts that
// were declared dead by mistake.
func (t *Tracker) discoveryLoop() {
	for wait := time.Duration(0); sleep.For(t.ctx, wait); {
		t.pausePoint()
		for _, to := range t.pickContacts() {
			t.spawn(func() { t.sendHeartbeat(to, nil) })
		}
		wait = t.discoveryDelay()
	}
}

// discoveryDelay returns the time until the next attempt, with jitter unless this host is joining.
func (t *Tracker) discoveryDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.joining() {
		return joinDiscoveryInterval
	}
	return discoveryInterval/2 + time.Duration(t.random.Int64N(int64(discoveryInterval)))
}

// joining reports whether this host started less than joinPeriod ago and no host of its failure domain has answered it. A host
// that is alone in its failure domain gets no such answer; joinPeriod ends its frequent attempts. t.mu must be held.
func (t *Tracker) joining() bool { return !t.domainAnswered && time.Since(t.startedAt) < joinPeriod }

// joinContacts is the number of contacts that are tried in parallel while joining.
const joinContacts = 3

// pickContacts returns random contacts whose address belongs to no live member: one, or joinContacts while joining.
func (t *Tracker) pickContacts() []peer.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	liveAddresses := map[string]bool{t.opts.Self.PeerAddress: true}
	var candidates []peer.Address
	for _, r := range t.records {
		if r.State != StateDead {
			liveAddresses[r.PeerAddress] = true
		}
	}
	for addr, c := range t.contacts {
		if !liveAddresses[addr] {
			candidates = append(candidates, c.address)
		}
	}
	count := 1
	if t.joining() {
		count = joinContacts
	}
	sortAddresses(candidates)
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(count, len(candidates))]
}
