package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	// poisonPath is the path of a request that ends each target which runs it.
	poisonPath     = "/tides/x?crash=1"
	poisonDomains  = 6
	poisonTargets  = 3 // per failure domain
	poisonDuration = 2 * time.Second
	poisonPause    = 5 * time.Millisecond
)

// crashingFleet is a fleet whose targets end on a request with crash=1.
type crashingFleet struct {
	*fleet
	// ended is the number of targets that have ended.
	ended atomic.Int32
}

// newCrashingFleet starts a host and some targets in each of several failure domains, of which two at a time form a region.
func newCrashingFleet(t *testing.T, domains, targets int) *crashingFleet {
	f := &crashingFleet{fleet: newFleet(t)}
	objects := []*configv1.Object{service("tides")}
	for i := range domains {
		domain, region := fmt.Sprintf("d%d", i+1), fmt.Sprintf("r%d", i/2+1)
		f.startHost(fmt.Sprintf("h%d", i+1), domain, region)
		objects = append(objects, place(domain, region))
		for n := range targets {
			objects = append(objects, f.startTargetWithExit(fmt.Sprintf("t%d-%d", i+1, n), "tides", domain, 4, f.countEnd))
		}
	}
	f.waitMembers()
	f.commit("h1", objects...)
	f.waitReads()
	return f
}

func (f *crashingFleet) countEnd() { f.ended.Add(1) }

// repeatPoison sends the poison request to a host again and again for some time.
func (f *crashingFleet) repeatPoison(host string, duration time.Duration) {
	app := f.hosts[host]
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(poisonPause) {
		f.requestTo(app, http.MethodGet, poisonPath)
	}
}

// Guards against a poison request that ends targets in each failure domain, because what one of them has learned about it is unknown
// to the others.
func TestPoisonIsStoppedInAllFailureDomains(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(t, poisonDomains, poisonTargets)
	var senders sync.WaitGroup
	for host := range f.hosts {
		senders.Go(func() { f.repeatPoison(host, poisonDuration) })
	}
	senders.Wait()
	t.Logf("%d of %d targets ended", f.ended.Load(), poisonDomains*poisonTargets)
	// Each host may have one request in flight when the first target ends; after that, two are enough to recognise the request.
	is.True(f.ended.Load() <= poisonDomains+2)
}

// Guards against a poison request that ends a target each time that it comes, because its caller leaves before that and nobody hears how
// the request ends.
func TestPoisonOfImpatientCallersIsStopped(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(t, poisonDomains, poisonTargets)
	var others sync.WaitGroup
	for host := range f.hosts {
		others.Go(func() {
			for end := time.Now().Add(2 * poisonDuration); time.Now().Before(end); time.Sleep(poisonPause) {
				f.request(host, http.MethodGet, "/tides/x")
			}
		})
	}
	impatient := &http.Client{Timeout: 50 * time.Millisecond}
	rnd := rand.New(rand.NewPCG(1, 1))
	for end := time.Now().Add(2 * poisonDuration); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		host := fmt.Sprintf("h%d", 1+rnd.IntN(poisonDomains))
		req, err := http.NewRequest(http.MethodGet, "http://"+f.hosts[host].Settings.CallerListen+poisonPath+"&work=100ms", nil)
		is.NoErr(err)
		perform(impatient, req)
	}
	others.Wait()
	t.Logf("%d of %d targets ended", f.ended.Load(), poisonDomains*poisonTargets)
	is.True(f.ended.Load() <= 3) // the request is recognised at the third target at the latest
}

// Guards against a poison request that ends targets again after its hosts have restarted.
func TestPoisonStaysRefusedWhileHostsRestart(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(t, poisonDomains, poisonTargets)
	f.repeatPoison("h1", poisonDuration)
	before := f.ended.Load()
	is.True(before >= 2 && before <= 3)
	for i := range poisonDomains {
		name := fmt.Sprintf("h%d", i+1)
		app := f.hosts[name]
		is.NoErr(f.stopHost(name))
		f.startHost(name, app.Settings.FailureDomain, app.Settings.Region)
		f.waitMembers()
		f.waitRead(name)
		f.repeatPoison(name, poisonDuration/4)
	}
	t.Logf("%d targets ended before the restarts, %d after them", before, f.ended.Load())
	is.True(f.ended.Load() <= 3) // the request is recognised at the third target at the latest
}

// Guards against an innocent request that is refused as poison because targets that go on running lost their answers to it.
func TestLostAnswersAreNotPoison(t *testing.T) {
	is := is.New(t)
	f := newCrashingFleet(t, 1, poisonTargets)
	for _, t := range f.targets {
		t.SetFaults(target.Faults{LoseAnswer: true})
	}
	for range 2 {
		is.Equal(f.request("h1", http.MethodGet, "/tides/x").status, http.StatusBadGateway)
	}
	for _, t := range f.targets {
		t.SetFaults(target.Faults{})
	}
	is.Equal(f.request("h1", http.MethodGet, "/tides/x").status, http.StatusOK)
}
