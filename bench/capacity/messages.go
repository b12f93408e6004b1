package main

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const incarnation = 1_800_000_000_000_000

func member(i int) *peerv1.Member {
	return &peerv1.Member{
		Host: fmt.Sprintf("domain-%02d-host-%02d", i/36, i%36), Incarnation: incarnation + uint64(i),
		FailureDomain: fmt.Sprintf("domain-%02d", i/36), Region: fmt.Sprintf("region-%02d", i/72),
		PeerAddress: "10.120.130.140:7002", CallerAddress: "10.120.130.140:7000", OperatorAddress: "10.120.130.140:7001",
	}
}

func members(n int) []*peerv1.Member {
	list := make([]*peerv1.Member, n)
	for i := range list {
		list[i] = member(i)
	}
	return list
}

func held(n int) []*peerv1.HeldPermits {
	list := make([]*peerv1.HeldPermits, n)
	for i := range list {
		list[i] = &peerv1.HeldPermits{
			Service: fmt.Sprintf("service-%03d", i/4), Target: fmt.Sprintf("service-%03d-target-%d", i/4, i%4), Count: 3,
			LatestDeadlineMs: 1500,
		}
	}
	return list
}

func headroom(n int) []*peerv1.ServiceHeadroom {
	list := make([]*peerv1.ServiceHeadroom, n)
	for i := range list {
		list[i] = &peerv1.ServiceHeadroom{
			Service: fmt.Sprintf("service-%03d", i), FreeSlots: 60, TotalSlots: 200, QueueDelayMs: 3,
		}
	}
	return list
}

func heartbeat(memberCount, permits int) proto.Message {
	return &peerv1.Heartbeat{
		Sender: member(0), ConfigVersion: 16_000_000, Sequence: 1_000_000, Members: members(memberCount), Held: held(permits),
	}
}

func summary(memberCount, services int) *peerv1.DomainSummary {
	return &peerv1.DomainSummary{
		FailureDomain: "domain-00", Region: "region-00", RelayIncarnation: incarnation, Sequence: 1_000_000,
		Members: members(memberCount), Services: headroom(services), ConfigVersion: 16_000_000,
	}
}

func summaries(n int) proto.Message {
	m := &peerv1.DomainSummaries{}
	for range n {
		m.Summaries = append(m.Summaries, summary(36, 20))
	}
	return m
}

func dispatcherID() *peerv1.DispatcherID {
	return &peerv1.DispatcherID{Host: "domain-00-host-07", Incarnation: incarnation, Term: 7}
}

func acquire(excluded int) proto.Message {
	m := &peerv1.AcquireRequest{
		RequestId: "0192d3c4-5678-7abc-8def-0123456789ab", Service: "service-042", Route: "/orders/",
		Class: configv1.RequestClass_REQUEST_CLASS_SHORT, TimeoutMs: 2000, Fingerprint: 1 << 63,
	}
	for i := range excluded {
		m.ExcludeTargets = append(m.ExcludeTargets, fmt.Sprintf("service-042-target-%d", i))
	}
	return m
}

func granted() proto.Message {
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_Permit{Permit: &peerv1.Permit{
		Id: 1_000_000, Dispatcher: dispatcherID(), Target: "service-042-target-3", Address: "10.120.130.140:8080",
		TimeoutMs: 1990, HedgeAfterMs: 80, Class: configv1.RequestClass_REQUEST_CLASS_SHORT,
	}}}
}

func release() proto.Message {
	return &peerv1.ReleaseRequest{
		PermitId: 1_000_000, Dispatcher: dispatcherID(), Service: "service-042", Target: "service-042-target-3",
		Outcome: peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK, FirstByteUs: 12_345, TotalUs: 23_456, AnswerBytes: 34_567,
		Fingerprint: 1 << 63, Route: "/orders/",
	}
}

func targetObject(i int, version uint64) *configv1.Object {
	return &configv1.Object{Version: version, Kind: &configv1.Object_Target{Target: &configv1.Target{
		Name: fmt.Sprintf("service-%03d-target-%d", i/40, i), Service: fmt.Sprintf("service-%03d", i/40),
		FailureDomain: fmt.Sprintf("domain-%02d", i%58), Slots: 4, MaxConnections: 800,
		Address: fmt.Sprintf("10.1%02d.1%02d.1%02d:8080", i/10_000%100, i/100%100, i%100),
		State:   configv1.TargetState_TARGET_STATE_ACTIVE,
	}}}
}

func configChange(version uint64) *configv1.Change {
	return &configv1.Change{
		Version: version, RequestId: "0192d3c4-5678-7abc-8def-0123456789ab", CommittedUnixMs: incarnation / 1000,
		Mutations: []*configv1.Mutation{{
			Action: &configv1.Mutation_Put{Put: targetObject(int(version%1000), version)}, BaseVersion: version - 1,
		}},
	}
}

func configChanges(n int) proto.Message {
	m := &peerv1.FetchConfigResponse{}
	for i := range n {
		m.Changes = append(m.Changes, configChange(16_000_000+uint64(i)))
	}
	return m
}

func checkpoint(n int) proto.Message {
	c := &configv1.Checkpoint{Version: 16_000_000}
	for i := range n {
		c.Objects = append(c.Objects, targetObject(i, 16_000_000))
	}
	return &peerv1.FetchConfigResponse{Checkpoint: c}
}

func burnResponse(services int) proto.Message {
	const buckets = 121 // one hour of 30 s buckets and the current bucket
	m := &peerv1.BurnResponse{}
	for i := range services {
		counts := &peerv1.BurnCounts{Service: fmt.Sprintf("service-%03d", i)}
		for b := range buckets {
			counts.Buckets = append(counts.Buckets, &peerv1.BurnBucket{
				UnixSeconds: 1_800_000_000 + int64(b)*30, Seconds: 30, Requests: 6_000, Failed: 6, Slow: 60,
			})
		}
		m.Services = append(m.Services, counts)
	}
	return m
}

func sliceRequest() proto.Message {
	return &peerv1.SliceRequest{Cap: "region-00/region-01/service-042", Amount: 120.5, RequestId: "0192d3c4-5678-7abc-8def-0123456789ab"}
}

func sliceResponse() proto.Message {
	return &peerv1.SliceResponse{Amount: 120.5, ValidMs: 5000, Holder: dispatcherID()}
}

// framedSize returns the bytes on the wire of a control call or its response: the message in an envelope, a length prefix of 2
// bytes, a yamux frame header of 12 bytes, and TCP and IPv4 headers of 52 bytes per segment of 1,448 bytes.
func framedSize(m proto.Message) float64 {
	payload := must(proto.Marshal(m))
	envelope := &peerv1.Envelope{Id: 100_000, Incarnation: incarnation, Method: "membership.beat", Payload: payload, TimeoutMs: 1000}
	return envelopeWireSize(proto.Size(envelope))
}

// envelopeWireSize returns the bytes on the wire of an envelope with the given encoded size.
func envelopeWireSize(envelope int) float64 {
	bytes := envelope + 12 + 2
	return float64(bytes + 52*((bytes+1447)/1448))
}

func measureMessages(s *settings) []*series {
	var all []*series
	for _, m := range []struct {
		name, by string
		counts   []int
		build    func(int) proto.Message
	}{
		{"Heartbeat", "members", []int{1, 3, 9, 18, 36, 72}, func(n int) proto.Message { return heartbeat(n, 0) }},
		{"Heartbeat without members", "held targets", []int{1, 4, 16, 64}, func(n int) proto.Message { return heartbeat(0, n) }},
		{"DomainSummary", "members", []int{9, 18, 36, 72}, func(n int) proto.Message { return summary(n, 20) }},
		{"DomainSummary without members", "services", []int{5, 20, 80, 320}, func(n int) proto.Message { return summary(0, n) }},
		{"DomainSummaries", "domains", []int{6, 15, 29, 58}, summaries},
		{"AcquireRequest", "excluded targets", []int{1, 2, 4, 8}, acquire},
		{"AcquireResponse", fixedSize, []int{1, 2, 3, 4}, func(int) proto.Message { return granted() }},
		{"ReleaseRequest", fixedSize, []int{1, 2, 3, 4}, func(int) proto.Message { return release() }},
		{"SliceRequest", fixedSize, []int{1, 2, 3, 4}, func(int) proto.Message { return sliceRequest() }},
		{"SliceResponse", fixedSize, []int{1, 2, 3, 4}, func(int) proto.Message { return sliceResponse() }},
		{"BurnResponse with 121 buckets a service", "services", []int{5, 10, 20, 40}, burnResponse},
		{"FetchConfigResponse", "changes", []int{1, 10, 100, 1000}, configChanges},
		{"FetchConfigResponse with checkpoint", "objects", []int{1000, 2000, 4000, 8000, 16_000}, checkpoint},
	} {
		bytes := &series{name: m.name + ": size", size: m.by, unit: "B"}
		encode := &series{name: m.name + ": encode", size: m.by, unit: "us CPU"}
		decode := &series{name: m.name + ": decode", size: m.by, unit: "us CPU"}
		for _, n := range m.counts {
			message := m.build(n)
			encoded := must(proto.Marshal(message))
			bytes.add(n, float64(len(encoded)))
			encode.add(n, 1e6*cpuPerOp(s.minCPUTime/4, func(n int) {
				for range n {
					must(proto.Marshal(message))
				}
			}))
			decode.add(n, 1e6*cpuPerOp(s.minCPUTime/4, func(n int) {
				for range n {
					into := message.ProtoReflect().New().Interface()
					if err := proto.Unmarshal(encoded, into); err != nil {
						panic(err)
					}
				}
			}))
		}
		all = append(all, bytes, encode, decode)
	}
	return all
}
