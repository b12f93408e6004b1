package lookup

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// index holds the usable hosts by failure domain and distance for one snapshot of configuration and membership. It precomputes
// everything that does not depend on the caller's block, because a lookup must take no more than a few microseconds.
type index struct {
	snapshot *config.Snapshot
	// changed is closed when the membership changes, which invalidates the index.
	changed <-chan struct{}
	// bySite is indexed by site ID and holds an order for each failure domain of the configuration.
	bySite []*proximityOrder
	// local is the order for this host's failure domain.
	local *proximityOrder
}

// domain is a failure domain with its usable hosts.
type domain struct {
	name   string
	region string
	hash   uint64
	hosts  []host
}

type host struct {
	hash uint64
	// lastResort is set for a host that is suspect, reaches no target or has no processor time for requests.
	lastResort bool
	// encoded is the host's entry in a response, a Host in JSON.
	encoded []byte
}

// Tiers of failure domains by distance from the caller, closest first. Home refers to the caller, own to the host
// that answers the lookup.
const (
	tierHome = iota
	tierHomeRegion
	tierOwnRegion
	tierOther
	tierCount
)

// proximityOrder groups the failure domains by distance from the callers of one failure domain.
type proximityOrder struct {
	byTier [tierCount][]*domain
	// lastTier is the farthest tier that has failure domains.
	lastTier int
}

func newIndex(o *Options) *index {
	// The channel is read before the members, so that a change between the two reads invalidates the index.
	x := &index{changed: o.Members.Changed(), snapshot: o.Config.Current()}
	domains := usableDomains(x.snapshot, o.Members.All())
	for _, place := range x.snapshot.List(config.KindPlace) {
		x.bySite = append(x.bySite, newProximityOrder(domains, place.GetPlace().GetName(), place.GetPlace().GetRegion(), o.Region))
	}
	x.local = newProximityOrder(domains, o.FailureDomain, o.Region, o.Region)
	return x
}

// usableDomains returns the failure domains that have usable hosts, sorted by name. A host is usable if it is alive or
// suspect and neither it nor its failure domain is drained.
func usableDomains(s *config.Snapshot, members []membership.Member) []*domain {
	drainedHosts, drainedDomains := s.DrainedHosts()
	byName := map[string]*domain{}
	var domains []*domain
	for _, m := range members {
		running := m.State == membership.StateAlive || m.State == membership.StateSuspect
		if !running || drainedHosts[m.Host] || drainedDomains[m.FailureDomain] {
			continue
		}
		d := byName[m.FailureDomain]
		if d == nil {
			d = newDomain(s, m)
			byName[m.FailureDomain] = d
			domains = append(domains, d)
		}
		encoded, err := json.Marshal(Host{Name: m.Host, Address: m.CallerAddress})
		if err != nil {
			continue
		}
		lastResort := m.State == membership.StateSuspect || m.TargetsUnreachable || m.Overloaded
		d.hosts = append(d.hosts, host{xxhash.Sum64String(m.Host), lastResort, encoded})
	}
	slices.SortFunc(domains, func(a, b *domain) int { return cmp.Compare(a.name, b.name) })
	return domains
}

func newDomain(s *config.Snapshot, m membership.Member) *domain {
	d := &domain{name: m.FailureDomain, region: s.Region(m.FailureDomain), hash: xxhash.Sum64String(m.FailureDomain)}
	if d.region == "" {
		d.region = m.Region
	}
	return d
}

func newProximityOrder(domains []*domain, home, homeRegion, ownRegion string) *proximityOrder {
	p := &proximityOrder{}
	for _, d := range domains {
		tier := tierOther
		switch {
		case d.name == home:
			tier = tierHome
		case d.region == homeRegion:
			tier = tierHomeRegion
		case d.region == ownRegion:
			tier = tierOwnRegion
		}
		p.byTier[tier] = append(p.byTier[tier], d)
		p.lastTier = max(p.lastTier, tier)
	}
	return p
}

// scratch holds the reusable buffers of one lookup.
type scratch struct {
	selected []*host
	domains  []scored
	hosts    [][]scored
	body     []byte
}

var scratchPool = sync.Pool{New: func() any { return &scratch{} }}

// selectHosts stores up to limit hosts for a caller's block in s.selected, closest first. Each tier but the last takes at
// most half of the remaining entries, rounded up, so that a response stays useful when a failure domain or region is lost.
func (p *proximityOrder) selectHosts(s *scratch, block uint64, limit int) {
	s.selected = s.selected[:0]
	for tier, domains := range p.byTier {
		quota := limit - len(s.selected)
		if tier < p.lastTier {
			quota = (quota + 1) / 2
		}
		if quota > 0 && len(domains) > 0 {
			s.selectFromTier(block, domains, quota)
		}
	}
}

// selectFromTier appends up to quota hosts of the failure domains of one tier to s.selected. It takes hosts from the domains
// in turn, so that even a small quota covers several domains.
func (s *scratch) selectFromTier(block uint64, domains []*domain, quota int) {
	n := min(len(domains), quota)
	s.domains = s.domains[:0]
	for i, d := range domains {
		s.domains = insertTop(s.domains, n, scored{weight(block, d.hash), i})
	}
	for len(s.hosts) < n {
		s.hosts = append(s.hosts, nil)
	}
	// Each of the n domains contributes at least one host, which bounds the contribution of any one of them.
	maxPerDomain := quota - n + 1
	for i, d := range s.domains {
		s.hosts[i] = domains[d.index].topHosts(s.hosts[i][:0], block, maxPerDomain)
	}
	for round := 0; round < maxPerDomain; round++ {
		for i, d := range s.domains {
			if quota == 0 {
				return
			}
			if round < len(s.hosts[i]) {
				s.selected = append(s.selected, &domains[d.index].hosts[s.hosts[i][round].index])
				quota--
			}
		}
	}
}

// topHosts returns the indexes of the limit hosts of a failure domain with the highest weights for a block, reusing top as
// buffer. The top bit of the weight is set for all hosts but those of last resort, so that they rank before these.
func (d *domain) topHosts(top []scored, block uint64, limit int) []scored {
	for i := range d.hosts {
		w := weight(block, d.hosts[i].hash) >> 1
		if !d.hosts[i].lastResort {
			w |= 1 << 63
		}
		top = insertTop(top, limit, scored{w, i})
	}
	return top
}

// indexCache caches the index until the configuration or the membership changes.
type indexCache struct {
	mu      sync.Mutex
	current atomic.Pointer[index]
}

func (c *indexCache) get(o *Options) *index {
	if x := c.current.Load(); x.fresh(o.Config) {
		return x
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.current.Load(); x.fresh(o.Config) {
		return x
	}
	x := newIndex(o)
	c.current.Store(x)
	return x
}

func (x *index) fresh(store *config.Store) bool {
	if x == nil || x.snapshot != store.Current() {
		return false
	}
	select {
	case <-x.changed:
		return false
	default:
		return true
	}
}
