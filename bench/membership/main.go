// Command membership measures the network traffic and CPU time of the membership protocol per host, and the time in which its
// failure detector finds a faulty host. All hosts run in one process and use real peer nodes over in-memory connections.
package main

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/internal/memnet"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// domainSize is the number of hosts per failure domain, as in the fleet of 2,100 nodes in 58 domains.
const domainSize = 36

const (
	// settleTime lets the sessions that were opened at the start time out when idle, before a measurement.
	settleTime = 16 * time.Second
	// faultDelay is the time from a full member table on all hosts to the injection of a fault.
	faultDelay  = 3 * time.Second
	joinTimeout = 30 * time.Second
	measureTime = 5 * time.Second
	// detectionTimeout ends a measurement in which some host does not detect the fault. Times not reached are printed as 0.
	detectionTimeout = 10 * time.Second
	pollInterval     = 5 * time.Millisecond
)

// host is a simulated host with its peer node and its member table.
type host struct {
	name    string
	domain  string
	node    *peer.Node
	tracker *membership.Tracker
}

// fleet is a set of hosts on one in-memory network.
type fleet struct {
	net   *memnet.Network
	hosts []*host
}

func main() {
	log.DefaultLogger.Level = log.FatalLevel
	fmt.Println("hosts domains writes/s/host bytes/s/host cpu_ms/s/host")
	for _, size := range []int{4, 12, 36, 72, 108} {
		measureCost(size)
	}
	fmt.Println("fault hosts detected_by_first_ms detected_by_all_ms")
	for _, size := range []int{4, 36} {
		for _, fault := range []string{"kill", "freeze", "cut-out", "cut-in"} {
			measureDetection(size, fault)
		}
	}
}

// startFleet starts size hosts and returns them when all member tables are complete, or prints why not and returns nil.
func startFleet(size int) *fleet {
	f := &fleet{net: memnet.New()}
	for i := range size {
		f.add(fmt.Sprintf("h%03d", i), fmt.Sprintf("d%02d", i/domainSize))
	}
	if missing := f.waitForFullTables(); missing != "" {
		fmt.Printf("%d hosts: not complete after %s: %s\n", size, joinTimeout, missing)
		f.stop()
		return nil
	}
	return f
}

func (f *fleet) add(name, domain string) {
	network := f.net.Host(name, domain)
	listener, err := network.Listen(name)
	if err != nil {
		fatal(err)
	}
	h := &host{name: name, domain: domain}
	incarnation := uint64(time.Now().UnixMicro())
	h.node = peer.New(peer.Options{
		Self:     peer.Identity{Host: name, Incarnation: incarnation, FailureDomain: domain, Region: "r"},
		Listener: listener, Dial: network.Dial,
	})
	h.tracker = membership.New(membership.Options{
		Self: membership.Member{
			Host: name, Incarnation: incarnation, FailureDomain: domain, Region: "r", PeerAddress: name,
			CallerAddress: "127.0.0.1:8080", OperatorAddress: "127.0.0.1:8081",
		},
		Caller: h.node, Registrar: h.node, Seeds: []string{"h000"},
	})
	if err := h.node.Start(context.Background()); err != nil {
		fatal(err)
	}
	h.tracker.Start(context.Background())
	f.hosts = append(f.hosts, h)
}

func (f *fleet) stop() {
	for _, h := range f.hosts {
		h.tracker.Close()
	}
	for _, h := range f.hosts {
		_ = h.node.Close()
	}
}

// waitForFullTables waits until each host has all hosts in its member table and returns an empty string. After joinTimeout it
// returns the name of a host without a complete table and the number of members in it.
func (f *fleet) waitForFullTables() string {
	deadline := time.Now().Add(joinTimeout)
	for _, h := range f.hosts {
		for len(h.tracker.All()) < len(f.hosts) {
			if time.Now().After(deadline) {
				return fmt.Sprintf("%s sees %d", h.name, len(h.tracker.All()))
			}
			time.Sleep(pollInterval)
		}
	}
	return ""
}

// measureCost prints the writes, bytes and CPU time per host and second of a fleet in which nothing changes.
func measureCost(size int) {
	f := startFleet(size)
	if f == nil {
		return
	}
	defer f.stop()
	time.Sleep(settleTime)
	before, cpuBefore := f.net.Traffic(), cpuTime()
	time.Sleep(measureTime)
	after, cpuAfter := f.net.Traffic(), cpuTime()
	perHost := measureTime.Seconds() * float64(size)
	fmt.Printf("%d %d %.1f %.0f %.2f\n", size, (size+domainSize-1)/domainSize,
		float64(after.Writes-before.Writes)/perHost, float64(after.Bytes-before.Bytes)/perHost,
		(cpuAfter-cpuBefore).Seconds()*1000/perHost)
}

// cpuTime returns the CPU time of the process, in user and kernel mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureDetection injects a fault into one host and prints the times until the first other host and all other hosts consider it
// dead.
func measureDetection(size int, fault string) {
	f := startFleet(size)
	if f == nil {
		return
	}
	defer f.stop()
	time.Sleep(faultDelay)
	faulty := f.hosts[size/2]
	switch fault {
	case "kill":
		f.net.Kill(faulty.name)
	case "freeze":
		// Simulate a host that hangs: existing connections freeze and no new ones can be opened.
		f.net.Freeze(faulty.name)
		f.net.CutBoth(faulty.name, memnet.Any)
	case "cut-out":
		f.net.Cut(faulty.name, memnet.Any)
	case "cut-in":
		f.net.Cut(memnet.Any, faulty.name)
	}
	injectedAt := time.Now()
	var first, all time.Duration
	for all == 0 && time.Since(injectedAt) < detectionTimeout {
		time.Sleep(pollInterval)
		dead := f.countDead(faulty)
		if dead > 0 && first == 0 {
			first = time.Since(injectedAt)
		}
		if dead == size-1 {
			all = time.Since(injectedAt)
		}
	}
	fmt.Printf("%s %d %d %d\n", fault, size, first.Milliseconds(), all.Milliseconds())
	f.net.HealAll()
}

// countDead returns the number of other hosts that consider the faulty host dead.
func (f *fleet) countDead(faulty *host) int {
	count := 0
	for _, h := range f.hosts {
		m, _ := h.tracker.Lookup(faulty.name)
		if h != faulty && m.State == membership.StateDead {
			count++
		}
	}
	return count
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
