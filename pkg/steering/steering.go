// Package steering orders the failure domains that may serve a request. It decides only on order: the dispatcher of each
// failure domain grants its own slots, so no order can overload a region.
package steering

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/shuffle"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// CrossRegionQueueDelay is the queue delay in the own region from which a request goes to another region first. Shorter
// queues cost a caller less than the way to another region and back, which is 40 to 70 ms.
const CrossRegionQueueDelay = 100 * time.Millisecond

// overflowShare is the share of requests that leave a full failure domain for a sibling with more room. Reports of room are
// up to a second old; if all requests left at once, the queue would move back and forth between the two.
const overflowShare = 0.5

const (
	// minWeight is the weight, in slots, that is added to each candidate so that one without free slots can still be drawn.
	minWeight = 0.01
	// wholeShare is all requests of a service, in percent.
	wholeShare = 100
)

// Headroom is what a failure domain last reported of a service.
type Headroom struct {
	FreeSlots  int
	TotalSlots int
	QueueDelay time.Duration
}

// HeadroomSource returns the last report of a failure domain, or false if there is none that is recent.
type HeadroomSource interface {
	Headroom(failureDomain, service string) (Headroom, bool)
}

// Candidate is a failure domain that may serve a request.
type Candidate struct {
	FailureDomain string
	Region        string
	// Shifted is set if serving there moves the request to another region; it then needs budget from the cap.
	Shifted bool
}

// Planner orders candidates for the requests that arrive at one host.
type Planner struct {
	store    *config.Store
	headroom HeadroomSource
	domain   string
	region   string
}

// NewPlanner returns a planner for a host in a failure domain and region.
func NewPlanner(store *config.Store, headroom HeadroomSource, failureDomain, region string) *Planner {
	return &Planner{store: store, headroom: headroom, domain: failureDomain, region: region}
}

// Plan returns the candidates in the order in which to try them. It is empty if no failure domain has targets of the
// service. rnd spreads requests; it need not be safe for concurrent use.
func (p *Planner) Plan(service string, now time.Time, rnd *rand.Rand) []Candidate {
	snap := p.store.Current()
	headroom := &planHeadroom{source: p.headroom, service: service}
	own, others := p.split(snap, service, now, rnd)
	region := p.orderRegion(headroom, own, rnd)
	remote := p.orderRemote(snap, headroom, others, rnd)
	moved := p.movedRegion(snap, service, now, rnd)
	if moved != "" {
		first, rest := partition(remote, func(c Candidate) bool { return c.Region == moved })
		return slices.Concat(first, region, rest)
	}
	if len(region) > 0 && headroom.queueDelay(region) <= CrossRegionQueueDelay {
		return append(region, remote...)
	}
	free, busy := partition(remote, func(c Candidate) bool { return headroom.freeSlots(c.FailureDomain) > 0 })
	return slices.Concat(free, region, busy)
}

// split returns the candidates in the own region and those in other regions, without drained failure domains.
func (p *Planner) split(snap *config.Snapshot, service string, now time.Time, rnd *rand.Rand) (own, others []Candidate) {
	for _, o := range snap.List(config.KindPlace) {
		place := o.GetPlace()
		if len(snap.Targets(service, place.GetName())) == 0 || isDrained(snap, place.GetName(), now, rnd) {
			continue
		}
		c := Candidate{FailureDomain: place.GetName(), Region: place.GetRegion()}
		if c.Region == p.region {
			own = append(own, c)
			continue
		}
		c.Shifted = true
		others = append(others, c)
	}
	return own, others
}

// isDrained reports whether a drain takes this request away from a failure domain.
func isDrained(snap *config.Snapshot, domain string, now time.Time, rnd *rand.Rand) bool {
	for _, o := range snap.List(config.KindDrain) {
		d := o.GetDrain()
		if d.GetFailureDomain() == domain && rnd.Float64() < DrainShare(d, now) {
			return true
		}
	}
	return false
}

// orderRegion puts the own failure domain first, unless requests wait there and not in a sibling.
func (p *Planner) orderRegion(headroom *planHeadroom, candidates []Candidate, rnd *rand.Rand) []Candidate {
	own, siblings := partition(candidates, func(c Candidate) bool { return c.FailureDomain == p.domain })
	siblings = byFreeSlots(headroom, siblings, rnd)
	if len(own) == 0 {
		return siblings
	}
	if len(siblings) > 0 && p.isRelieved(headroom, siblings[0].FailureDomain) && rnd.Float64() < overflowShare {
		return slices.Concat(siblings[:1], own, siblings[1:])
	}
	return append(own, siblings...)
}

// isRelieved reports whether requests wait in the own failure domain and would wait much less in a sibling.
func (p *Planner) isRelieved(headroom *planHeadroom, sibling string) bool {
	own, known := headroom.of(p.domain)
	if !known || own.FreeSlots > 0 || own.QueueDelay == 0 {
		return false
	}
	there, known := headroom.of(sibling)
	return known && (there.FreeSlots > 0 || there.QueueDelay < own.QueueDelay/2)
}

// orderRemote sorts candidates of other regions by the policy's order of regions; unlisted regions are left out if the
// policy lists any.
func (p *Planner) orderRemote(snap *config.Snapshot, headroom *planHeadroom, candidates []Candidate, rnd *rand.Rand) []Candidate {
	listed := snap.Policy(headroom.service).GetOverflowRegions()
	if len(listed) == 0 {
		return byFreeSlots(headroom, candidates, rnd)
	}
	var ordered []Candidate
	for _, region := range listed {
		in, _ := partition(candidates, func(c Candidate) bool { return c.Region == region })
		ordered = append(ordered, byFreeSlots(headroom, in, rnd)...)
	}
	return ordered
}

// byFreeSlots orders candidates at random with a weight of their free slots. Reports lag, so sending all overflow to the
// one with the most free slots would overrun it until the next report.
func byFreeSlots(headroom *planHeadroom, candidates []Candidate, rnd *rand.Rand) []Candidate {
	weight := func(c Candidate) float64 { return float64(headroom.freeSlots(c.FailureDomain)) + minWeight }
	return shuffle.Weighted(candidates, weight, rnd.ExpFloat64)
}

func (p *planHeadroom) freeSlots(failureDomain string) int {
	report, known := p.of(failureDomain)
	if !known {
		return 0
	}
	return report.FreeSlots
}

// queueDelay returns the shortest queue delay among candidates.
func (p *planHeadroom) queueDelay(candidates []Candidate) time.Duration {
	shortest := time.Duration(-1)
	for _, c := range candidates {
		report, known := p.of(c.FailureDomain)
		if !known {
			return 0
		}
		if shortest < 0 || report.QueueDelay < shortest {
			shortest = report.QueueDelay
		}
	}
	return max(shortest, 0)
}

// movedRegion returns the region to which a move sends this request, or an empty string.
func (p *Planner) movedRegion(snap *config.Snapshot, service string, now time.Time, rnd *rand.Rand) string {
	draw := rnd.Float64() * wholeShare
	for _, o := range snap.List(config.KindMove) {
		m := o.GetMove()
		if !appliesTo(m, service, p.region) {
			continue
		}
		draw -= MovePercent(m, now)
		if draw < 0 {
			return m.GetToRegion()
		}
	}
	return ""
}

func appliesTo(m *configv1.Move, service, region string) bool {
	return m.GetService() == service && m.GetFromRegion() == region
}

func partition(list []Candidate, keep func(Candidate) bool) (kept, rest []Candidate) {
	for _, c := range list {
		if keep(c) {
			kept = append(kept, c)
			continue
		}
		rest = append(rest, c)
	}
	return kept, rest
}
