package daemon

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a caller that hangs a host: a connection without a request, opened while the host stops, held the stop until the deadline of the
// drain, and the host ended with status 1.
func TestSilentConnectionDoesNotHoldAStop(t *testing.T) {
	is := is.New(t)
	p := newProcessFleet(t)
	p.hostFlags = []string{"--drain-timeout", "3s"}
	p.addHosts(processHost{domain: "d1", region: "r1"})
	p.apply(place("d1", "r1"), service("tides"), p.startTarget(1, "tides", "d1", 4))
	p.waitFor("service", func() bool { return p.allRespond(p.callerURLs("/tides/x")) })
	p.signal("h1", syscall.SIGTERM)
	time.Sleep(800 * time.Millisecond) // it announces its stop for 1 s
	conn, err := net.Dial("tcp", p.hosts[0].ip+":8080")
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	p.mu.Lock()
	stopping := p.running["h1"]
	p.mu.Unlock()
	<-stopping.done
	is.NoErr(stopping.err)
}
