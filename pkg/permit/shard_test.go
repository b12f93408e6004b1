package permit

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

func snapshotOf(targets int) *config.Snapshot {
	objects := []*configv1.Object{{Kind: &configv1.Object_Service{Service: &configv1.Service{Name: "s"}}}}
	for i := range targets {
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Target{Target: &configv1.Target{
			Name: fmt.Sprintf("t%d", i), Service: "s", FailureDomain: "d", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Slots: 1,
		}}})
	}
	return config.NewSnapshot(1, objects)
}

// Guards against a target with two dispatchers, whose slots would be granted twice, a target without a dispatcher, and a request
// that is assigned to a dispatcher that does not exist.
func TestEachTargetHasOneDispatcher(t *testing.T) {
	for _, targets := range []int{0, 1, maxShardTargets, maxShardTargets + 1, 91, 500} {
		is := is.New(t)
		snap := snapshotOf(targets)
		owners := map[string]int{}
		keys := map[string]bool{}
		for _, key := range shardKeys(snap, "s", "d") {
			keys[key] = true
			is.Equal(ServiceOf(key), "s")
			part := targetsOfShard(snap, key, "d")
			is.True(len(part) <= 2*maxShardTargets)
			for _, c := range part {
				owners[c.GetName()]++
			}
		}
		is.Equal(len(owners), targets)
		for _, n := range owners {
			is.Equal(n, 1)
		}
		used := map[string]bool{}
		for object := range uint64(500) {
			key := shardKeyFor(snap, "d", Request{Service: "s", ObjectHash: object * 0x9e3779b97f4a7c15})
			is.True(keys[key])
			used[key] = true
			if object > 0 {
				is.Equal(key, shardKeyFor(snap, "d", Request{Service: "s", ObjectHash: object * 0x9e3779b97f4a7c15}))
			}
		}
		is.Equal(len(used), len(keys)) // each dispatcher gets requests
	}
}

// Guards against a small host that runs the dispatcher of a large service while larger hosts are idle.
func TestStrongHostsDispatchMore(t *testing.T) {
	is := is.New(t)
	members := []membership.Member{{Host: "small", Capacity: 100}, {Host: "large", Capacity: 800}, {Host: "other", Capacity: 100}}
	owned := map[string]int{}
	for i := range 1000 {
		owned[rankHosts(fmt.Sprint(i), members)[0].Host]++
	}
	is.True(owned["large"] > 900)
	same := []membership.Member{{Host: "a"}, {Host: "b"}, {Host: "c"}}
	owned = map[string]int{}
	for i := range 3000 {
		owned[rankHosts(fmt.Sprint(i), same)[0].Host]++
	}
	for _, n := range owned {
		is.True(n > 850 && n < 1150)
	}
}
