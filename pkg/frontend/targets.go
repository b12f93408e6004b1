package frontend

import (
	"sync/atomic"

	"github.com/rattanhitch/rattanhitch/pkg/config"
)

// targetAddresses lists the addresses of the targets of a dispatch domain, once for each configuration.
type targetAddresses struct {
	store  *config.Store
	domain string
	latest atomic.Pointer[addressList]
}

type addressList struct {
	snapshot  *config.Snapshot
	addresses []string
}

func newTargetAddresses(store *config.Store, domain string) *targetAddresses {
	return &targetAddresses{store: store, domain: domain}
}

// list returns the addresses in the current configuration. The caller must not modify them.
func (t *targetAddresses) list() []string {
	snapshot := t.store.Current()
	if known := t.latest.Load(); known != nil && known.snapshot == snapshot {
		return known.addresses
	}
	fresh := &addressList{snapshot: snapshot}
	for _, o := range snapshot.List(config.KindTarget) {
		if target := o.GetTarget(); target.GetFailureDomain() == t.domain {
			fresh.addresses = append(fresh.addresses, target.GetAddress())
		}
	}
	t.latest.Store(fresh)
	return fresh.addresses
}
