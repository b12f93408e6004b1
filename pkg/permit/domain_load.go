package permit

import (
	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
)

// DomainLoad is the reported load of a service in another failure domain.
type DomainLoad = balance.Load

// domainLoads returns the loads of a service in the other failure domains, from the summaries that they gossip. Failure domains
// without hosts are left out.
func domainLoads(tracker *membership.Tracker, snap *config.Snapshot, service string) []DomainLoad {
	var list []DomainLoad
	for _, s := range tracker.Summaries() {
		if len(tracker.Domain(s.GetFailureDomain())) > 0 {
			list = append(list, domainLoad(snap, service, s))
		}
	}
	return list
}

// domainLoad returns the load of a service in another failure domain, from the reports of its dispatchers in a summary. Reports of some of them
// may be missing or, while their number changes, two may cover one target. Their sum stands for the slots that they cover, and is scaled to those
// in the configuration.
func domainLoad(snap *config.Snapshot, service string, s *peerv1.DomainSummary) DomainLoad {
	h := HeadroomOf(service, s.GetServices())
	load := DomainLoad{
		Domain: s.GetFailureDomain(), Region: s.GetRegion(), Slots: float64(h.GetTotalSlots()), Demand: float64(h.GetDemandSlots()),
	}
	covered := h.GetConfiguredSlots()
	if covered == 0 {
		return load
	}
	if configured := configuredSlots(snap, service, s.GetFailureDomain()); configured > 0 {
		scale := float64(configured) / float64(covered)
		load.Slots *= scale
		load.Demand *= scale
	}
	return load
}

// configuredSlots returns the number of slots of the targets of a service in a failure domain, usable or not.
func configuredSlots(snap *config.Snapshot, service, failureDomain string) uint32 {
	sum := uint32(0)
	for _, t := range snap.Targets(service, failureDomain) {
		sum += t.GetSlots()
	}
	return sum
}
