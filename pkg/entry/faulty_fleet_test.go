package entry

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Faults of a faultyFleet. Percentages are shares of the requests, or of the responses for copies.
const (
	restartInterval   = 15 * time.Millisecond
	maxWork           = 4 * time.Millisecond
	shedPercent       = 25
	lostAnswerPercent = 10
	ownRefusalPercent = 10
	copyPercent       = 40
	copyNoIDPercent   = 20 // of the copies, those without the ID
	redirectPercent   = 60
)

// ownRefusals are the statuses with which a target may answer although it has run the request.
var ownRefusals = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

// faultyFleet is a set of addresses, at which target processes end and others take over. It grants permits for the processes at random.
type faultyFleet struct {
	rng       *soak.Rand
	redirects bool
	runs      soak.RunCounter

	mu sync.Mutex
	// processes are the present processes, by address, and listed the addresses of the present processes and of those before them, by name.
	processes map[string]*process
	listed    map[string]string
	started   int
}

// process is one lifetime of a target. Its context ends with it.
type process struct {
	name  string
	ended context.Context
	end   context.CancelFunc
}

// newFaultyFleet returns a fleet that serves at the addresses.
func newFaultyFleet(t *testing.T, net *pipeNet, rng *soak.Rand, addresses ...string) *faultyFleet {
	f := &faultyFleet{rng: rng, processes: map[string]*process{}, listed: map[string]string{}}
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
		f.restart(addresses[f.rng.IntN(len(addresses))])
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
		f.respond(c, r, http.StatusMisdirectedRequest, notRunHeader)
		return
	case f.rng.Percent(shedPercent):
		f.respond(c, r, http.StatusServiceUnavailable, notRunHeader)
		return
	}
	f.runs.Add(r.Header.Get(target.HeaderRequestID))
	time.Sleep(time.Duration(f.rng.IntN(int(maxWork))))
	switch {
	case p.ended.Err() != nil || f.rng.Percent(lostAnswerPercent):
		c.ended = true
	case f.rng.Percent(ownRefusalPercent):
		f.respond(c, r, ownRefusals[f.rng.IntN(len(ownRefusals))], "")
	default:
		f.respond(c, r, http.StatusOK, "")
	}
}

// respond writes a response and draws whether a copy of it precedes the next one, with or without the ID.
func (f *faultyFleet) respond(c *targetConn, r *http.Request, status int, header string) {
	text := c.answer(r, status, header)
	if !f.rng.Percent(copyPercent) {
		return
	}
	if f.rng.Percent(copyNoIDPercent) {
		text = strings.Replace(text, target.HeaderRequestID, "X-Nothing", 1)
	}
	c.pending = text
}

// Acquire grants a process that is listed and not excluded, or redirects the request.
func (f *faultyFleet) Acquire(_ context.Context, q permit.Request) (*permit.Grant, error) {
	if f.redirects && q.FollowsRedirects && f.rng.Percent(redirectPercent) {
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

func (f *faultyFleet) runsOf(id string) int { return f.runs.Of(id) }
