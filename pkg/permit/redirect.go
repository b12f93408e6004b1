package permit

import (
	"time"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
)

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
	choice := d.balance.Choose(now, balance.Request{Object: w.req.ObjectHash, HomeRegions: w.req.HomeRegions})
	w.kept = choice.Kept
	return choice.Domain
}

// redirect answers that another failure domain serves the request.
func (d *dispatcher) redirect(w *waiter, domain string) {
	d.countLeft()
	w.result <- answer{redirectTo: domain}
}

// returnsTooEarly returns the failure domain to which a request that has waited for a slot is redirected all the same, or an empty string if it may run
// in this one. When fewer requests arrive, those that leave become fewer at once, while those that wait would go on to run here.
func (d *dispatcher) returnsTooEarly(w *waiter, now time.Time) string {
	if !d.mayRedirect(w) || w.trial {
		return ""
	}
	return d.balance.Instead(now)
}

// mayRedirect reports whether a request may be redirected to balance load.
func (d *dispatcher) mayRedirect(w *waiter) bool {
	return d.balancingEnabled() && w.isOwn() && w.req.FollowsRedirects && len(w.req.HomeRegions) == 0
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

// balancingEnabled reports whether the service's policy enables balancing between regions.
func (d *dispatcher) balancingEnabled() bool {
	return d.snap.Policy(ServiceOf(d.service)).GetBalanceRegions()
}

// redirectResponse tells the caller of an acquire call where its request goes.
func redirectResponse(domain string) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_RedirectTo{RedirectTo: domain}}
}
