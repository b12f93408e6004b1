package membership

import (
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// contact is an address at which a host may listen. The failure domain is empty until it is known.
type contact struct {
	address       peer.Address
	failureDomain string
}

// addContact remembers where a host listens. t.mu must be held.
func (t *Tracker) addContact(addr string, m *peerv1.Member) {
	if addr == "" || m.GetHost() == t.opts.Self.Host {
		return
	}
	t.contacts[addr] = contact{peer.Address{Addr: addr}, m.GetFailureDomain()}
}

// dropContact forgets the address of a host that has been dead for long. Seeds and the addresses of a failure domain
// without any live host are kept, because a partition ends at some time. t.mu must be held.
func (t *Tracker) dropContact(r *record) {
	v := t.view.Load()
	if !slices.Contains(t.opts.Seeds, r.PeerAddress) && len(v.byDomain[r.FailureDomain]) > 0 {
		delete(t.contacts, r.PeerAddress)
	}
}

// discoveryLoop finds hosts that no host of the ring knows: at the start, after a partition, and those declared dead by
// mistake.
func (t *Tracker) discoveryLoop() {
	for wait := time.Duration(0); sleep.For(t.ctx, wait); {
		t.pausePoint()
		for _, to := range t.pickContacts() {
			t.spawn(func() { t.sendHeartbeat(to, nil) })
		}
		wait = t.discoveryDelay()
	}
}

func (t *Tracker) discoveryDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.joining() {
		return joinDiscoveryInterval
	}
	return discoveryInterval/2 + time.Duration(t.random.Int64N(int64(discoveryInterval)))
}

// joining reports whether this host has just started and has heard of no other host of its failure domain, which may
// have no other. t.mu must be held.
func (t *Tracker) joining() bool { return !t.domainAnswered && time.Since(t.startedAt) < joinPeriod }

// joinContacts is how many contacts are tried at once while joining.
const joinContacts = 3

// pickContacts returns random addresses of hosts that may be unreachable or unknown.
func (t *Tracker) pickContacts() []peer.Address {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := map[string]bool{t.opts.Self.PeerAddress: true}
	var candidates []peer.Address
	for _, r := range t.records {
		if r.State != StateDead {
			known[r.PeerAddress] = true
		}
	}
	for addr, c := range t.contacts {
		if !known[addr] {
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
