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

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

const (
	lateSoakDuration = 15 * time.Second
	lateSoakCallers  = 40
	lateSoakHost     = "soak.example"
	// lateMaxTimeout is below the time that a stopping host has for a request that came before the signal: no such request may be cut.
	lateMaxTimeout = 5 * time.Second
	// lateLongTimeout is the timeout of requests that a stopping host must not take, lateLongWork the longest work of a request, and
	// lateSignalMargin the time after which a host has handled the signal.
	lateLongTimeout  = 9 * time.Second
	lateLongWork     = 4 * time.Second
	lateSignalMargin = time.Second
	// lateSlack is the time that a request may take beyond its work.
	lateSlack = 1500 * time.Millisecond
)

// lateSoak sends requests of up to lateLongWork on kept connections while hosts stop and start in overlapping series, get other signals, and
// the configuration changes.
type lateSoak struct {
	p *processFleet

	mu sync.Mutex
	// stoppingSince is when a host got SIGTERM, zero while it runs.
	stoppingSince               map[string]time.Time
	complete, refused, deadline int
	// commands holds the IDs of all commands, notRun those of requests that no target may have run.
	commands, notRun []string
	problems         []string
}

// stopHosts stops and starts a host again and again, and sends SIGHUP at random moments, also while it starts and stops.
func (s *lateSoak) stopHosts(ctx context.Context, rnd *rand.Rand, h processHost) {
	for sleep.For(ctx, time.Duration(rnd.IntN(2000))*time.Millisecond) {
		s.setStopping(h.name, time.Now())
		s.p.signal(h.name, syscall.SIGHUP)
		if err := s.p.terminate(h.name, syscall.SIGTERM); err != nil {
			s.problem("graceful stop of host %s: %v", h.name, err)
		}
		s.setStopping(h.name, time.Time{})
		s.p.startHost(h)
		s.p.waitFor("host "+h.name, func() bool { return s.p.allRespond([]string{h.operator() + "/healthz"}) })
		s.p.signal(h.name, syscall.SIGHUP)
		s.p.waitFor("host "+h.name, func() bool { return s.p.allRespond([]string{h.operator() + "/readyz"}) })
	}
}

func (s *lateSoak) setStopping(host string, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stoppingSince[host] = since
}

func (s *lateSoak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// change changes the configuration in quick succession until ctx ends.
func (s *lateSoak) change(ctx context.Context, rnd *rand.Rand) {
	for n := 0; sleep.For(ctx, time.Duration(rnd.IntN(1000))*time.Millisecond); n++ {
		s.p.applyAtRandomHost(rnd, fmt.Sprintf("change-%d", n), []*configv1.Object{service(fmt.Sprintf("other-%d", n%5))})
	}
}

// call sends requests one after the other, to one host for as long as its connection can be used.
func (s *lateSoak) call(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 9))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * lateLongTimeout}
	defer client.CloseIdleConnections()
	h := s.p.randomHost(rnd)
	for n := 0; ctx.Err() == nil; n++ {
		if !s.send(client, h, fmt.Sprintf("l%d-%d", seed, n), rnd) || rnd.IntN(8) == 0 {
			client.CloseIdleConnections()
			h = s.p.randomHost(rnd)
		}
	}
}

// send sends one read or command and checks its result. It returns false if the host cannot be reached.
func (s *lateSoak) send(client *http.Client, h processHost, id string, rnd *rand.Rand) bool {
	kind := []string{"read", "command"}[rnd.IntN(2)]
	work := time.Duration(rnd.Int64N(int64(lateMaxTimeout - lateSlack)))
	timeout := work + lateSlack
	if s.isStopping(h.name) && rnd.IntN(2) == 0 {
		work, timeout = time.Duration(rnd.Int64N(int64(lateLongWork))), lateLongTimeout
	}
	url := fmt.Sprintf("%s/%s/x?work=%dms&size=3000", h.caller(), kind, work.Milliseconds())
	req, err := countedRequest(url, id, timeout)
	if err != nil {
		s.problem("%v", err)
		return false
	}
	req.Host = lateSoakHost
	sent := time.Now()
	got := perform(client, req)
	if kind == "command" {
		s.mu.Lock()
		s.commands = append(s.commands, id)
		s.mu.Unlock()
	}
	return s.check(fmt.Sprintf("%s %s at %s, timeout %v, after %v", kind, url, h.name, timeout, time.Since(sent)), id, time.Since(sent) >= timeout, got)
}

func (s *lateSoak) isStopping(host string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.stoppingSince[host]
	return !since.IsZero() && time.Since(since) > lateSignalMargin
}

// check counts the result of a request, or records a problem. It returns false if the host cannot be reached.
func (s *lateSoak) check(what, id string, deadlinePassed bool, got outcome) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.notConnected():
		s.notRun = append(s.notRun, id)
		return false
	case got.err != nil && got.status == 0: // it crossed the close of the connection, or was cut
		s.notRun = append(s.notRun, id)
	case got.err == nil && got.status == http.StatusOK && got.body == string(target.Body(id, 3000)):
		s.complete++
	case got.err == nil && (got.outcome == reply.NotRun || got.reason == string(reply.ReasonNotReady)):
		s.refused++
		s.notRun = append(s.notRun, id)
	case got.err == nil && got.status == http.StatusGatewayTimeout && deadlinePassed:
		s.deadline++
	default:
		s.problems = append(s.problems, fmt.Sprintf("%s: status %d %s %s, %v", what, got.status, got.reason, got.outcome, got.err))
	}
	return true
}

// checkExecutions checks that no command ran twice, and that no request ran that was refused or ended without an answer.
func (s *lateSoak) checkExecutions() {
	executed := s.p.executions().Keys
	for _, id := range s.commands {
		if n := executed[id]; n > 1 {
			s.problem("command %s ran %d times", id, n)
		}
	}
	for _, id := range s.notRun {
		if n := executed[id]; n > 0 {
			s.problem("request %s ran %d times, but it was refused or cut without an answer", id, n)
		}
	}
}

// lateRules returns a virtual host whose requests below /read may be repeated and those below /command may not.
func lateRules() *configv1.Object {
	rule := func(name string, repeat configv1.Repeat) *configv1.Rule {
		return &configv1.Rule{
			Name: name, PathPrefix: "/" + name + "/", TimeoutMs: uint32(2 * lateLongTimeout.Milliseconds()), Attempts: 2, Repeat: repeat,
			Destinations: []*configv1.Destination{{Service: "tides", Weight: 1}},
		}
	}
	return &configv1.Object{Kind: &configv1.Object_VirtualHost{VirtualHost: &configv1.VirtualHost{Name: lateSoakHost, Rules: []*configv1.Rule{
		rule("read", configv1.Repeat_REPEAT_IDEMPOTENT), rule("command", configv1.Repeat_REPEAT_AT_MOST_ONCE),
	}}}}
}

// Guards against requests that a stopping host takes and cuts at its end, or refuses although they have run, in overlapping series of stops,
// starts, other signals and changes. RATTANHITCH_SOAK_SEED selects the series.
func TestLateRequestsInSeriesOfStops(t *testing.T) {
	is := is.New(t)
	p := newProcessFleet(t)
	p.hostFlags = []string{"--announce-for", "3s", "--drain-timeout", "2500ms"} // as with a grace period of 6 s
	h := processHost{domain: "d1", region: "r1"}
	p.addHosts(h, h, h, h)
	p.apply(place("d1", "r1"), service("tides"), lateRules(), p.startTarget(1, "tides", "d1", 200), p.startTarget(2, "tides", "d1", 200))
	p.waitFor("hosts that know each other", p.allKnowAll)

	s := &lateSoak{p: p, stoppingSince: map[string]time.Time{}}
	seed := uint64(soak.Parameter(t, soak.Seed, 11))
	t.Logf("seed %d", seed)
	ctx, cancel := context.WithTimeout(t.Context(), lateSoakDuration)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range lateSoakCallers {
		tasks.Go(func() { s.call(ctx, seed<<8+uint64(i)) })
	}
	for i, host := range p.hosts {
		tasks.Go(func() { s.stopHosts(ctx, rand.New(rand.NewPCG(seed, 100+uint64(i))), host) })
	}
	tasks.Go(func() { s.change(ctx, rand.New(rand.NewPCG(seed, 8))) })
	tasks.Wait()
	s.checkExecutions()
	t.Logf("%d complete, %d refused as not run, %d at their deadline", s.complete, s.refused, s.deadline)
	for _, problem := range s.problems {
		t.Error(problem)
	}
	is.True(s.complete > 0)
	is.True(s.refused > 0)
}
