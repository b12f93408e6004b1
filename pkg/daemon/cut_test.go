package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	cutTargets = 6 // per failure domain
	// cutSettling is the time from a cut until hosts must serve as if there were none.
	cutSettling = 3 * time.Second
	cutDuration = 3 * time.Second
	// cutDelay is the time from the start of the load until the cut.
	cutDelay = 500 * time.Millisecond
	// minCutRequests is the number of reads that each host must at least get during a cut.
	minCutRequests = 50
	// The load needs new connections during a cut, because it has more callers at each host then than before.
	callersBefore = 4
	callersDuring = 8
	cutTimeout    = "5" // seconds
	// cutClientTimeout is longer than cutTimeout, so that hosts answer first.
	cutClientTimeout = 8 * time.Second
)

// cutFleet is a fleet of two failure domains, in which hosts can be cut off from all targets.
type cutFleet struct {
	*fleet
	client *http.Client
}

// newCutFleet starts three hosts in d1 and one in d2, which is in another region.
func newCutFleet(t *testing.T) *cutFleet {
	f := &cutFleet{fleet: newFleet(t), client: &http.Client{Timeout: cutClientTimeout}}
	f.links = newTargetLinks()
	f.startHost("h1", "d1", "r1")
	f.startHost("h2", "d1", "r1")
	f.startHost("h3", "d1", "r1")
	f.startHost("h4", "d2", "r2")
	f.waitMembers()
	objects := append(f.startTargets("d1"), f.startTargets("d2")...)
	f.commit("h1", append(objects, place("d1", "r1"), place("d2", "r2"), service("tides"))...)
	f.waitReads()
	return f
}

// startTargets starts the targets of a failure domain.
func (f *cutFleet) startTargets(domain string) []*configv1.Object {
	var targets []*configv1.Object
	for n := range cutTargets {
		targets = append(targets, f.startTarget(fmt.Sprintf("%s-t%d", domain, n), "tides", domain, 4))
	}
	return targets
}

// served holds the first tries at one host and how they ended.
type served struct {
	sent, ok atomic.Int32
	mu       sync.Mutex
	failures map[string]int
}

func (s *served) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d of %d %v", s.ok.Load(), s.sent.Load(), s.failures)
}

// load sends reads from callers of each host for some time and returns what each host served at the first try.
func (f *cutFleet) load(callers int, duration time.Duration) map[string]*served {
	results := map[string]*served{}
	var senders sync.WaitGroup
	for name, app := range f.hosts {
		result := &served{failures: map[string]int{}}
		results[name] = result
		for i := range callers {
			senders.Go(func() {
				for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					url := fmt.Sprintf("http://%s/tides/%s/%d?work=10ms", app.Settings.CallerListen, name, i)
					result.add(f.read(url))
				}
			})
		}
	}
	senders.Wait()
	return results
}

func (f *cutFleet) read(url string) outcome {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set("Request-Timeout", cutTimeout)
	return perform(f.client, req)
}

func (s *served) add(o outcome) {
	s.sent.Add(1)
	if o.err == nil && o.status == http.StatusOK {
		s.ok.Add(1)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures[strings.TrimSpace(fmt.Sprint(o.status, " ", o.reason))]++
}

// testCut cuts hosts off from all targets, and checks the reads at all hosts during the cut, once it has settled, and after it.
func testCut(t *testing.T, mode cutMode, hosts ...string) {
	is := is.New(t)
	f := newCutFleet(t)
	f.load(callersBefore, time.Second)
	time.AfterFunc(cutDelay, func() {
		for _, host := range hosts {
			f.links.cut(host, mode)
		}
	})
	settling := f.load(callersBefore, cutDelay+cutSettling)
	during := f.load(callersDuring, cutDuration)
	f.links.heal()
	f.load(callersBefore, time.Second)
	after := f.load(callersBefore, time.Second)
	for name := range f.hosts {
		t.Logf("%s: settling %s, during the cut %s, afterwards %s", name, settling[name], during[name], after[name])
	}
	for name := range f.hosts {
		is.Equal(during[name].ok.Load(), during[name].sent.Load())
		is.Equal(after[name].ok.Load(), after[name].sent.Load())
		is.True(during[name].sent.Load() > minCutRequests)
	}
}

// Guards against hosts that fail their callers while they are cut off from all targets, though other hosts reach these, and against
// targets and requests that are taken for broken because of what such hosts report.
func TestHostsWithResetLinksServe(t *testing.T) { testCut(t, cutReset, "h1", "h2") }

// Guards against hosts that wait for silent targets while other hosts reach these.
func TestHostsWithSilentLinksServe(t *testing.T) { testCut(t, cutSilent, "h1", "h2") }

// Guards against hosts that fail the requests for which they need a new connection, while their old ones go on working.
func TestHostsWithoutNewLinksServe(t *testing.T) { testCut(t, cutNew, "h1", "h2") }

// Guards against a failure domain that fails its callers while all of its hosts are cut off from their targets and another failure
// domain has free slots.
func TestFailureDomainWithResetLinksServes(t *testing.T) { testCut(t, cutReset, "h1", "h2", "h3") }

// Guards against a failure domain that waits for silent targets while another failure domain has free slots.
func TestFailureDomainWithSilentLinksServes(t *testing.T) { testCut(t, cutSilent, "h1", "h2", "h3") }

// Guards against a failure domain that fails the requests for which it needs new connections, while its old ones go on working and another
// failure domain has free slots.
func TestFailureDomainWithoutNewLinksServes(t *testing.T) { testCut(t, cutNew, "h1", "h2", "h3") }
