package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
)

// seeds lists the seeds of the runs of each row; a row shows the medians over them.
var seeds = []uint64{1, 2, 3}

var measurements = []measurement{
	{"slots", measureSlots},
	{"users", measureUsers},
	{"failover", measureFailover},
	{"classes", measureClasses},
	{"stragglers", measureStragglers},
	{"cost", measureCost},
}

// choosers lists the compared algorithms for the choice of a target.
var choosers = []struct {
	name     string
	acquirer func(e *environment) permit.Acquirer
}{
	{"dispatcher", nil},
	{"random", func(e *environment) permit.Acquirer {
		return permit.NewRandomChoice(e.cluster.Store, e.cluster.Domain, e.newRand())
	}},
	{"two choices", func(e *environment) permit.Acquirer {
		return permit.NewTwoChoices(e.cluster.Store, e.cluster.Domain, e.newRand(),
			func(t string) int { return e.targets[t].reportedLoad() })
	}},
	{"least in flight", func(e *environment) permit.Acquirer {
		return permit.NewLeastInFlight(e.cluster.Store, e.cluster.Domain)
	}},
}

// meanServiceTime is the mean service time of the simulated requests.
const meanServiceTime = 20 * time.Millisecond

func newExponentialJob(rng *rand.Rand) job {
	return job{route: "/", serviceTime: time.Duration(rng.ExpFloat64() * float64(meanServiceTime))}
}

// rateForLoad returns the requests per second that occupy a share of all slots of a service at a mean service time.
func rateForLoad(s permittest.Service, share float64, mean time.Duration) float64 {
	return share * float64(s.Targets*s.Slots) / mean.Seconds()
}

func median[T int | int64 | float64](values []T) T {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// percent returns part as a percentage of total; a total of 0 counts as 1.
func percent(part, total int) float64 { return 100 * float64(part) / float64(max(1, total)) }

// measureSlots compares the choosers by the number of requests that reach a target without a free slot, at 95% offered load.
func measureSlots(m *runner) {
	s := scenario{
		hosts: 4, service: permittest.Service{Name: "lookup", Domain: "d1", Targets: 4, Slots: 4},
		delay: 500 * time.Microsecond, timeout: 2 * time.Second, duration: 20 * time.Second, job: newExponentialJob,
	}
	s.rate = rateForLoad(s.service, 0.95, meanServiceTime)
	fmt.Println("chooser | " + chooserHeader)
	for _, b := range choosers {
		s.acquirer = b.acquirer
		fmt.Printf("%s | %s\n", b.name, m.chooserRow([]scenario{s}))
	}
}

const chooserHeader = "beyond slots % | served in time % | refused % | permit p50 ms | permit p99 ms | total p50 ms | total p99 ms"

// chooserRow runs the scenarios, one per failure domain, adds up their results and returns the medians over the seeds.
func (m *runner) chooserRow(scenarios []scenario) string {
	var figures [7][]float64
	for _, seed := range seeds {
		sum := result{permit: newHistogram()}
		total := newHistogram()
		for i, s := range scenarios {
			r := m.run(s, seed+uint64(100*i))
			sum.offered += r.offered
			sum.overCapacity += r.overCapacity
			sum.served += r.served
			sum.refused += r.refused
			sum.permit.Merge(r.permit)
			total.Merge(r.total["/"])
		}
		row := []float64{percent(sum.overCapacity, sum.offered), percent(sum.served, sum.offered), percent(sum.refused, sum.offered)}
		row = append(row, quantiles(sum.permit, 50, 99)...)
		for i, v := range append(row, quantiles(total, 50, 99)...) {
			figures[i] = append(figures[i], v)
		}
	}
	var cells []string
	for _, f := range figures {
		cells = append(cells, fmt.Sprintf("%.2f", median(f)))
	}
	return strings.Join(cells, " | ")
}

// The deployments of both users have the same numbers of failure domains and hosts.
const (
	domains    = 6
	entryHosts = 20
)

// measureUsers compares the choosers at the deployment sizes of both users: 20 hosts and all targets of a service, spread evenly
// over 6 failure domains.
func measureUsers(m *runner) {
	services := []struct {
		user, name     string
		targets, slots int
	}{
		{"Pryce", "lookup", 20, 4}, {"Pryce", "bookings", 12, 4}, {"Pryce", "guides", 12, 3},
		{"Delta", "oilwatch", 16, 9}, {"Delta", "linecommand", 12, 8}, {"Delta", "vaultfetch", 12, 3},
	}
	fmt.Println("user | service | targets x slots | chooser | " + chooserHeader)
	for _, x := range services {
		for _, b := range choosers {
			var list []scenario
			for i := range domains {
				s := scenario{
					hosts:   domainShare(entryHosts, i),
					service: permittest.Service{Name: x.name, Domain: "d1", Targets: domainShare(x.targets, i), Slots: x.slots},
					delay:   500 * time.Microsecond, timeout: 2 * time.Second, duration: 3 * time.Second,
					job: newExponentialJob, acquirer: b.acquirer,
				}
				s.rate = rateForLoad(s.service, 0.95, meanServiceTime)
				list = append(list, s)
			}
			fmt.Printf("%s | %s | %d x %d | %s | %s\n", x.user, x.name, x.targets, x.slots, b.name, m.chooserRow(list))
		}
	}
}

// domainShare returns how many of n hosts or targets failure domain i has if they are spread evenly.
func domainShare(n, i int) int { return (n + domains - 1 - i) / domains }

// measureFailover measures the longest time without a grant and the requests over capacity when the dispatcher of a service moves
// to another host.
func measureFailover(m *runner) {
	s := scenario{
		hosts: 4, service: permittest.Service{Name: "lookup", Domain: "d1", Targets: 4, Slots: 4},
		delay: 500 * time.Microsecond, timeout: 5 * time.Second, duration: 10 * time.Second, job: newExponentialJob,
	}
	s.rate = rateForLoad(s.service, 0.7, meanServiceTime)
	events := []struct {
		name  string
		event func(e *environment)
	}{
		{"none", nil},
		{"dispatcher killed", func(e *environment) { e.cluster.Kill(e.dispatcher()) }},
		{"better owner joins", func(e *environment) { e.cluster.Add(e.nextOwner()).Start() }},
	}
	fmt.Println("event | longest time without a grant ms | beyond slots | refused % | unanswered %")
	for _, x := range events {
		s.injectEvent = x.event
		var gap, beyond, refused, late []float64
		for _, seed := range seeds {
			r := m.run(s, seed)
			gap = append(gap, float64(r.longestGap.Microseconds())/1000)
			beyond = append(beyond, float64(r.overCapacity))
			refused = append(refused, percent(r.refused, r.offered))
			late = append(late, percent(r.timedOut, r.offered))
		}
		fmt.Printf("%s | %.1f | %.0f | %.2f | %.2f\n", x.name, median(gap), median(beyond), median(refused), median(late))
	}
}

// longShare and meanLongServiceTime describe the long requests of measureClasses.
const (
	longShare           = 0.05
	meanLongServiceTime = 50 * meanServiceTime
)

// measureClasses measures the latency of short requests with and without concurrent long requests. The rate of short requests is
// the same in all rows of an offered load.
func measureClasses(m *runner) {
	base := scenario{
		hosts: 4, service: permittest.Service{Name: "lookup", Domain: "d1", Targets: 4, Slots: 4},
		delay: 500 * time.Microsecond, timeout: 10 * time.Second, duration: 30 * time.Second,
	}
	mixed := func(rng *rand.Rand) job {
		if rng.Float64() < longShare {
			return job{route: "/long", serviceTime: time.Duration(rng.ExpFloat64() * float64(meanLongServiceTime))}
		}
		return job{route: "/short", serviceTime: time.Duration(rng.ExpFloat64() * float64(meanServiceTime))}
	}
	short := func(rng *rand.Rand) job {
		return job{route: "/short", serviceTime: time.Duration(rng.ExpFloat64() * float64(meanServiceTime))}
	}
	mean := time.Duration((1-longShare)*float64(meanServiceTime) + longShare*float64(meanLongServiceTime))
	fmt.Println("offered % | queue | short p50 ms | short p99 ms | short p99.9 ms | long p50 ms | long p99 ms | refused or late %")
	for _, offered := range []float64{0.6, 0.9} {
		rate := rateForLoad(base.service, offered, mean)
		rows := []struct {
			name     string
			rate     float64
			job      func(rng *rand.Rand) job
			acquirer func() func(e *environment) permit.Acquirer
		}{
			{"dispatcher, no long requests", rate * (1 - longShare), short, nil},
			{"dispatcher, 5% long requests", rate, mixed, nil},
			{"one FIFO queue, 5% long requests", rate, mixed, newFIFO},
		}
		for _, row := range rows {
			s := base
			s.rate, s.job = row.rate, row.job
			var figures [6][]float64
			for _, seed := range seeds {
				if row.acquirer != nil {
					s.acquirer = row.acquirer()
				}
				r := m.run(s, seed)
				for i, v := range append(quantiles(r.total["/short"], 50, 99, 99.9), quantiles(r.total["/long"], 50, 99)...) {
					figures[i] = append(figures[i], v)
				}
				figures[5] = append(figures[5], percent(r.refused+r.timedOut, r.offered))
			}
			fmt.Printf("%.0f | %s", 100*offered, row.name)
			for _, f := range figures {
				fmt.Printf(" | %.1f", median(f))
			}
			fmt.Println()
		}
	}
}

// quantiles returns percentiles (0 to 100) of a histogram of microseconds, in milliseconds; zeros if the histogram is nil.
func quantiles(h *hdrhistogram.Histogram, qs ...float64) []float64 {
	list := make([]float64, len(qs))
	for i, q := range qs {
		if h != nil {
			list[i] = float64(h.ValueAtQuantile(q)) / 1000
		}
	}
	return list
}

const (
	stragglerCount    = 2
	stragglerSlowdown = 20
	meanSlowPhase     = time.Second
	meanHealthyPhase  = 2 * time.Second
)

// newStragglerPhases returns the service time multiplier of a target over time, or nil for a target that is never slow. The first
// targets alternate between healthy and slow phases of exponentially distributed length.
func newStragglerPhases(index int, start time.Time, rng *rand.Rand) func(now time.Time) float64 {
	if index >= stragglerCount {
		return nil
	}
	var changes []time.Time
	for at := start; at.Before(start.Add(5 * time.Minute)); {
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(meanHealthyPhase)))
		changes = append(changes, at)
		at = at.Add(time.Duration(rng.ExpFloat64() * float64(meanSlowPhase)))
		changes = append(changes, at)
	}
	return func(now time.Time) float64 {
		passed, _ := slices.BinarySearchFunc(changes, now, time.Time.Compare)
		if passed%2 == 1 {
			return stragglerSlowdown
		}
		return 1
	}
}

// measureStragglers measures tail latency while some targets have slow phases, with and without hedging.
func measureStragglers(m *runner) {
	s := scenario{
		hosts: 4, service: permittest.Service{Name: "lookup", Domain: "d1", Targets: 16, Slots: 4},
		delay: 500 * time.Microsecond, timeout: 5 * time.Second, duration: 10 * time.Second,
	}
	s.job = func(rng *rand.Rand) job {
		j := newExponentialJob(rng)
		j.idempotent = true
		return j
	}
	s.rate = rateForLoad(s.service, 0.6, meanServiceTime)
	noHedges := &configv1.Policy{Name: "p", Service: "lookup"}
	rows := []struct {
		name     string
		slowdown func(int, time.Time, *rand.Rand) func(time.Time) float64
		policy   *configv1.Policy
		acquirer func(e *environment) permit.Acquirer
	}{
		{"no stragglers, no hedging", nil, noHedges, nil},
		{"no stragglers, hedging", nil, nil, nil},
		{"stragglers, hedging", newStragglerPhases, nil, nil},
		{"stragglers, no hedging", newStragglerPhases, noHedges, nil},
		{"stragglers, least in flight", newStragglerPhases, nil, choosers[3].acquirer},
	}
	fmt.Println("run | p50 ms | p99 ms | p99.9 ms | extra requests % | beyond slots | refused or late %")
	for _, row := range rows {
		s.slowdown, s.policy, s.acquirer = row.slowdown, row.policy, row.acquirer
		var figures [6][]float64
		for _, seed := range seeds {
			r := m.run(s, seed)
			for i, v := range append(quantiles(r.total["/"], 50, 99, 99.9), percent(r.hedges, r.offered), float64(r.overCapacity),
				percent(r.refused+r.timedOut, r.offered)) {
				figures[i] = append(figures[i], v)
			}
		}
		fmt.Print(row.name)
		for _, f := range figures {
			fmt.Printf(" | %.2f", median(f))
		}
		fmt.Println()
	}
}
