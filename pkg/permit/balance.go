package permit

import (
	"cmp"
	"slices"
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Balance between failure domains.
//
// Each dispatcher knows the work that callers of its failure domain ask for, in slots, and hears the same of the others with
// the slots that they have. It sends requests elsewhere so that all are equally loaded, and changes the shares slowly, so
// that the caches of the targets keep up. Which requests go is decided by the object that they concern, so that each object
// stays in one place, and corrected so that the shares hold over a few requests.

const (
	// maxLocalUtilization is the load of a failure domain up to which its requests stay.
	maxLocalUtilization = 0.9
	// balanceInterval is the time between two changes of the shares.
	balanceInterval = 100 * time.Millisecond
	// arrivalRateWeight is the weight of the last balanceInterval in the rate of arrivals.
	arrivalRateWeight = 0.1
	// unlimitedShiftPeriod is how long a dispatcher changes its shares without a limit after its start or a loss of slots. It does not know
	// which shares its predecessor had reached, and it hears of the other failure domains one after the other, a summary a
	// second.
	unlimitedShiftPeriod = 2 * time.Second
	// minRetainedSlots is the part of its slots that a failure domain must keep for the limit to hold: what a zone takes with it when
	// it is lost or evacuated must be served elsewhere at once, or it is refused.
	minRetainedSlots = 0.75
	// maxDeficit is by how many requests the shares may be off before requests go against their hash.
	maxDeficit = 6.0
	// biasGain is how much of a failure domain's span of hashes changes for each request that it got too few: some objects
	// are more popular than others.
	biasGain = 0.0005
)

// DomainLoad is what is known of a service in another failure domain.
type DomainLoad struct {
	Domain string
	Region string
	// Slots is what its targets have, Demand what its callers ask for, in slots.
	Slots  float64
	Demand float64
}

// balancer decides where the requests of one service go. The dispatcher's goroutine uses it.
type balancer struct {
	ownDomain string
	region    string
	arrivals  int
	// arrivalRate is the arrivals per second of callers of this failure domain.
	arrivalRate float64
	updatedAt   time.Time
	// unlimitedUntil is until when the shares change without a limit.
	unlimitedUntil time.Time
	// peakSlots is the most that each failure domain had since its last loss.
	peakSlots map[string]float64
	// rateSamples counts the observations of rate.
	rateSamples int
	// shares holds the share of requests that goes to each failure domain, the own one included, in order of names.
	shares []share
}

type share struct {
	domain   string
	region   string
	fraction float64
	// deficit is how many requests the domain got too few.
	deficit float64
	// bias is added to part for the span of hashes of the domain.
	bias float64
}

// update moves the shares towards equal load, at most once in balanceInterval.
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

// updateArrivalRate takes the arrivals since the last update into the rate. The first observations count equally.
func (b *balancer) updateArrivalRate(elapsed time.Duration) {
	b.rateSamples++
	weight := max(arrivalRateWeight*float64(elapsed)/float64(balanceInterval), 1/float64(b.rateSamples))
	b.arrivalRate += min(1, weight) * (float64(b.arrivals)/elapsed.Seconds() - b.arrivalRate)
}

// demand returns the work that callers ask for, in slots.
func (b *balancer) demand(d *dispatcher) float64 {
	return b.arrivalRate * d.meanHoldTime[classShort].Seconds()
}

// detectSlotLoss reports whether a failure domain has lost a large part of its slots. One that reports neither slots nor demand has no
// dispatcher for the moment: it keeps its slots, or its requests would leave at once and come back slowly.
func (b *balancer) detectSlotLoss(loads []DomainLoad) bool {
	lost := false
	most := make(map[string]float64, len(loads))
	for _, l := range loads {
		most[l.Domain] = max(l.Slots, b.peakSlots[l.Domain])
		if l.Slots == 0 && l.Demand == 0 {
			continue
		}
		if l.Slots < minRetainedSlots*most[l.Domain] {
			most[l.Domain] = l.Slots
			lost = true
		}
	}
	b.peakSlots = most
	return lost
}

// loads returns what is known of all failure domains. Until the demand is known, all are taken to have the same.
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

// meanDemand returns the mean demand of the failure domains that report one, or 0. A dispatcher that has just started knows
// the demand of its own callers last, because no request has ended yet.
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

// balancedShares returns the shares of the requests of one failure domain.
func balancedShares(own string, loads []DomainLoad) []share {
	slices.SortFunc(loads, func(a, b DomainLoad) int { return cmp.Compare(a.Domain, b.Domain) })
	var slots, demand float64
	for _, l := range loads {
		slots += l.Slots
		demand += l.Demand
	}
	if demand == 0 {
		// Nothing is known of the demand: it is taken to be the same everywhere and to fill all slots.
		for i := range loads {
			loads[i].Demand = max(slots, 1) / float64(len(loads))
		}
		demand = max(slots, 1)
	}
	level := maxLocalUtilization
	if slots > 0 {
		level = max(level, demand/slots)
	}
	var room float64
	excess, ownDemand := 0.0, 0.0
	for _, l := range loads {
		if l.Domain == own {
			ownDemand = l.Demand
			excess = max(0, l.Demand-l.Slots*level)
			continue
		}
		room += max(0, l.Slots*level-l.Demand)
	}
	away := 0.0
	if ownDemand > 0 && room > 0 {
		away = excess / ownDemand
	}
	shares := make([]share, len(loads))
	for i, l := range loads {
		shares[i] = share{domain: l.Domain, region: l.Region}
		switch {
		case l.Domain == own:
			shares[i].fraction = 1 - away
		case room > 0:
			shares[i].fraction = away * max(0, l.Slots*level-l.Demand) / room
		}
	}
	return shares
}

// limitShift moves shares towards others by at most a part of all requests. A failure domain that is gone loses its share at
// once.
func limitShift(from, to []share, maxShift float64) []share {
	next := slices.Clone(to)
	var distance float64
	for i := range next {
		before := shareOf(from, next[i].domain)
		next[i].deficit, next[i].bias = before.deficit, before.bias
		distance += max(0, next[i].fraction-before.fraction)
	}
	if distance <= maxShift {
		return next
	}
	sum := 0.0
	for i := range next {
		before := shareOf(from, next[i].domain)
		next[i].fraction = before.fraction + (next[i].fraction-before.fraction)*maxShift/distance
		sum += next[i].fraction
	}
	if sum > 0 {
		for i := range next {
			next[i].fraction /= sum
		}
	}
	return next
}

func shareOf(shares []share, domain string) share {
	for _, s := range shares {
		if s.domain == domain {
			return s
		}
	}
	return share{}
}

// chooseDomain returns the failure domain to which a request goes, or an empty string for the own one.
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

// pickShare returns the share that a request counts for.
func (b *balancer) pickShare(object uint64) *share {
	if len(b.shares) == 0 {
		return nil
	}
	hashed, neediest := (*share)(nil), &b.shares[0]
	position, sum := float64(mixHash(object)>>11)/(1<<53)*b.totalSpan(), 0.0
	for i := range b.shares {
		s := &b.shares[i]
		s.deficit += s.fraction
		s.bias += biasGain * s.deficit
		sum += max(0, s.fraction+s.bias)
		if hashed == nil && position < sum {
			hashed = s
		}
		if s.deficit > neediest.deficit {
			neediest = s
		}
	}
	chosen := hashed
	if chosen == nil || object == 0 || chosen.deficit < -maxDeficit || neediest.deficit > maxDeficit {
		chosen = neediest
	}
	chosen.deficit--
	return chosen
}

// totalSpan returns the sum of all totalSpan of hashes.
func (b *balancer) totalSpan() float64 {
	sum := 0.0
	for _, s := range b.shares {
		sum += max(0, s.fraction+s.bias)
	}
	return sum
}

// mixHash spreads a hash over all bits, because the targets within a failure domain are chosen by the same one.
func mixHash(object uint64) uint64 {
	x := object ^ object>>31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>27
}

// chooseHomeDomain returns the failure domain of a request that may be served in some regions only.
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

// noDomain stands for a failure domain that is not known.
const noDomain = "-"

// otherDomainLoads returns the loads of the other failure domains, as far as they concern one shard of this one.
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

// balancingEnabled reports whether the policy asks for balance.
func (d *dispatcher) balancingEnabled() bool {
	return d.snap.Policy(ServiceOf(d.service)).GetBalanceRegions()
}

// redirectResponse tells the caller of an acquire call where its request goes.
func redirectResponse(domain string) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_Elsewhere{Elsewhere: domain}}
}
