package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// configObjects returns n configuration objects: all places, and for each 38 targets a service with a policy.
func configObjects(n int) []*configv1.Object {
	list := make([]*configv1.Object, 0, n)
	for i := range failureDomains {
		list = append(list, &configv1.Object{Version: 1, Kind: &configv1.Object_Place{Place: &configv1.Place{
			Name: fmt.Sprintf("domain-%02d", i), Region: fmt.Sprintf("region-%02d", i/2),
		}}})
	}
	for i := 0; len(list) < n; i++ {
		name := fmt.Sprintf("service-%03d", i/40)
		switch i % 40 {
		case 0:
			service := &configv1.Service{Name: name, DefaultTimeoutMs: 2000}
			list = append(list, &configv1.Object{Kind: &configv1.Object_Service{Service: service}, Version: 1})
		case 1:
			policy := &configv1.Policy{Name: name, Service: name, OverflowRegions: []string{"region-01", "region-02"}}
			list = append(list, &configv1.Object{Kind: &configv1.Object_Policy{Policy: policy}, Version: 1})
		default:
			list = append(list, targetObject(i, 1))
		}
	}
	return list
}

func measureConfig(s *settings) []*series {
	const size = "objects"
	memory := &series{name: "Snapshot with its objects: live memory", size: size, unit: "MB"}
	index := &series{name: "Snapshot without its objects: live memory", size: size, unit: "MB"}
	build := &series{name: "NewSnapshot", size: size, unit: "ms CPU"}
	with := &series{name: "Snapshot.With, one change", size: size, unit: "ms CPU"}
	copied := &series{name: "bytes allocated by that", size: size, unit: "MB"}
	policy := &series{name: "Snapshot.Policy", size: size, unit: "us CPU"}
	validate := &series{name: "Validate and Snapshot.With, one change", size: size, unit: "ms CPU"}
	whole := &series{name: "ValidateSnapshot", size: size, unit: "ms CPU"}
	list := &series{name: "Snapshot.List of one kind", size: size, unit: "us CPU"}
	for _, n := range []int{500, 1000, 2000, 4000, 8000, 16_000} {
		checkpoint := &configv1.Checkpoint{Version: 1, Objects: configObjects(n)}
		encoded := must(proto.Marshal(checkpoint))
		_, bytes := liveHeapOf(func() *config.Snapshot {
			decoded := &configv1.Checkpoint{}
			if err := proto.Unmarshal(encoded, decoded); err != nil {
				panic(err)
			}
			return config.NewSnapshot(1, decoded.GetObjects())
		})
		memory.add(n, bytes/1e6)
		snapshot, bytes := liveHeapOf(func() *config.Snapshot { return config.NewSnapshot(1, checkpoint.GetObjects()) })
		index.add(n, bytes/1e6)
		build.add(n, 1e3*cpuPerOp(s.minCPUTime, func(k int) {
			for range k {
				config.NewSnapshot(1, checkpoint.GetObjects())
			}
		}))
		check(config.ValidateSnapshot(snapshot))
		change := configChange(2)
		with.add(n, 1e3*cpuPerOp(s.minCPUTime, func(k int) {
			for range k {
				must(snapshot.With(change))
			}
		}))
		copied.add(n, allocPerOp(10, func() { must(snapshot.With(change)) })/1e6)
		validate.add(n, 1e3*cpuPerOp(s.minCPUTime, func(k int) {
			for range k {
				check(config.Validate(snapshot, change))
			}
		}))
		whole.add(n, 1e3*cpuPerOp(s.minCPUTime, func(k int) {
			for range k {
				check(config.ValidateSnapshot(snapshot))
			}
		}))
		policy.add(n, 1e6*cpuPerOp(s.minCPUTime, func(k int) {
			for i := range k {
				snapshot.Policy(fmt.Sprintf("service-%03d", i%(n/40)))
			}
		}))
		list.add(n, 1e6*cpuPerOp(s.minCPUTime, func(k int) {
			for range k {
				snapshot.List(config.KindPolicy)
			}
		}))
	}
	return []*series{memory, index, build, with, copied, validate, whole, policy, list}
}

// check panics if err is not nil.
func check(err error) {
	if err != nil {
		panic(err)
	}
}
