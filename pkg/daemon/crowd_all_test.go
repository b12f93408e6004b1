package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
)

// Guards against limits that hold for each kind of client and port alone, and whose sum exceeds the memory.
func TestClientsOfAllKindsTogetherStayInMemory(t *testing.T) {
	s := newSmallHost(t, smallHostDescriptors)
	replayed := fmt.Sprintf("PUT /tides/x HTTP/1.1\r\nHost: tides\r\nContent-Length: %d\r\n\r\n%s", 64<<10, strings.Repeat("b", 64<<10-1))
	crowds := []crowd{
		{size: 200, address: s.callers(), payload: postHead + shortLines(60_000) + cutBody},
		{size: 300, address: s.callers(), payload: getHead + shortLines(15_500)},
		{size: 300, address: s.callers(), payload: replayed},
		{size: 200, address: s.callers(), payload: postHead + "\r\n100000\r\n" + strings.Repeat("b", 1<<20-1)},
		{size: 300, address: s.callers(), payload: getHead + "a: " + strings.Repeat("b", 7000)},
		{size: 300, address: s.callers(), payload: getHead + "\r\n"},
		{size: 300, address: s.callers()},
		{size: 100, address: s.operators(), payload: getHead + shortLines(60_000)},
		{size: 100, address: s.metrics(), payload: getHead + shortLines(60_000)},
		{size: 200, address: s.hosts[0].ip + ":8082"},
	}
	var joining sync.WaitGroup
	for _, c := range crowds {
		c.persist = true
		joining.Go(func() { s.join(c) })
	}
	joining.Wait()
	s.check("all kinds")
}
