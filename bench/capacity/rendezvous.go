package main

import (
	"fmt"

	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
)

func measureRendezvous(s *settings) []*series {
	owner := &series{name: "rendezvous.Owner", size: "hosts", unit: "ns CPU"}
	order := &series{name: "rendezvous.Rank", size: "hosts", unit: "ns CPU"}
	for _, n := range []int{9, 18, 36, 72, 144, 525, 2100} {
		hosts := hostNames(n)
		owner.add(n, 1e9*cpuPerOp(s.minCPUTime, func(n int) {
			for range n {
				rendezvous.Owner("service-042", hosts)
			}
		}))
		order.add(n, 1e9*cpuPerOp(s.minCPUTime, func(n int) {
			for range n {
				rendezvous.Rank("service-042", hosts)
			}
		}))
	}
	return []*series{owner, order}
}

func hostNames(n int) []string {
	hosts := make([]string, n)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("domain-%02d-host-%02d", i/36, i%36)
	}
	return hosts
}
