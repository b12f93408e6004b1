package permit

import (
	"slices"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
)

// DomainLoad is the reported load of a service in another failure domain.
type DomainLoad = balance.Load

// chooseDomain returns the failure domain to which a request is redirected, or an empty string if it is served in this one. A host's second
// attempt for a request stays: the first one was counted, and another way through two hosts would cost it more time than a local target. What a
// caller sends again counts as a first attempt.
func (d *dispatcher) chooseDomain(w *waiter, now time.Time) string {
	if !d.balancingEnabled() || w.req.Forwarded || w.req.Attempt > 0 {
		return ""
	}
	d.balance.CountArrival()
	if !w.req.FollowsRedirects {
		return ""
	}
	d.balance.Update(now, d.observeLoads)
	return d.balance.Choose(balance.Request{Object: w.req.ObjectHash, HomeRegions: w.req.HomeRegions})
}

// observeLoads returns the slots of this failure domain and the loads of the others.
func (d *dispatcher) observeLoads() balance.Observation {
	_, slots := d.slots.totals()
	shards := shardCount(len(d.snap.Targets(ServiceOf(d.service), d.manager.opts.FailureDomain)))
	o := balance.Observation{Slots: slots, HoldTime: d.meanHoldTime[classShort], Dispatchers: shards}
	if d.manager.opts.DomainLoads != nil {
		o.Others = d.otherDomainLoads(float64(shards))
	}
	return o
}

// otherDomainLoads returns the loads of the other failure domains, divided by the number of shards of this one: each shard
// balances its own part of the requests.
func (d *dispatcher) otherDomainLoads(shards float64) []DomainLoad {
	loads := d.manager.opts.DomainLoads(ServiceOf(d.service))
	for i := range loads {
		loads[i].Slots /= shards
		loads[i].Demand /= shards
	}
	return loads
}

// domainLoad returns the load of a service in another failure domain, from the reports of its dispatchers in a summary. Reports of some of them
// may be missing or, while their number changes, two may cover one target. Their sum stands for the slots that they cover, and is scaled to those
// in the configuration.
func domainLoad(snap *config.Snapshot, service string, s *peerv1.DomainSummary) DomainLoad {
	h := HeadroomOf(service, s.GetServices())
	load := DomainLoad{
		Domain: s.GetFailureDomain(), Region: s.GetRegion(), Slots: float64(h.GetTotalSlots()), Demand: float64(h.GetDemandSlots()),
	}
	configured := configuredSlots(snap, service, s.GetFailureDomain())
	if covered := h.GetConfiguredSlots(); covered > 0 && configured > 0 && !reportsWithoutConfiguration(service, s.GetServices()) {
		scale := float64(configured) / float64(covered)
		load.Slots *= scale
		load.Demand *= scale
	}
	return load
}

// reportsWithoutConfiguration reports whether the host of one of the dispatchers has an earlier version, which does not state configured slots.
func reportsWithoutConfiguration(service string, reports []*peerv1.ServiceHeadroom) bool {
	return slices.ContainsFunc(reports, func(r *peerv1.ServiceHeadroom) bool {
		return ServiceOf(r.GetService()) == service && r.GetTotalSlots() > 0 && r.GetConfiguredSlots() == 0
	})
}

// configuredSlots returns the number of slots of the targets of a service in a failure domain, usable or not.
func configuredSlots(snap *config.Snapshot, service, failureDomain string) uint32 {
	sum := uint32(0)
	for _, t := range snap.Targets(service, failureDomain) {
		sum += t.GetSlots()
	}
	return sum
}

// balancingEnabled reports whether the service's policy enables balancing between regions.
func (d *dispatcher) balancingEnabled() bool {
	return d.snap.Policy(ServiceOf(d.service)).GetBalanceRegions()
}

// redirectResponse tells the caller of an acquire call where its request goes.
func redirectResponse(domain string) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_RedirectTo{RedirectTo: domain}}
}
