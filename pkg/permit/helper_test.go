package permit_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
)

const delay = time.Millisecond

// domain is a simulated failure domain under a load of requests.
type domain struct {
	*permittest.Cluster
	rng *rand.Rand

	mu sync.Mutex
	// inFlight is the number of requests in progress by target, peak its maximum.
	inFlight map[string]int
	peak     map[string]int
	sequence int
	pending  sync.WaitGroup
}

// run starts a domain of hosts with simulated time (a synctest bubble) and runs f in it.
func run(t *testing.T, seed uint64, hosts int, objects []*configv1.Object, f func(d *domain, is *is.I)) {
	t.Helper()
	t.Logf("seed %d", seed)
	bubble.Run(t, func(t *testing.T) {
		d := &domain{
			Cluster:  permittest.NewCluster(permittest.NewNetwork(delay), permittest.Store(objects...), "d1"),
			rng:      rand.New(rand.NewPCG(seed, 1)),
			inFlight: map[string]int{}, peak: map[string]int{},
		}
		for i := range hosts {
			d.Add(fmt.Sprintf("h%d", i))
		}
		d.StartAll()
		time.Sleep(time.Second) // the dispatchers start
		defer func() {
			d.pending.Wait()
			d.Close()
			// Pending calls to killed hosts end within 1.5 s, when their session is considered unresponsive.
			time.Sleep(10 * time.Second)
		}()
		f(d, is.New(t))
	})
}

// addDomain starts another failure domain of hosts with the same configuration.
func (d *domain) addDomain(name string, hosts int) *permittest.Cluster {
	c := permittest.NewCluster(d.Network, d.Store, name)
	d.Join(c)
	for i := range hosts {
		c.Add(fmt.Sprintf("%s-h%d", name, i))
	}
	c.StartAll()
	time.Sleep(time.Second) // the dispatchers start
	return c
}

// ownerAndOthers returns the host that owns the dispatcher of a service, and the other hosts in rendezvous order.
func (d *domain) ownerAndOthers(service string) (owner *permittest.Host, others []*permittest.Host) {
	byName := map[string]*permittest.Host{}
	var names []string
	for _, h := range d.Hosts() {
		byName[h.Member.Host] = h
		names = append(names, h.Member.Host)
	}
	ranked := rendezvous.Rank(service, names)
	for _, name := range ranked[1:] {
		others = append(others, byName[name])
	}
	return byName[ranked[0]], others
}

// request returns a request with a unique ID.
func (d *domain) request(service string, timeout time.Duration) permit.Request {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sequence++
	return permit.Request{ID: fmt.Sprint(d.sequence), Service: service, Deadline: time.Now().Add(timeout)}
}

// serve acquires a permit through host h, occupies the target for the duration work or until the deadline, and releases the
// permit.
func (d *domain) serve(h *permittest.Host, req permit.Request, work time.Duration) error {
	g, err := h.Acquire(context.Background(), req)
	if err != nil {
		return err
	}
	d.enter(g.Target)
	work = min(work, time.Until(g.Deadline))
	time.Sleep(work)
	d.leave(g.Target)
	g.Release(permit.Observation{Outcome: ok, FirstByte: work, Total: work})
	return nil
}

func (d *domain) enter(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[target]++
	d.peak[target] = max(d.peak[target], d.inFlight[target])
}

func (d *domain) leave(target string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight[target]--
}

func (d *domain) inFlightByTarget() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.inFlight)
}

// headroom returns the free and total slots summed over the dispatchers on a host.
func headroom(h *permittest.Host) (free, total int) {
	for _, s := range h.Headroom() {
		free += int(s.GetFreeSlots())
		total += int(s.GetTotalSlots())
	}
	return free, total
}
