package permit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
)

// Shards.
//
// The load of a dispatcher grows with its requests and its targets, and hosts are small. The targets of a large service are
// therefore split among several dispatchers, its shards, and each request is assigned to one of them by the hash of its object.
// All hosts derive the same assignment from the configuration. When the number of shards changes, targets move to dispatchers
// that have no record of the permits in use. Until these permits end, a target can have more requests than slots.

const (
	// maxShardTargets is the largest average number of targets per dispatcher.
	maxShardTargets = 32
	// shardSeparator separates the service name from the shard number in the key of a dispatcher; service names cannot contain
	// it.
	shardSeparator = "#"
)

// shardCount returns the number of dispatchers for a number of targets. It is a power of two, so that growth only splits shards.
func shardCount(targets int) int {
	count := 1
	for targets > count*maxShardTargets {
		count *= 2
	}
	return count
}

// shardKeys returns the keys of the dispatchers of a service in a failure domain.
func shardKeys(snap *config.Snapshot, service, failureDomain string) []string {
	count := shardCount(len(snap.Targets(service, failureDomain)))
	keys := make([]string, count)
	for i := range keys {
		keys[i] = shardKey(service, i)
	}
	return keys
}

// shardKey returns the key of a shard; the key of the first shard is the name of the service.
func shardKey(service string, index int) string {
	if index == 0 {
		return service
	}
	return service + shardSeparator + strconv.Itoa(index)
}

// ServiceOf returns the service of a dispatcher's key.
func ServiceOf(key string) string {
	service, _, _ := strings.Cut(key, shardSeparator)
	return service
}

// HeadroomOf returns the sum of the headroom that the dispatchers of a service in one failure domain report, with the shortest
// of their queue delays, or nil if none reports. The reports are not changed.
func HeadroomOf(service string, reports []*peerv1.ServiceHeadroom) *peerv1.ServiceHeadroom {
	var sum *peerv1.ServiceHeadroom
	for _, r := range reports {
		switch {
		case ServiceOf(r.GetService()) != service:
		case sum == nil:
			sum = r
		default:
			sum = &peerv1.ServiceHeadroom{
				Service: service, FreeSlots: sum.GetFreeSlots() + r.GetFreeSlots(), TotalSlots: sum.GetTotalSlots() + r.GetTotalSlots(),
				QueueDelayMs: min(sum.GetQueueDelayMs(), r.GetQueueDelayMs()), DemandSlots: sum.GetDemandSlots() + r.GetDemandSlots(),
				ConfiguredSlots: coveredSlots(sum, r),
			}
		}
	}
	return sum
}

// coveredSlots returns the slots that two reports cover together, or 0 if one of them does not state it: the host of its dispatcher has an earlier
// version.
func coveredSlots(a, b *peerv1.ServiceHeadroom) uint32 {
	for _, r := range []*peerv1.ServiceHeadroom{a, b} {
		if r.GetTotalSlots() > 0 && r.GetConfiguredSlots() == 0 {
			return 0
		}
	}
	return a.GetConfiguredSlots() + b.GetConfiguredSlots()
}

// shardKeyFor returns the key of the dispatcher for a request. Requests without an object go to a random shard.
func shardKeyFor(snap *config.Snapshot, failureDomain string, req Request) string {
	count := shardCount(len(snap.Targets(req.Service, failureDomain)))
	switch {
	case count == 1:
		return req.Service
	case req.ObjectHash == 0:
		return shardKey(req.Service, rand.IntN(count))
	}
	return shardKey(req.Service, int(balance.MixHash(req.ObjectHash*0x9e3779b97f4a7c15)%uint64(count)))
}

// targetsOfShard returns the targets that belong to the dispatcher with a key.
func targetsOfShard(snap *config.Snapshot, key, failureDomain string) []*configv1.Target {
	service := ServiceOf(key)
	all := snap.Targets(service, failureDomain)
	count := shardCount(len(all))
	if count == 1 {
		if key != service {
			return nil
		}
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), func(t *configv1.Target) bool {
		return shardKey(service, int(xxhash.Sum64String(t.GetName())%uint64(count))) != key
	})
}

// rankHosts returns the hosts of a failure domain in the order in which they take over the dispatcher with a key, by weighted
// rendezvous hashing. Hosts with more processor time own more dispatchers.
func rankHosts(key string, members []membership.Member) []membership.Member {
	return membership.Rank(key, members, func(m membership.Member) float64 { return m.ProcessorTime() * m.ProcessorTime() })
}
