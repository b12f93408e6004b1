package daemon

import (
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that ends by itself because a signal comes while it still starts, here for half a second because the platform
// accepts connections and answers nothing. SIGHUP must change nothing, and SIGTERM must stop it gracefully.
func TestSignalsDuringTheStart(t *testing.T) {
	is := is.New(t)
	p := newProcessFleet(t)
	silent, err := net.Listen("tcp", p.network+"2:8080")
	is.NoErr(err)
	defer func() { _ = silent.Close() }()
	p.hostFlags = []string{"--platform-url", "http://" + silent.Addr().String()}
	h := processHost{name: "h1", domain: "d1", region: "r1", ip: p.network + "10"}

	p.startHost(h)
	time.Sleep(200 * time.Millisecond)
	p.signal(h.name, syscall.SIGHUP)
	p.waitFor("host after SIGHUP", func() bool { return p.allRespond([]string{h.operator() + "/healthz"}) })
	is.NoErr(p.terminate(h.name, syscall.SIGTERM))

	p.startHost(h)
	time.Sleep(200 * time.Millisecond)
	is.NoErr(p.terminate(h.name, syscall.SIGTERM))
}
