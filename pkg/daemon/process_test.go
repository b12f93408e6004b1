package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// callerLoad sends reads and commands through random hosts until its context ends, checks the body of each read and records the
// result of each command.
type callerLoad struct {
	p      *processFleet
	client *http.Client
	mu     sync.Mutex
	// completed holds the keys of commands that got a response with status 200, notRun the keys of commands whose every send was
	// refused with the outcome not-run.
	completed map[string]bool
	notRun    map[string]bool
	reads     int
	wrong     []string
	// failures counts failed reads by the reason in the host's refusal.
	failures map[string]int
}

func (l *callerLoad) run(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("c%d-%d", seed, n)
		if n%4 == 0 {
			l.command(id, rnd)
		} else {
			l.read(id, rnd)
		}
	}
}

func (l *callerLoad) host(rnd *rand.Rand) processHost { return l.p.hosts[rnd.IntN(len(l.p.hosts))] }

func (l *callerLoad) send(method, url, id, key string) outcome {
	req, err := http.NewRequest(method, url, nil)
	if err != nil {
		return outcome{err: err}
	}
	req.Header.Set(target.HeaderRequestID, id)
	req.Header.Set(reply.HeaderTimeout, "2")
	if key != "" {
		req.Header.Set(reply.HeaderKey, key)
	}
	return perform(l.client, req)
}

func (l *callerLoad) read(id string, rnd *rand.Rand) {
	got := l.send(http.MethodGet, l.host(rnd).caller()+"/tides/x?work=5ms&size=3000", id, "")
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case got.err != nil:
		l.failures["no response"]++
	case got.status != http.StatusOK:
		l.failures[got.reason]++
	case got.body != string(target.Body(id, 3000)):
		l.wrong = append(l.wrong, id)
	default:
		l.reads++
	}
}

// command sends a command with the same key up to three times, each time through a random host.
func (l *callerLoad) command(id string, rnd *rand.Rand) {
	key := "own-" + id
	if rnd.IntN(2) == 0 {
		key = l.send(http.MethodPost, l.host(rnd).caller()+entry.TicketPath, id, "").ticket
	}
	if key == "" {
		return
	}
	allNotRun := true
	for range 3 {
		got := l.send(http.MethodPost, l.host(rnd).caller()+"/tides/book?work=5ms", id, key)
		l.mu.Lock()
		if got.err == nil && got.status == http.StatusOK {
			l.completed[key] = true
			allNotRun = false
		}
		if got.outcome != reply.NotRun {
			allNotRun = false
		}
		l.mu.Unlock()
		if rnd.IntN(2) == 0 {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if allNotRun {
		l.notRun[key] = true
	}
}

// Guards against commands that are executed twice, responses that are swapped or truncated without an error, and a service that
// does not recover. Under load, hosts are killed, paused and restarted, and the platform and targets are paused.
func TestProcessesUnderFaults(t *testing.T) {
	is := is.New(t)
	p := newProcessFleet(t)
	d1, d2 := processHost{domain: "d1", region: "r1"}, processHost{domain: "d2", region: "r1"}
	p.addHosts(d1, d1, d1, d2, d2)
	p.apply(place("d1", "r1"), place("d2", "r1"), service("tides"),
		p.startTarget(1, "tides", "d1", 4), p.startTarget(2, "tides", "d1", 4), p.startTarget(3, "tides", "d2", 4))
	p.waitFor("service", func() bool { return p.allRespond(p.callerURLs("/tides/x")) })

	load := &callerLoad{
		p: p, client: &http.Client{Timeout: 10 * time.Second}, completed: map[string]bool{}, notRun: map[string]bool{},
		failures: map[string]int{},
	}
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for i := range 12 {
		callers.Go(func() { load.run(ctx, uint64(i)) })
	}
	rounds, seed := soak.Parameter(t, soak.Rounds, len(faultKinds)), soak.Parameter(t, soak.Seed, 7)
	t.Logf("%d rounds of faults, seed %d", rounds, seed)
	p.injectFaults(rand.New(rand.NewPCG(uint64(seed), 1)), rounds)
	p.waitFor("service after the faults", func() bool { return p.allRespond(p.callerURLs("/tides/x")) })
	cancel()
	callers.Wait()
	p.check(is, load)
}

// fault injects one temporary fault into processes and returns when it is over.
type fault func(p *processFleet, rnd *rand.Rand)

// faultKinds are injected in this order, then in random order. Targets are never killed, because that would lose their
// execution counts, with which the test detects commands that were executed twice.
var faultKinds = []fault{
	killHost, pauseHost, pausePlatform, killHost, pauseHost, pausePlatform, pauseTarget, stopHost, killDomain,
}

// injectFaults injects the given number of faults, one at a time.
func (p *processFleet) injectFaults(rnd *rand.Rand, rounds int) {
	for round := range rounds {
		kind := round
		if kind >= len(faultKinds) {
			kind = rnd.IntN(len(faultKinds))
		}
		faultKinds[kind](p, rnd)
		time.Sleep(time.Second)
	}
}

func (p *processFleet) randomHost(rnd *rand.Rand) processHost { return p.hosts[rnd.IntN(len(p.hosts))] }

// faultDuration returns a random duration of at least 500 ms and less than 500+spread ms.
func faultDuration(rnd *rand.Rand, spread int) time.Duration {
	return time.Duration(500+rnd.IntN(spread)) * time.Millisecond
}

func killHost(p *processFleet, rnd *rand.Rand) {
	h := p.randomHost(rnd)
	p.kill(h.name)
	time.Sleep(faultDuration(rnd, 2500))
	p.startHost(h)
}

func (p *processFleet) pause(name string, length time.Duration) {
	p.signal(name, syscall.SIGSTOP)
	time.Sleep(length)
	p.signal(name, syscall.SIGCONT)
}

func pauseHost(p *processFleet, rnd *rand.Rand) {
	p.pause(p.randomHost(rnd).name, faultDuration(rnd, 3500))
}

func pausePlatform(p *processFleet, rnd *rand.Rand) { p.pause("platform", faultDuration(rnd, 2500)) }

func pauseTarget(p *processFleet, rnd *rand.Rand) {
	p.pause(fmt.Sprintf("t%d", 1+rnd.IntN(len(p.targets))), faultDuration(rnd, 2500))
}

// stopHost stops a host gracefully and starts it again.
func stopHost(p *processFleet, rnd *rand.Rand) {
	h := p.randomHost(rnd)
	if err := p.terminate(h.name, syscall.SIGTERM); err != nil {
		p.t.Errorf("graceful stop of host %s failed: %v", h.name, err)
	}
	p.startHost(h)
}

// killDomain kills all hosts of a failure domain one directly after the other, and restarts them later.
func killDomain(p *processFleet, rnd *rand.Rand) {
	domain := p.randomHost(rnd).domain
	var killed []processHost
	for _, h := range p.hosts {
		if h.domain == domain {
			p.kill(h.name)
			killed = append(killed, h)
		}
	}
	time.Sleep(faultDuration(rnd, 1500))
	for _, h := range killed {
		p.startHost(h)
	}
}

func (p *processFleet) check(is *is.I, load *callerLoad) {
	p.t.Helper()
	report := p.executions()
	p.t.Logf("reads %d, commands answered %d, refused as not-run %d, failed reads %v, executed %d, shed by targets %d",
		load.reads, len(load.completed), len(load.notRun), load.failures, report.Total, report.Shed)
	is.Equal(len(load.wrong), 0) // responses of another caller, or truncated ones
	for key, n := range report.Keys {
		if n > 1 {
			p.t.Errorf("command %s was executed %d times", key, n)
		}
		if load.notRun[key] {
			p.t.Errorf("command %s was executed, although each send was refused with the outcome not-run", key)
		}
	}
	for key := range load.completed {
		is.Equal(report.Keys[key], 1) // a command with a response was executed
	}
	is.True(load.reads > 0)
	is.True(len(load.completed) > 0)
}
