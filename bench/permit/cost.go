package main

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// singleHostView is the membership view of the only host in a failure domain.
type singleHostView struct{ self membership.Member }

func (v singleHostView) Self() membership.Member           { return v.self }
func (v singleHostView) Domain(string) []membership.Member { return []membership.Member{v.self} }
func (v singleHostView) All() []membership.Member          { return []membership.Member{v.self} }
func (v singleHostView) Lookup(host string) (membership.Member, bool) {
	return v.self, host == v.self.Host
}
func (v singleHostView) Changed() <-chan struct{} { return nil }

// measureCost measures the CPU time of a grant and of a refusal. It runs in real time, so its table alone depends on the machine.
func measureCost(*runner) {
	service := permittest.Service{Name: "lookup", Domain: "d1", Targets: 4, Slots: 4}
	cluster := permittest.NewCluster(permittest.NewNetwork(0), permittest.Store(permittest.Objects(service)...), "d1")
	self := membership.Member{Host: "h0", Incarnation: 1, FailureDomain: "d1"}
	node := cluster.Network.Attach(permittest.Identity(self))
	m := permit.NewManager(permit.Options{
		Store: cluster.Store, View: singleHostView{self}, Caller: node, Registrar: node, FailureDomain: "d1",
	})
	m.Start()
	defer m.Close()
	time.Sleep(time.Second)
	acquire := func(timeout time.Duration) (*permit.Grant, error) {
		return m.Acquire(context.Background(), permit.Request{ID: "1", Service: "lookup", Deadline: time.Now().Add(timeout)})
	}
	previous := runtime.GOMAXPROCS(1)
	defer runtime.GOMAXPROCS(previous)

	granted := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			g, err := acquire(time.Second)
			if err != nil {
				b.Fatal(err)
			}
			g.Release(permit.Observation{Total: time.Millisecond})
		}
	})
	// Hold permits for meanServiceTime (20 ms) so that the dispatcher's estimate of the service time converges to it. With all
	// slots occupied, the dispatcher then refuses a request with a shorter timeout on arrival.
	for range 5 {
		var held []*permit.Grant
		for range service.Targets * service.Slots {
			if g, err := acquire(time.Minute); err == nil {
				held = append(held, g)
			}
		}
		time.Sleep(meanServiceTime)
		for _, g := range held {
			g.Release(permit.Observation{Outcome: 1, Total: meanServiceTime})
		}
	}
	for range service.Targets * service.Slots {
		if _, err := acquire(time.Hour); err != nil {
			fmt.Println("no slot:", err)
		}
	}
	refused := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			if _, err := acquire(time.Millisecond); err == nil {
				b.Fatal("granted with all slots occupied")
			}
		}
	})
	fmt.Println("decision on the dispatcher's host | per second and core | us | allocations")
	for _, x := range []struct {
		name string
		r    testing.BenchmarkResult
	}{{"acquire and release", granted}, {"refusal on arrival", refused}} {
		ns := x.r.NsPerOp()
		fmt.Printf("%s | %d | %.2f | %d\n", x.name, int64(time.Second)/ns, float64(ns)/1000, x.r.AllocsPerOp())
	}
	fmt.Printf("a refusal costs %.4f%% of a request of %v\n",
		100*float64(refused.NsPerOp())/float64(meanServiceTime), meanServiceTime)
}
