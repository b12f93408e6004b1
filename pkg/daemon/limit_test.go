package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
)

// Guards against a target that gets more requests than the limit that it states, summed over all hosts, and against a limit that
// remains after the target has stopped stating it.
func TestTargetsLimitIsKept(t *testing.T) {
	is := is.New(t)
	const (
		limit    = 5.0 // requests per second
		settling = time.Second
		duration = 6 * time.Second
	)
	f := newFleet(t)
	f.startHost("h1", "d1", "r1")
	f.startHost("h2", "d1", "r1")
	f.startHost("h3", "d1", "r1")
	f.waitMembers()
	f.commit("h1", place("d1", "r1"), service("tides"), f.startTarget("limited", "tides", "d1", 4), f.startTarget("other", "tides", "d1", 40))
	limited := f.targets["limited"]
	limited.SetFaults(target.Faults{RateLimit: limit})
	var senders sync.WaitGroup
	send := func(duration time.Duration) {
		for host := range f.hosts {
			for i := range 4 {
				senders.Go(func() {
					app := f.hosts[host]
					for end := time.Now().Add(duration); time.Now().Before(end); {
						f.requestTo(app, http.MethodGet, fmt.Sprintf("/tides/%s/%d?work=20ms", host, i))
					}
				})
			}
		}
	}
	send(settling + duration)
	time.Sleep(settling)
	before := limited.Report().Total
	time.Sleep(duration)
	got := limited.Report().Total - before
	senders.Wait()
	allowed := int(limit*duration.Seconds()) + 2
	t.Logf("%d requests in %s at a limit of %.1f per second", got, duration, limit)
	is.True(got <= allowed)
	is.True(got >= allowed/2) // the target is used

	limited.SetFaults(target.Faults{})
	before = limited.Report().Total
	send(duration)
	senders.Wait()
	got = limited.Report().Total - before
	t.Logf("%d requests in %s without a limit", got, duration)
	is.True(got > 2*allowed)
}
