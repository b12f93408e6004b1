package daemon

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against clients that end a host by the memory for heads at its other ports, which read heads of up to 1 MB by default.
func TestHeadsAtOtherPortsStayInMemory(t *testing.T) {
	s := newSmallHost(t, smallHostDescriptors)
	for name, address := range map[string]string{"operators": s.operators(), "metrics": s.metrics()} {
		t.Run(name, func(t *testing.T) {
			s.restart(t)
			s.join(crowd{size: 50, address: address, payload: "GET /metrics HTTP/1.1\r\nHost: h\r\n" + shortLines(900_000)})
			s.check(name)
		})
	}
}

// Guards against clients that end a host by the memory for bodies at the operators' port, which reads messages of up to 1 MiB.
func TestBodiesAtTheOperatorsPortStayInMemory(t *testing.T) {
	const head = "POST /rattanhitch.operator.v1.OperatorService/Apply HTTP/1.1\r\nHost: h\r\nContent-Type: application/proto\r\n"
	s := newSmallHost(t, smallHostDescriptors)
	for name, message := range map[string]string{
		"with a length": fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 1<<20, strings.Repeat("b", 1<<20-1)),
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1000\r\n"+strings.Repeat("b", 0x1000)+"\r\n", 255),
	} {
		t.Run(name, func(t *testing.T) {
			s.restart(t)
			s.join(crowd{size: 100, address: s.operators(), payload: head + message})
			s.check(name)
		})
	}
}

// Guards against clients that take the descriptors of a host, which it needs for targets, other hosts and the platform: a host with 300 left
// ordinary requests without an answer beside 600 idle connections.
func TestConnectionsOfClientsLeaveDescriptors(t *testing.T) {
	const descriptors, clients = 300, 600
	s := newSmallHost(t, descriptors)
	for name, c := range map[string]crowd{
		"idle":             {address: s.callers()},
		"a part of a head": {address: s.callers(), payload: getHead},
		"a cut body":       {address: s.callers(), payload: postHead + cutBody},
		"served before":    {address: s.callers(), payload: getHead + "\r\n"},
		"operators":        {address: s.operators()},
		"metrics":          {address: s.metrics()},
		"other hosts":      {address: s.hosts[0].ip + ":8082"},
	} {
		t.Run(name, func(t *testing.T) {
			s.restart(t)
			c.size, c.persist = clients, true
			s.join(c)
			for range 4 { // each needs a descriptor for the caller, and mostly one for the target
				s.check(name)
			}
		})
	}
}
