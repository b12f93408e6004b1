package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/prefix"
)

// Sizes of the deployment that the design expects in two years.
const (
	nodes            = 2100
	failureDomains   = 58
	hostsPerDomain   = 36
	changesPerDay    = 16_000
	lookupsPerSecond = 6_700_000
	secondsPerDay    = 86_400
	// maxControlByteRate is the limit on the control traffic that a node sends, in bytes per second.
	maxControlByteRate = 9000
)

// Assumed sizes, which the design does not state.
const (
	assumedServices = 20
	assumedTargets  = 64
	assumedObjects  = 16_000
	assumedCaps     = 5
	relaysPerDomain = 2
	pingBytes       = 12 + 52
)

// mechanism is one row of the table of control traffic: messages of a size in bytes, of which a node sends a number of copies per
// interval in seconds.
type mechanism struct {
	name     string
	bytes    float64
	interval float64
	copies   float64
}

func printMechanisms(rows []mechanism) {
	fmt.Println("| mechanism | bytes, framed | copies | every, s | bytes/s sent | of 9 kB/s |")
	fmt.Println("| --- | --- | --- | --- | --- | --- |")
	for _, r := range rows {
		rate := r.bytes * r.copies / r.interval
		fmt.Printf("| %s | %.0f | %.3g | %.3g | %.0f | %.1f%% |\n",
			r.name, r.bytes, r.copies, r.interval, rate, 100*rate/maxControlByteRate)
	}
}

// printFleet computes the control traffic of a node from measured message sizes and the sizes of the deployment. The traffic of
// pkg/membership, pkg/permit and pkg/burn is measured by groups of their own; the rows of heartbeats and summaries show
// alternatives to what these packages send. The row of cap slices is computed from the message schema, because no group measures
// pkg/budget.
func printFleet() {
	fmt.Printf("\n## bytes that one node sends\n\n")
	changeEvery := float64(secondsPerDay) / changesPerDay
	reply := framedSize(&peerv1.HeartbeatReply{Sender: member(1), ConfigVersion: 16_000_000})
	change := framedSize(configChanges(1))
	delta := framedSize(mustFirst(must(prefix.New(1<<40, nil)).Change(assignments(1, typicalBlock), nil)))
	permitsHeartbeat := framedSize(heartbeat(0, assumedTargets))
	bareHeartbeat := framedSize(heartbeat(0, 0))
	ack := framedSize(&peerv1.ReleaseResponse{})
	printMechanisms([]mechanism{
		{"heartbeat, bare, to 3, with reply", bareHeartbeat + reply, 0.2, 3},
		{"heartbeat, bare, to 3, empty reply", bareHeartbeat + ack, 0.2, 3},
		{"heartbeat, bare, to 3, empty reply", bareHeartbeat + ack, 0.5, 3},
		{"heartbeat, permits of 64 targets, to 3, empty reply", permitsHeartbeat + ack, 1, 3},
		{"keepalive ping and answer on 35 control sessions", 2 * pingBytes, 0.5, hostsPerDomain - 1},
		{"keepalive ping and answer on 35 sessions of 3 classes", 2 * pingBytes, 0.5, 3 * (hostsPerDomain - 1)},
		{"keepalive on 6 control sessions", 2 * pingBytes, 0.5, 6},
		{"relay: summary without members to 29 relays", framedSize(summary(0, assumedServices)), 5, failureDomains / 2},
		{"host: 57 summaries without members to 1 host", (failureDomains - 1) * framedSize(summary(0, assumedServices)), 10, 1},
		{"poller: configuration change to 35 hosts", change, changeEvery, hostsPerDomain - 1},
		{"host: configuration change to 3 hosts", change, changeEvery, 3},
		{"host: prefix delta of one block to 3 hosts", delta, changeEvery, 3},
		{"host: 100 configuration changes at once to 3 hosts, within 15 s", framedSize(configChanges(100)), 15, 3},
		{"poller: 100 configuration changes at once to 35 hosts, within 15 s", framedSize(configChanges(100)), 15, hostsPerDomain - 1},
		{"cap: slice request and answer for 5 caps", framedSize(sliceRequest()) + framedSize(sliceResponse()), 5, assumedCaps},
		{"burn report of 20 services on request, every 60 s", framedSize(burnResponse(assumedServices)), 60, 1},
	})
	printPlatform(changeEvery)
	printRecovery()
}

func printPlatform(changeEvery float64) {
	fmt.Printf("\n## operations of the platform, all nodes together\n\n")
	fmt.Println("| mechanism | reads/s | writes/s |")
	fmt.Println("| --- | --- | --- |")
	fmt.Printf("| head row, one host per failure domain, every 1 s | %d | 0 |\n", failureDomains)
	fmt.Printf("| head row, every host, every 1 s (not used) | %d | 0 |\n", nodes)
	fmt.Printf("| change rows, one host per failure domain | %.1f | 0 |\n", failureDomains/changeEvery)
	fmt.Printf("| commits of changes, 2 rows each, with one read of the head | %.2f | %.2f |\n", 1/changeEvery, 2/changeEvery)
	fmt.Printf("| host list, every host, every 10 s | %.0f | 0 |\n", nodes/10.0)
	fmt.Printf("| host list, every host, every 60 s | %.0f | 0 |\n", nodes/60.0)
	fmt.Printf("| announcements of 722 starts a day, 2 each | 0 | %.3f |\n", 2*722.0/secondsPerDay)
	fmt.Printf("| claims of caller-supplied keys, one group commit per host every 1 s (every host has some) | 0 | %d |\n", nodes)
}

func printRecovery() {
	list := assignments(1_600_000, typicalBlock)
	table := must(prefix.New(1, list))
	bytes, segments := 0, 0
	for s := must(table.Segment(nil, 0)); ; s = must(table.Segment(s.GetNext(), 0)) {
		bytes += proto.Size(s)
		segments++
		if s.GetNext() == nil {
			break
		}
	}
	config := proto.Size(checkpoint(assumedObjects))
	hour := changesPerDay / 24
	fmt.Printf("\n## recovery\n\n| quantity | value |\n| --- | --- |\n")
	fmt.Printf("| full copy of the prefix table | %.2f MB in %d segments |\n", float64(bytes)/1e6, segments)
	fmt.Printf("| checkpoint of the configuration, %d objects | %.2f MB |\n", assumedObjects, float64(config)/1e6)
	total := float64(bytes + config)
	fmt.Printf("| both, received at 9 kB/s | %.0f s |\n", total/maxControlByteRate)
	fmt.Printf("| both, from 35 peers that send 9 kB/s each | %.0f s |\n", total/maxControlByteRate/(hostsPerDomain-1))
	fmt.Printf("| 722 starts a day, bytes sent, averaged over all nodes | %.0f B/s |\n", 722*total/secondsPerDay/nodes)
	fmt.Printf("| a rack of 12 hosts at once, from 24 peers that send 9 kB/s each | %.0f s |\n", 12*total/maxControlByteRate/24)
	fmt.Printf("| a failure domain at once: reads if all 36 hosts ask the platform | %d |\n", hostsPerDomain*(segments+1))
	fmt.Printf("| the same if one host asks and the others ask it and each other | %d |\n", segments+1)
	fmt.Printf("| the others at 9 kB/s a host | %.0f s |\n", (hostsPerDomain-1)*total/maxControlByteRate/hostsPerDomain)
	fmt.Printf("| an hour without the platform: changes missed | %d |\n", hour)
	fmt.Printf("| the same as configuration changes | %.0f kB |\n", float64(proto.Size(configChanges(hour)))/1e3)
	fmt.Printf("| the same, sent to 3 hosts at 9 kB/s | %.0f s |\n", 3*float64(proto.Size(configChanges(hour)))/maxControlByteRate)
}
