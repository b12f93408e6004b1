package frontend

import (
	"cmp"
	"sync/atomic"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/tunnel"
)

// domainTargets lists the targets of a dispatch domain, once for each configuration.
type domainTargets struct {
	store  *config.Store
	domain string
	latest atomic.Pointer[targetList]
}

type targetList struct {
	snapshot *config.Snapshot
	targets  []tunnel.Target
}

// list returns the targets in the current configuration. The caller must not modify them.
func (d *domainTargets) list() []tunnel.Target {
	snapshot := d.store.Current()
	if known := d.latest.Load(); known != nil && known.snapshot == snapshot {
		return known.targets
	}
	fresh := &targetList{snapshot: snapshot}
	for _, o := range snapshot.List(config.KindTarget) {
		t := o.GetTarget()
		if t.GetFailureDomain() == d.domain {
			fresh.targets = append(fresh.targets, tunnel.Target{
				Address: t.GetAddress(), Place: cmp.Or(t.GetPlace(), d.domain), HealthPath: snapshot.Service(t.GetService()).GetHealthPath(),
			})
		}
	}
	d.latest.Store(fresh)
	return fresh.targets
}
