package daemon

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	overloadHost    = "overload.example"
	overloadSlots   = 12
	overloadMinWork = 200 * time.Millisecond
	overloadMaxWork = 400 * time.Millisecond
	overloadWarmUp  = 3 * time.Second
	overloadTime    = 8 * time.Second
	// overloadSlack is the time that an answer may take beyond the caller's timeout: the test and the hosts share the processors.
	overloadSlack = 500 * time.Millisecond
)

// overloadRoute is one of several routes of a service that differ only in their latency objective and in their callers' timeout.
type overloadRoute struct {
	name               string
	objective, timeout time.Duration
}

var overloadRoutes = []overloadRoute{
	{"short-objective", 150 * time.Millisecond, 2 * time.Second},
	{"objective", 600 * time.Millisecond, 2 * time.Second},
	{"long-objective", 1800 * time.Millisecond, 2 * time.Second},
	{"patient", 600 * time.Millisecond, 4 * time.Second},
	{"hopeless", 600 * time.Millisecond, 100 * time.Millisecond},
}

// overloadResults are the results of the requests of one route. Only those after the warm-up count.
type overloadResults struct {
	sent, served, refused, expired, late int
	// refusedAfter are the times after which requests were refused, servedAfter those after which they were answered.
	refusedAfter, servedAfter []time.Duration
}

func (r *overloadResults) servedShare() float64 { return float64(r.served) / float64(max(1, r.sent)) }

// quantile returns a quantile of some times, 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Round(time.Millisecond)
}

func (r *overloadResults) String() string {
	return fmt.Sprintf("%d sent, served %.0f%% (half after %v, 95 in 100 after %v), refused %.0f%% (half after %v, 95 in 100 after %v), %d expired, %d late",
		r.sent, 100*r.servedShare(), quantile(r.servedAfter, 0.5), quantile(r.servedAfter, 0.95),
		100*float64(r.refused)/float64(max(1, r.sent)), quantile(r.refusedAfter, 0.5), quantile(r.refusedAfter, 0.95), r.expired, r.late)
}

func (r *overloadResults) add(got outcome, took, timeout time.Duration) {
	r.sent++
	switch {
	case got.err == nil && got.status == http.StatusOK:
		r.served++
		r.servedAfter = append(r.servedAfter, took)
		if took > timeout+overloadSlack {
			r.late++
		}
	case got.err == nil && got.outcome == reply.NotRun:
		r.refused++
		r.refusedAfter = append(r.refusedAfter, took)
	default:
		r.expired++
	}
}

func overloadRules() *configv1.Object {
	host := &configv1.VirtualHost{Name: overloadHost}
	for _, r := range overloadRoutes {
		host.Rules = append(host.Rules, &configv1.Rule{
			Name: r.name, PathPrefix: "/" + r.name + "/", TimeoutMs: 10_000, Attempts: 1, Repeat: configv1.Repeat_REPEAT_IDEMPOTENT,
			LatencyMs: uint32(r.objective.Milliseconds()), Destinations: []*configv1.Destination{{Service: "tides", Weight: 1}},
		})
	}
	return &configv1.Object{Kind: &configv1.Object_VirtualHost{VirtualHost: host}}
}

// overload sends requests of random routes through random hosts, with load times the work that the slots can do, and returns the results
// by route.
func overload(p *processFleet, load float64, seed uint64) map[string]*overloadResults {
	rnd := rand.New(rand.NewPCG(seed, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	results := map[string]*overloadResults{}
	for _, r := range overloadRoutes {
		results[r.name] = &overloadResults{}
	}
	var mu sync.Mutex
	var tasks sync.WaitGroup
	interval := time.Duration(float64(overloadMinWork+overloadMaxWork) / 2 / overloadSlots / load)
	start := time.Now()
	ticks := time.NewTicker(interval)
	defer ticks.Stop()
	for time.Since(start) < overloadWarmUp+overloadTime {
		<-ticks.C
		r := overloadRoutes[rnd.IntN(len(overloadRoutes))]
		h := p.hosts[rnd.IntN(len(p.hosts))]
		work := overloadMinWork + time.Duration(rnd.Int64N(int64(overloadMaxWork-overloadMinWork)))
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/%s/x?work=%dms", h.caller(), r.name, work.Milliseconds()), nil)
		if err != nil {
			p.t.Fatal(err)
		}
		req.Host = overloadHost
		req.Header.Set(reply.HeaderTimeout, fmt.Sprint(r.timeout.Seconds()))
		counted := time.Since(start) > overloadWarmUp
		tasks.Go(func() {
			sent := time.Now()
			got := perform(client, req)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if counted {
				results[r.name].add(got, took, r.timeout)
			}
		})
	}
	tasks.Wait()
	return results
}

// Guards against callers that are held and refused by the latency objective of their route instead of the time that they have, against
// requests that occupy slots although they have too little time, and against slots that stay idle while requests are refused.
func TestCallersAreHeldAndRefusedByTheirTime(t *testing.T) {
	p := newProcessFleet(t)
	h := processHost{domain: "d1", region: "r1"}
	p.addHosts(h, h)
	objects := []*configv1.Object{place("d1", "r1"), service("tides"), overloadRules()}
	for i := range 3 {
		objects = append(objects, p.startTarget(i+1, "tides", "d1", overloadSlots/3))
	}
	p.apply(objects...)
	p.waitFor("hosts that know each other", p.allKnowAll)
	for i, load := range []float64{0.9, 1.3, 2} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			is := is.New(t)
			results := overload(p, load, uint64(i))
			for _, r := range overloadRoutes {
				t.Logf("%-15s objective %v, timeout %v: %v", r.name, r.objective, r.timeout, results[r.name])
			}
			checkOverload(is, load, results)
		})
	}
}

func checkOverload(is *is.I, load float64, results map[string]*overloadResults) {
	first, patient, hopeless := results["short-objective"], results["patient"], results["hopeless"]
	work := time.Duration(0)
	for _, r := range results {
		is.Equal(r.late, 0) // no answer after the deadline
		work += time.Duration(r.served) * (overloadMinWork + overloadMaxWork) / 2
	}
	for _, name := range []string{"objective", "long-objective"} {
		difference := math.Abs(results[name].servedShare() - first.servedShare())
		is.True(difference < 4*math.Sqrt(0.5/float64(first.sent))) // served alike: four standard deviations at most
		is.True(quantile(results[name].refusedAfter, 0.5) < overloadMinWork/2)
	}
	is.True(patient.servedShare() > first.servedShare()-0.05) // more time never costs a caller anything
	is.True(hopeless.refused > hopeless.sent*9/10)            // its work does not fit into its time
	is.True(quantile(hopeless.refusedAfter, 0.5) < 50*time.Millisecond)
	if useful := load * 4 / 5; useful > 1 { // without the hopeless requests
		is.True(work > overloadTime*overloadSlots*85/100) // the slots stay in use
	} else {
		for _, name := range []string{"short-objective", "objective", "long-objective", "patient"} {
			is.True(results[name].servedShare() > 0.95) // the slots suffice
		}
	}
}
