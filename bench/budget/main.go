// Command budget measures how well package budget enforces a cap on the total request rate of all hosts: the peak above the cap
// and the utilisation of the cap. Its baselines are a static split, which gives each host an equal part of the cap, and no cap.
// It runs real peer nodes over in-memory connections.
package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/rattanhitch/rattanhitch/internal/memnet"
	"github.com/rattanhitch/rattanhitch/pkg/budget"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	// capPerSecond is the cap on the admitted requests/s of all hosts.
	capPerSecond = 400
	// warmUp is the time from the start of the load to the start of the measurement.
	warmUp      = 6 * time.Second
	measureTime = 10 * time.Second
	// One-way network delays between failure domains and between hosts of one failure domain.
	domainDelay = 1500 * time.Microsecond
	hostDelay   = 500 * time.Microsecond
)

// demand is a distribution of the offered requests/s over the hosts. The total is twice the cap.
type demand struct {
	name    string
	perHost []float64
}

var (
	hosts   = []string{"x0", "x1", "x2", "x3", "y0", "y1", "y2", "y3"}
	domains = []string{"x", "y"}
	demands = []demand{
		{"even", []float64{100, 100, 100, 100, 100, 100, 100, 100}},
		{"one domain", []float64{200, 200, 200, 200, 0, 0, 0, 0}},
		{"two hosts", []float64{400, 0, 0, 0, 400, 0, 0, 0}},
	}
)

// admitFunc reports whether a request of a host, given by its index, may be sent.
type admitFunc func(ctx context.Context, host int) bool

func main() {
	log.DefaultLogger.Level = log.FatalLevel
	fmt.Println("version demand peak_over_cap_percent utilisation_percent")
	for _, d := range demands {
		measure("budget", d, newCapBudgets())
		measure("cap/hosts", d, newStaticSplit())
		measure("no cap", d, func(context.Context, int) bool { return true })
	}
}

// newStaticSplit gives each host its own token bucket with an equal part of the cap. The burst is the tokens of one second, as in
// a limiter whose burst equals its rate.
func newStaticSplit() admitFunc {
	const hostRate = capPerSecond / 8
	limiters := make([]*rate.Limiter, len(hosts))
	for i := range limiters {
		limiters[i] = rate.NewLimiter(hostRate, hostRate)
	}
	return func(_ context.Context, host int) bool { return limiters[host].Allow() }
}

// newCapBudgets starts one host per name, all with a budget under the same cap.
func newCapBudgets() admitFunc {
	network := memnet.New()
	network.SetDelay("x", "y", domainDelay)
	for _, d := range domains {
		network.SetDelay(d, d, hostDelay)
	}
	c := budget.Cap{Name: "c", FromRegion: "r", Unit: budget.UnitRequests, Rate: capPerSecond, Domains: domains}
	list := make([]*budget.Budget, len(hosts))
	for i, name := range hosts {
		list[i] = newBudget(network, name, c)
	}
	return func(ctx context.Context, host int) bool {
		lease, err := list[host].Take(ctx, c.Name, 1)
		var refused *budget.RefusedError
		if err != nil && !errors.As(err, &refused) && !errors.Is(err, budget.ErrExpired) && ctx.Err() == nil {
			fatal(err)
		}
		return err == nil && lease.Check() == nil
	}
}

func newBudget(network *memnet.Network, name string, c budget.Cap) *budget.Budget {
	domain := name[:1]
	host := network.Host(name, domain)
	listener, err := host.Listen(name)
	if err != nil {
		fatal(err)
	}
	incarnation := uint64(time.Now().UnixMicro())
	node := peer.New(peer.Options{
		Self:     peer.Identity{Host: name, Incarnation: incarnation, FailureDomain: domain, Region: "r"},
		Listener: listener, Dial: host.Dial,
	})
	tracker := membership.New(membership.Options{
		Self:   membership.Member{Host: name, Incarnation: incarnation, FailureDomain: domain, Region: "r", PeerAddress: name},
		Caller: node, Registrar: node, Seeds: []string{"x0"},
	})
	b := budget.New(budget.Options{
		View: tracker, Caller: node, Registrar: node, MinHosts: len(hosts) / len(domains),
		Cap: func(string) (budget.Cap, bool) { return c, true },
	})
	if err := node.Start(context.Background()); err != nil {
		fatal(err)
	}
	tracker.Start(context.Background())
	return b
}

// measure offers the demand to admit and prints one row.
func measure(version string, d demand, admit admitFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), warmUp+measureTime)
	defer cancel()
	var mu sync.Mutex
	var admitted []time.Time
	var generators sync.WaitGroup
	for i, perSecond := range d.perHost {
		if perSecond > 0 {
			generators.Go(func() {
				generateLoad(ctx, perSecond, func() {
					if admit(ctx, i) {
						mu.Lock()
						admitted = append(admitted, time.Now())
						mu.Unlock()
					}
				})
			})
		}
	}
	since := time.Now().Add(warmUp)
	generators.Wait()
	mu.Lock()
	defer mu.Unlock()
	peak, total := peakAndTotal(admitted, since)
	fmt.Printf("%s, %s, %.1f, %.1f\n", version, d.name, max(0, float64(peak)/capPerSecond-1)*100,
		float64(total)/capPerSecond/measureTime.Seconds()*100)
}

// generateLoad starts requests at a constant rate, each in its own goroutine, until ctx is done.
func generateLoad(ctx context.Context, perSecond float64, sendRequest func()) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go sendRequest()
		}
	}
}

// peakAndTotal returns the largest number of requests admitted in any window [t, t+1 s) that starts at an admission, and the
// number of all admitted requests. Admissions before since do not count.
func peakAndTotal(admitted []time.Time, since time.Time) (peak, total int) {
	admitted = slices.DeleteFunc(slices.Clone(admitted), func(at time.Time) bool { return at.Before(since) })
	slices.SortFunc(admitted, time.Time.Compare)
	end := 0
	for i, first := range admitted {
		for end < len(admitted) && admitted[end].Before(first.Add(time.Second)) {
			end++
		}
		peak = max(peak, end-i)
	}
	return peak, len(admitted)
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(1)
}
