package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Sizes of one round of TestPromisesAreTrueUnderFaults.
const (
	promiseRounds       = 10
	commandsPerRound    = 400
	concurrentCommands  = 4
	addressesPerHost    = 3
	restartInterval     = 15 * time.Millisecond
	redirectPercent     = 60
	ownRefusalPercent   = 10
	lostAnswerPercent   = 10
	shedPercent         = 25
	copyPercent         = 40
	copyWithoutIDInTens = 2
)

// seededRand is a random source for several goroutines.
type seededRand struct {
	mu  sync.Mutex
	rng *rand.Rand
}

func (r *seededRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rng.IntN(n)
}

func (r *seededRand) percent(p int) bool { return r.intN(100) < p }

// faultyFleet is a set of addresses, at which target processes end and others take over. It grants permits for the processes at random.
type faultyFleet struct {
	rng       *seededRand
	redirects bool

	mu sync.Mutex
	// processes are the present processes, by address, and listed the addresses of the present processes and of those before them, by name.
	processes map[string]*process
	listed    map[string]string
	started   int
	// runs counts runs by request ID.
	runs map[string]int
}

// process is one lifetime of a target. Its context ends with it.
type process struct {
	name  string
	ended context.Context
	end   context.CancelFunc
}

// newFaultyFleet returns a fleet that serves at the addresses.
func newFaultyFleet(t *testing.T, net *pipeNet, rng *seededRand, addresses ...string) *faultyFleet {
	f := &faultyFleet{rng: rng, processes: map[string]*process{}, listed: map[string]string{}, runs: map[string]int{}}
	for _, address := range addresses {
		f.restart(address)
		net.serve(t, address, newScriptedTarget(func(c *targetConn, r *http.Request) { f.serve(c, r, address) }))
	}
	return f
}

// restart replaces the process at an address. The entry of the one before stays.
func (f *faultyFleet) restart(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.processes[address]
	for name, at := range f.listed {
		if at == address && (before == nil || name != before.name) {
			delete(f.listed, name)
		}
	}
	if before != nil {
		before.end()
	}
	f.started++
	p := &process{name: fmt.Sprintf("%s-%d", address, f.started)}
	p.ended, p.end = context.WithCancel(context.Background())
	f.processes[address], f.listed[p.name] = p, address
}

// restartSome replaces processes until ctx ends.
func (f *faultyFleet) restartSome(ctx context.Context, addresses []string) {
	for ctx.Err() == nil {
		time.Sleep(restartInterval)
		f.restart(addresses[f.rng.intN(len(addresses))])
	}
}

func (f *faultyFleet) processAt(address string) *process {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.processes[address]
}

// serve answers one request as the process at the address, which may shed it, lose the answer, answer with a status of its own, or send a
// copy of the response before the next one.
func (f *faultyFleet) serve(c *targetConn, r *http.Request, address string) {
	p := f.processAt(address)
	if c.process == nil {
		c.process = p
	}
	if c.process != p {
		c.ended = true // the process that accepted the connection is gone
		return
	}
	switch {
	case r.Header.Get(headerExpected) != p.name:
		f.respond(c, r, http.StatusMisdirectedRequest, "")
		return
	case f.rng.percent(shedPercent):
		f.respond(c, r, http.StatusServiceUnavailable, notRunHeader)
		return
	}
	f.mu.Lock()
	f.runs[r.Header.Get(target.HeaderRequestID)]++
	f.mu.Unlock()
	time.Sleep(time.Duration(f.rng.intN(4)) * time.Millisecond)
	switch {
	case p.ended.Err() != nil || f.rng.percent(lostAnswerPercent):
		c.ended = true
	case f.rng.percent(ownRefusalPercent):
		f.respond(c, r, []int{408, 429, 503}[f.rng.intN(3)], "")
	default:
		f.respond(c, r, http.StatusOK, "")
	}
}

// respond writes a response and draws whether a copy of it precedes the next one, with or without the ID.
func (f *faultyFleet) respond(c *targetConn, r *http.Request, status int, header string) {
	text := c.answer(r, status, header)
	if !f.rng.percent(copyPercent) {
		return
	}
	if f.rng.intN(10) < copyWithoutIDInTens {
		text = strings.Replace(text, target.HeaderRequestID, "X-Nothing", 1)
	}
	c.pending = text
}

// Acquire grants a process that is listed and not excluded, or redirects the request.
func (f *faultyFleet) Acquire(_ context.Context, q permit.Request) (*permit.Grant, error) {
	if f.redirects && q.FollowsRedirects && f.rng.percent(redirectPercent) {
		return nil, &permit.RedirectError{FailureDomain: "d2"}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, address := range f.listed { // in random order
		if !contains(q.ExcludeTargets, name) {
			return &permit.Grant{
				Target: name, Address: address, Instance: name, Deadline: q.Deadline, Release: func(permit.Observation) {},
			}, nil
		}
	}
	return nil, &permit.RefusedError{Reason: refusalNoTarget, RetryAfter: time.Second}
}

func (f *faultyFleet) runsOf(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// addressesOf returns the addresses of the targets of a host.
func addressesOf(host string) []string {
	var list []string
	for i := range addressesPerHost {
		list = append(list, fmt.Sprintf("%s-%d", host, i))
	}
	return list
}

// Guards against any order of the faults that targets may have after which a command is refused with a promise although it runs, or runs
// twice: processes that are replaced at their address, requests that are shed, lost answers, statuses of their own, and copies of responses.
// RATTANHITCH_SOAK_SEED is the seed of the first round and RATTANHITCH_SOAK_ROUNDS the number of rounds.
func TestPromisesAreTrueUnderFaults(t *testing.T) {
	first := soak.Parameter(t, soak.Seed, 0)
	for round := range soak.Parameter(t, soak.Rounds, promiseRounds) {
		seed := first + round
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) { checkPromises(t, seed) })
		})
	}
}

// checkPromises sends commands to a host that redirects some of them to another host, and checks the answers against the runs.
func checkPromises(t *testing.T, seed int) {
	is := is.New(t)
	rng := &seededRand{rng: rand.New(rand.NewPCG(uint64(seed), 0))}
	first, second := promisingPair(t)
	here := newFaultyFleet(t, first.net, rng, addressesOf("here")...)
	there := newFaultyFleet(t, second.net, rng, addressesOf("there")...)
	here.redirects = true
	first.handler.opts.Permits, second.handler.opts.Permits = here, there

	ctx, cancel := context.WithCancel(t.Context())
	var restarts, callers sync.WaitGroup
	restarts.Go(func() { here.restartSome(ctx, addressesOf("here")) })
	restarts.Go(func() { there.restartSome(ctx, addressesOf("there")) })
	answers := make([]result, commandsPerRound)
	for caller := range concurrentCommands {
		callers.Go(func() {
			for n := caller; n < commandsPerRound; n += concurrentCommands {
				answers[n] = first.do("POST", "/r/c/a", "x", target.HeaderRequestID, fmt.Sprint("c-", n))
			}
		})
	}
	callers.Wait()
	cancel()
	restarts.Wait()
	synctest.Wait()
	statuses := map[int]int{}
	for n, got := range answers {
		statuses[got.status]++
		id := fmt.Sprint("c-", n)
		runs := here.runsOf(id) + there.runsOf(id)
		is.NoErr(got.err)
		is.True(runs <= 1)
		is.True(!isPromise(got.status) || runs == 0)
		is.True(got.status != http.StatusOK || runs == 1)
	}
	t.Log("answers by status:", statuses)
}
