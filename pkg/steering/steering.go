// Package steering orders the failure domains that may serve a request by locality, planned moves and drains, and reported
// headroom. It decides only the order: the dispatchers of each failure domain control admission to its slots, so no order can
// overload a region.
package steering

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/shuffle"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// CrossRegionQueueDelay is the queue delay in the local region above which requests try another region first. A shorter queue
// costs a caller less than the round trip to another region, which takes 40 to 70 ms.
const CrossRegionQueueDelay = 100 * time.Millisecond

// overflowFraction is the fraction of requests that a full failure domain sends to a less loaded one of its region. Headroom
// reports are up to a second old, so diverting all requests at once would make the queue oscillate between the two.
const overflowFraction = 0.5

const (
	// baseWeight, in slots, is added to the weight of each candidate so that one without free slots can still be drawn.
	baseWeight = 0.01
	maxPercent = 100
)

// Headroom is the spare capacity of a service in a failure domain, as last reported.
type Headroom struct {
	FreeSlots  int
	TotalSlots int
	QueueDelay time.Duration
}

// HeadroomSource provides the latest headroom of a service in a failure domain.
type HeadroomSource interface {
	// Headroom returns false if the headroom is unknown. In the local failure domain this means that no wait for a permit of the
	// service was recorded within ewmaTTL. In another one it means that its last summary has no report of the service. The relay
	// that builds a summary omits reports older than 3 s, but the last summary itself is used however old it is.
	Headroom(failureDomain, service string) (Headroom, bool)
}

// Candidate is a failure domain that may serve a request.
type Candidate struct {
	FailureDomain string
	Region        string
	// Shifted is set if the failure domain is in another region. Sending the request there consumes budget from the cap on
	// shifts.
	Shifted bool
}

// Planner orders the candidates for requests that arrive at one host.
type Planner struct {
	store    *config.Store
	headroom HeadroomSource
	domain   string
	region   string
}

// NewPlanner returns a Planner for a host in failureDomain and region.
func NewPlanner(store *config.Store, headroom HeadroomSource, failureDomain, region string) *Planner {
	return &Planner{store: store, headroom: headroom, domain: failureDomain, region: region}
}

// Plan returns the candidates for one request in the order in which to try them, or none if no failure domain has targets of
// the service. Plan draws from rnd to spread requests and does not retain it.
func (p *Planner) Plan(service string, now time.Time, rnd *rand.Rand) []Candidate {
	snap := p.store.Current()
	headroom := &headroomCache{source: p.headroom, service: service}
	local, otherRegions := p.splitRegions(snap, service, now, rnd)
	region := p.orderLocal(headroom, local, rnd)
	remote := p.orderRemote(snap, headroom, otherRegions, rnd)
	destination := p.moveDestination(snap, service, now, rnd)
	if destination != "" {
		first, rest := partition(remote, func(c Candidate) bool { return c.Region == destination })
		return slices.Concat(first, region, rest)
	}
	if len(region) > 0 && headroom.minQueueDelay(region) <= CrossRegionQueueDelay {
		return append(region, remote...)
	}
	free, busy := partition(remote, func(c Candidate) bool { return headroom.freeSlots(c.FailureDomain) > 0 })
	return slices.Concat(free, region, busy)
}

// splitRegions returns the candidates in the local region and those in other regions. It omits drained failure domains
// and those without targets of the service.
func (p *Planner) splitRegions(snap *config.Snapshot, service string, now time.Time, rnd *rand.Rand) (local, others []Candidate) {
	for _, o := range snap.List(config.KindPlace) {
		place := o.GetPlace()
		if len(snap.Targets(service, place.GetName())) == 0 || isDrained(snap, place.GetName(), now, rnd) {
			continue
		}
		c := Candidate{FailureDomain: place.GetName(), Region: place.GetRegion()}
		if c.Region == p.region {
			local = append(local, c)
			continue
		}
		c.Shifted = true
		others = append(others, c)
	}
	return local, others
}

// isDrained reports whether a drain excludes a failure domain for this request. While a drain ramps up, the decision is random.
func isDrained(snap *config.Snapshot, domain string, now time.Time, rnd *rand.Rand) bool {
	for _, o := range snap.List(config.KindDrain) {
		d := o.GetDrain()
		if d.GetFailureDomain() == domain && rnd.Float64() < DrainShare(d, now) {
			return true
		}
	}
	return false
}

// orderLocal orders the candidates of the local region: the local failure domain comes first, except that overflowFraction
// of the requests try a sibling first if its queue is much shorter (see hasShorterQueue).
func (p *Planner) orderLocal(headroom *headroomCache, candidates []Candidate, rnd *rand.Rand) []Candidate {
	local, siblings := partition(candidates, func(c Candidate) bool { return c.FailureDomain == p.domain })
	siblings = shuffleByFreeSlots(headroom, siblings, rnd)
	if len(local) == 0 {
		return siblings
	}
	if len(siblings) > 0 && p.hasShorterQueue(headroom, siblings[0].FailureDomain) && rnd.Float64() < overflowFraction {
		return slices.Concat(siblings[:1], local, siblings[1:])
	}
	return append(local, siblings...)
}

// hasShorterQueue reports whether requests queue in the local failure domain while the sibling has free slots or less than half
// of the local queue delay.
func (p *Planner) hasShorterQueue(headroom *headroomCache, sibling string) bool {
	local, known := headroom.get(p.domain)
	if !known || local.FreeSlots > 0 || local.QueueDelay == 0 {
		return false
	}
	other, known := headroom.get(sibling)
	return known && (other.FreeSlots > 0 || other.QueueDelay < local.QueueDelay/2)
}

// orderRemote orders the candidates of other regions by the overflow regions of the service's policy and omits regions that the
// policy does not list. Without such a list it orders all of them by free slots.
func (p *Planner) orderRemote(snap *config.Snapshot, headroom *headroomCache, remote []Candidate, rnd *rand.Rand) []Candidate {
	listed := snap.Policy(headroom.service).GetOverflowRegions()
	if len(listed) == 0 {
		return shuffleByFreeSlots(headroom, remote, rnd)
	}
	var ordered []Candidate
	for _, region := range listed {
		inRegion, _ := partition(remote, func(c Candidate) bool { return c.Region == region })
		ordered = append(ordered, shuffleByFreeSlots(headroom, inRegion, rnd)...)
	}
	return ordered
}

// shuffleByFreeSlots orders candidates at random, weighted by their free slots. Because reports lag, sending all overflow to
// the candidate with the most free slots would overload it until its next report.
func shuffleByFreeSlots(headroom *headroomCache, candidates []Candidate, rnd *rand.Rand) []Candidate {
	weight := func(c Candidate) float64 { return float64(headroom.freeSlots(c.FailureDomain)) + baseWeight }
	return shuffle.Weighted(candidates, weight, rnd.ExpFloat64)
}

func (h *headroomCache) freeSlots(failureDomain string) int {
	report, known := h.get(failureDomain)
	if !known {
		return 0
	}
	return report.FreeSlots
}

// minQueueDelay returns the shortest queue delay among candidates, or 0 if the delay of any of them is unknown.
func (h *headroomCache) minQueueDelay(candidates []Candidate) time.Duration {
	shortest := time.Duration(-1)
	for _, c := range candidates {
		report, known := h.get(c.FailureDomain)
		if !known {
			return 0
		}
		if shortest < 0 || report.QueueDelay < shortest {
			shortest = report.QueueDelay
		}
	}
	return max(shortest, 0)
}

// moveDestination returns the region to which a planned move sends this request, or an empty string. Each move
// applies with the probability of its current percentage.
func (p *Planner) moveDestination(snap *config.Snapshot, service string, now time.Time, rnd *rand.Rand) string {
	draw := rnd.Float64() * maxPercent
	for _, o := range snap.List(config.KindMove) {
		m := o.GetMove()
		if !moveApplies(m, service, p.region) {
			continue
		}
		draw -= MovePercent(m, now)
		if draw < 0 {
			return m.GetToRegion()
		}
	}
	return ""
}

func moveApplies(m *configv1.Move, service, region string) bool {
	return m.GetService() == service && m.GetFromRegion() == region
}

func partition(list []Candidate, matches func(Candidate) bool) (matching, rest []Candidate) {
	for _, c := range list {
		if matches(c) {
			matching = append(matching, c)
			continue
		}
		rest = append(rest, c)
	}
	return matching, rest
}
