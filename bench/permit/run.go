package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
	"github.com/rattanhitch/rattanhitch/pkg/permit/permittest"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
)

// job is one simulated request.
type job struct {
	route       string
	class       configv1.RequestClass
	serviceTime time.Duration
	// idempotent allows a hedged request.
	idempotent bool
}

// scenario describes a simulated load on the targets of one service in one failure domain.
type scenario struct {
	hosts    int
	service  permittest.Service
	policy   *configv1.Policy
	delay    time.Duration
	timeout  time.Duration
	duration time.Duration
	// rate is the number of requests per second.
	rate float64
	job  func(rng *rand.Rand) job
	// slowdown returns the service time multiplier of a target over time; nil means that no target is slow.
	slowdown func(index int, start time.Time, rng *rand.Rand) func(now time.Time) float64
	// acquirer creates the baseline of a host; nil means the permit manager.
	acquirer func(e *environment) permit.Acquirer
	// injectEvent is called after half of the duration; nil means no event.
	injectEvent func(e *environment)
	// configure changes the options of the permit managers.
	configure func(*permit.Options)
}

// result holds the observations of one run.
type result struct {
	offered, served, refused, timedOut, hedges int
	// longestGap is the longest time between two grants.
	longestGap time.Duration
	lastGrant  time.Time
	// overCapacity is the number of requests that arrived at a target with all slots occupied.
	overCapacity int
	// permit is the time to acquire a permit, of all granted requests; total is the time from arrival to the end of the
	// response by route, of served requests. Both are in microseconds.
	permit *hdrhistogram.Histogram
	total  map[string]*hdrhistogram.Histogram
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(5*time.Minute/time.Microsecond), 3)
}

// environment is the state of a running scenario.
type environment struct {
	scenario scenario
	cluster  *permittest.Cluster
	targets  map[string]*simTarget
	rng      *rand.Rand

	mu     sync.Mutex
	result result
}

// simulate runs a scenario in virtual time. It must be called in a testing/synctest bubble.
func simulate(s scenario, seed uint64) result {
	e := newEnvironment(s, seed)
	stop := make(chan struct{})
	var background, requests sync.WaitGroup
	background.Go(func() { e.publishLoadReports(stop) })
	var acquirers []permit.Acquirer
	for range s.hosts {
		if s.acquirer != nil {
			acquirers = append(acquirers, s.acquirer(e))
		}
	}
	if s.acquirer == nil {
		acquirers = e.startManagers()
	}
	if s.injectEvent != nil {
		background.Go(func() {
			time.Sleep(s.duration / 2)
			s.injectEvent(e)
		})
	}
	end := time.Now().Add(s.duration)
	for id := 0; time.Now().Before(end); id++ {
		j := s.job(e.rng)
		acquirer := acquirers[e.rng.IntN(len(acquirers))]
		requests.Go(func() { e.sendRequest(acquirer, fmt.Sprint(id), j) })
		time.Sleep(time.Duration(e.rng.ExpFloat64() / s.rate * float64(time.Second)))
	}
	requests.Wait()
	close(stop)
	background.Wait()
	e.cluster.Close()
	time.Sleep(10 * time.Second)
	for _, b := range e.targets {
		e.result.overCapacity += b.overCapacity
	}
	return e.result
}

func newEnvironment(s scenario, seed uint64) *environment {
	objects := permittest.Objects(s.service)
	if s.policy != nil {
		objects = append(objects, &configv1.Object{Kind: &configv1.Object_Policy{Policy: s.policy}})
	}
	e := &environment{
		scenario: s, targets: map[string]*simTarget{}, rng: rand.New(rand.NewPCG(seed, 0)),
		cluster: permittest.NewCluster(permittest.NewNetwork(s.delay), permittest.Store(objects...), s.service.Domain),
		result:  result{permit: newHistogram(), total: map[string]*hdrhistogram.Histogram{}},
	}
	e.cluster.Configure = s.configure
	for i := range s.service.Targets {
		b := newSimTarget(fmt.Sprintf("%s-%d", s.service.Name, i), s.service.Slots)
		if s.slowdown != nil {
			b.slowdown = s.slowdown(i, time.Now(), rand.New(rand.NewPCG(seed, uint64(i+1))))
		}
		e.targets[b.name] = b
	}
	return e
}

// newRand returns a random number generator for one baseline. With a shared generator, results would depend on the order of
// concurrent draws.
func (e *environment) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(e.rng.Uint64(), e.rng.Uint64()))
}

// dispatcher returns the host that runs the dispatcher of the service, or nil if there is none.
func (e *environment) dispatcher() *permittest.Host {
	for _, h := range e.cluster.Hosts() {
		if len(h.Headroom()) > 0 {
			return h
		}
	}
	return nil
}

// nextOwner returns the name of a new host that rendezvous hashing makes the owner of the dispatcher once the host joins.
func (e *environment) nextOwner() string {
	names := []string{}
	for _, h := range e.cluster.Hosts() {
		names = append(names, h.Member.Host)
	}
	for i := 0; ; i++ {
		name := fmt.Sprintf("new%d", i)
		if rendezvous.Owner(e.scenario.service.Name, append(names, name)) == name {
			return name
		}
	}
}

func (e *environment) startManagers() []permit.Acquirer {
	for i := range e.scenario.hosts {
		e.cluster.Add(fmt.Sprintf("h%d", i))
	}
	e.cluster.StartAll()
	time.Sleep(time.Second)
	var list []permit.Acquirer
	for _, h := range e.cluster.Hosts() {
		list = append(list, h)
	}
	return list
}

// publishLoadReports updates the load reports of all targets every reportInterval until stop is closed.
func (e *environment) publishLoadReports(stop <-chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		for _, b := range e.targets {
			b.publishLoad()
		}
	}
}

// sendRequest acquires a permit, sends one request, hedged if the grant allows it, and records the result.
func (e *environment) sendRequest(a permit.Acquirer, id string, j job) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), start.Add(e.scenario.timeout))
	defer cancel()
	req := permit.Request{
		ID: id, Service: e.scenario.service.Name, Route: j.route, Class: j.class, Deadline: start.Add(e.scenario.timeout),
	}
	e.updateResult(func(r *result) { r.offered++ })
	grant, err := a.Acquire(ctx, req)
	if err != nil {
		e.updateResult(func(r *result) { r.refused++ })
		return
	}
	e.updateResult(func(r *result) {
		_ = r.permit.RecordValue(time.Since(start).Microseconds())
		if !r.lastGrant.IsZero() {
			r.longestGap = max(r.longestGap, time.Since(r.lastGrant))
		}
		r.lastGrant = time.Now()
	})
	if !e.sendHedged(ctx, a, req, grant, j) {
		e.updateResult(func(r *result) { r.timedOut++ })
		return
	}
	e.updateResult(func(r *result) {
		r.served++
		if r.total[j.route] == nil {
			r.total[j.route] = newHistogram()
		}
		_ = r.total[j.route].RecordValue(time.Since(start).Microseconds())
	})
}

// sendHedged sends a request and, after the hedge delay, a hedged request to another target. It reports whether either finished
// in time, and cancels the slower one.
func (e *environment) sendHedged(ctx context.Context, a permit.Acquirer, req permit.Request, grant *permit.Grant, j job) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, 2)
	go func() { answers <- e.sendAttempt(ctx, grant, j) }()
	hedgeAfter := time.Duration(math.MaxInt64)
	if j.idempotent && grant.HedgeAfter > 0 {
		hedgeAfter = grant.HedgeAfter
	}
	timer := time.NewTimer(hedgeAfter)
	defer timer.Stop()
	select {
	case done := <-answers:
		return done
	case <-timer.C:
	}
	req.ID += "h"
	req.Hedge = true
	req.ExcludeTargets = []string{grant.Target}
	go func() {
		second, err := a.Acquire(ctx, req)
		if err != nil {
			answers <- false
			return
		}
		e.updateResult(func(r *result) { r.hedges++ })
		answers <- e.sendAttempt(ctx, second, j)
	}()
	if <-answers {
		return true
	}
	return <-answers
}

// sendAttempt sends a request to the target of a grant, releases the grant and reports whether the request finished in time.
func (e *environment) sendAttempt(ctx context.Context, grant *permit.Grant, j job) bool {
	ctx, cancel := context.WithDeadline(ctx, grant.Deadline)
	defer cancel()
	start := time.Now()
	done := e.targets[grant.Target].run(ctx, j.serviceTime)
	outcome := peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK
	if !done {
		outcome = peerv1.ReleaseOutcome_RELEASE_OUTCOME_CANCELLED
	}
	grant.Release(permit.Observation{Outcome: outcome, FirstByte: time.Since(start), Total: time.Since(start)})
	return done
}

func (e *environment) updateResult(f func(r *result)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f(&e.result)
}
