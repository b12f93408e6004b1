package permit

import (
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Load balancing between failure domains.
//
// Each dispatcher measures the demand of the callers of its failure domain, in slots, and receives the demand and the slots of
// the other failure domains. It redirects a share of its requests if its own slots do not suffice for them (capacities). The
// shares change slowly, so that the caches of the targets can adapt. The hash of a request's object selects the failure domain,
// so that each object stays in one of them; a deficit counter for each failure domain corrects the selection, so that the shares
// hold within a few requests.

const (
	// spareFactor is the number of spare slots of a failure domain for the square root of its slots. With 1.2, an arriving request
	// finds a free slot in about nine of ten cases.
	spareFactor = 1.2
	// balanceInterval is the shortest time between two updates of the shares.
	balanceInterval = 100 * time.Millisecond
	// arrivalRateWeight is the weight of one balanceInterval in the moving average of the arrival rate.
	arrivalRateWeight = 0.1
	// unlimitedShiftPeriod is how long a dispatcher changes its shares without a rate limit after its start or a loss of slots.
	// A new dispatcher does not know the shares of its predecessor, and it receives the summaries of the other failure domains
	// one by one, at one summary per second.
	unlimitedShiftPeriod = 2 * time.Second
	// minRetainedFraction is the fraction of its peak slots that a failure domain must keep for the rate limit to apply. The
	// requests of a zone that is lost or evacuated must be served elsewhere at once; they would be refused otherwise.
	minRetainedFraction = 0.75
	// maxDeficit is the deficit or surplus, in requests, beyond which a request goes to another failure domain than its hash
	// selects.
	maxDeficit = 6.0
	// biasGain is how much the hash range of a failure domain changes for each request of its deficit. Hash ranges in proportion
	// to the shares are not enough, because some objects are more popular than others.
	biasGain = 0.0005
)

// DomainLoad is the reported load of a service in another failure domain.
type DomainLoad struct {
	Domain string
	Region string
	// Slots is the number of slots of its targets. Demand is the number of slots that the requests of its callers need.
	Slots  float64
	Demand float64
}

// balancer selects the failure domain of each request of one service. Only the dispatcher's goroutine uses it.
type balancer struct {
	ownDomain string
	region    string
	// arrivals counts the requests of callers of this failure domain since the last update.
	arrivals int
	// arrivalRate is the moving average of the arrivals per second.
	arrivalRate float64
	updatedAt   time.Time
	// unlimitedUntil is until when the shares change without a rate limit.
	unlimitedUntil time.Time
	// peakSlots is the largest number of slots of each failure domain since its last loss of slots.
	peakSlots map[string]float64
	// rateSamples counts the observations in arrivalRate.
	rateSamples int
	// shares holds the share of each failure domain including this one, sorted by name.
	shares []share
}

// update moves the shares towards equal utilization, at most once per balanceInterval.
func (b *balancer) update(d *dispatcher, now time.Time) {
	if now.Sub(b.updatedAt) < balanceInterval {
		return
	}
	elapsed := now.Sub(b.updatedAt)
	first := b.updatedAt.IsZero()
	b.updatedAt = now
	if first {
		b.unlimitedUntil = now.Add(unlimitedShiftPeriod)
	} else {
		b.updateArrivalRate(elapsed)
	}
	b.arrivals = 0
	loads := b.loads(d)
	if b.detectSlotLoss(loads) {
		b.unlimitedUntil = now.Add(unlimitedShiftPeriod)
	}
	wanted := balancedShares(b.ownDomain, loads)
	maxShift := d.manager.opts.ShiftShare * float64(elapsed) / float64(d.manager.opts.ShiftWindow)
	if b.arrivalRate == 0 || now.Before(b.unlimitedUntil) {
		maxShift = 1
	}
	b.shares = limitShift(b.shares, wanted, maxShift)
}

// updateArrivalRate adds the arrivals since the last update to the moving average. The first observations have equal weights.
func (b *balancer) updateArrivalRate(elapsed time.Duration) {
	b.rateSamples++
	weight := max(arrivalRateWeight*float64(elapsed)/float64(balanceInterval), 1/float64(b.rateSamples))
	b.arrivalRate += min(1, weight) * (float64(b.arrivals)/elapsed.Seconds() - b.arrivalRate)
}

// demand returns the number of slots that the requests of this failure domain's callers need: arrival rate times mean hold time.
func (b *balancer) demand(d *dispatcher) float64 {
	return b.arrivalRate * d.meanHoldTime[classShort].Seconds()
}

// detectSlotLoss updates the peaks and reports whether a failure domain has lost a large part of its slots. A failure domain
// that reports neither slots nor demand has no dispatcher at the moment. It keeps its peak: otherwise its requests would be
// redirected at once and would return only at the limited rate.
func (b *balancer) detectSlotLoss(loads []DomainLoad) bool {
	lost := false
	most := make(map[string]float64, len(loads))
	for _, l := range loads {
		most[l.Domain] = max(l.Slots, b.peakSlots[l.Domain])
		if l.Slots == 0 && l.Demand == 0 {
			continue
		}
		if l.Slots < minRetainedFraction*most[l.Domain] {
			most[l.Domain] = l.Slots
			lost = true
		}
	}
	b.peakSlots = most
	return lost
}

// loads returns the loads of all failure domains. While the demand of this one is unknown, it is assumed to be the mean of the
// others.
func (b *balancer) loads(d *dispatcher) []DomainLoad {
	_, slots := d.slots.totals()
	loads := []DomainLoad{{Domain: b.ownDomain, Region: b.region, Slots: float64(slots), Demand: b.demand(d)}}
	if d.manager.opts.DomainLoads != nil {
		loads = append(loads, d.otherDomainLoads()...)
	}
	if loads[0].Demand == 0 {
		loads[0].Demand = meanDemand(loads[1:])
	}
	return loads
}

// meanDemand returns the mean demand of the failure domains that report one, or 0. A new dispatcher has no demand of its own to
// report until its first request has ended.
func meanDemand(loads []DomainLoad) float64 {
	sum, count := 0.0, 0
	for _, l := range loads {
		if l.Demand > 0 {
			sum += l.Demand
			count++
		}
	}
	return sum / float64(max(1, count))
}

// chooseDomain returns the failure domain to which a request is redirected, or an empty string if it is served in this one.
func (b *balancer) chooseDomain(d *dispatcher, w *waiter, now time.Time) string {
	if !d.balancingEnabled() || w.req.Forwarded || w.req.Attempt > 0 {
		return ""
	}
	b.arrivals++
	if !w.req.FollowsRedirects {
		return ""
	}
	b.update(d, now)
	if len(w.req.HomeRegions) > 0 {
		return b.chooseHomeDomain(w)
	}
	chosen := b.pickShare(w.req.ObjectHash)
	if chosen == nil || chosen.domain == b.ownDomain {
		return ""
	}
	return chosen.domain
}

// chooseHomeDomain returns the failure domain of a request that may be served in its home regions only: an empty string if this
// one is in a home region, else the one with the largest share, or noDomain if there is none.
func (b *balancer) chooseHomeDomain(w *waiter) string {
	if slices.Contains(w.req.HomeRegions, b.region) {
		return ""
	}
	best := -1
	for i, s := range b.shares {
		if slices.Contains(w.req.HomeRegions, s.region) && (best < 0 || s.fraction > b.shares[best].fraction) {
			best = i
		}
	}
	if best < 0 {
		return noDomain
	}
	return b.shares[best].domain
}

// noDomain stands for an unknown failure domain.
const noDomain = "-"

// otherDomainLoads returns the loads of the other failure domains, divided by the number of shards of this one: each shard
// balances its own part of the requests.
func (d *dispatcher) otherDomainLoads() []DomainLoad {
	service := ServiceOf(d.service)
	loads := d.manager.opts.DomainLoads(service)
	shards := float64(shardCount(len(d.snap.Targets(service, d.manager.opts.FailureDomain))))
	for i := range loads {
		loads[i].Slots /= shards
		loads[i].Demand /= shards
	}
	return loads
}

// balancingEnabled reports whether the service's policy enables balancing between regions.
func (d *dispatcher) balancingEnabled() bool {
	return d.snap.Policy(ServiceOf(d.service)).GetBalanceRegions()
}

// redirectResponse tells the caller of an acquire call where its request goes.
func redirectResponse(domain string) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_RedirectTo{RedirectTo: domain}}
}
