package daemon

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
)

const (
	soakTargets  = 6 // per failure domain
	soakDuration = 12 * time.Second
	soakCallers  = 8
	// soakHealing is the time after the last fault from which every read must be served at the first try.
	soakHealing = 4 * time.Second
	// maxSoakCrashes limits the targets that end because of the one poison request: three that reveal it and three retries.
	maxSoakCrashes = 6
	soakRateLimit  = 5.0 // requests per second
	// limitSettling is the time that hosts have to apply a limit, limitPeriod the one in which arrivals are counted then.
	limitSettling = time.Second
	limitPeriod   = 2 * time.Second
)

// cutSoak runs random faults against a fleet: hosts cut off from targets, planned restarts, platform outages, a poison request and
// targets with rate limits, several at a time.
type cutSoak struct {
	*fleet
	crashes atomic.Int32

	mu sync.Mutex
	// apps holds the running hosts by name.
	apps map[string]*kernel.App
	// completed, notRun and unknown hold the keys of commands by their outcome.
	completed, notRun, unknown []string
	served, refused            int
	problems                   []string
}

func newCutSoak(t *testing.T) *cutSoak {
	s := &cutSoak{fleet: newFleet(t), apps: map[string]*kernel.App{}}
	s.links = newTargetLinks()
	for _, name := range []string{"h1", "h2", "h3"} {
		s.apps[name] = s.startHost(name, "d1", "r1")
	}
	for _, name := range []string{"h4", "h5"} {
		s.apps[name] = s.startHost(name, "d2", "r2")
	}
	s.waitMembers()
	objects := []*configv1.Object{place("d1", "r1"), place("d2", "r2"), service("tides")}
	for _, domain := range []string{"d1", "d2"} {
		for n := range soakTargets {
			objects = append(objects, s.startTargetWithExit(fmt.Sprintf("%s-t%d", domain, n), "tides", domain, 4, func() { s.crashes.Add(1) }))
		}
	}
	s.commit("h1", objects...)
	s.waitReads()
	return s
}

func (s *cutSoak) problem(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

// host returns a random running host, or nil if none of its name runs now.
func (s *cutSoak) host(rnd *rand.Rand) (string, *kernel.App) {
	name := fmt.Sprintf("h%d", 1+rnd.IntN(5))
	s.mu.Lock()
	defer s.mu.Unlock()
	return name, s.apps[name]
}

// call sends reads and commands until ctx ends, and checks the results.
func (s *cutSoak) call(ctx context.Context, seed uint64) {
	rnd := rand.New(rand.NewPCG(seed, 6))
	for n := 0; ctx.Err() == nil; n++ {
		_, app := s.host(rnd)
		if app == nil {
			continue
		}
		id := fmt.Sprintf("s%d-%d", seed, n)
		if n%4 == 0 {
			s.command(app, id)
			continue
		}
		got := s.requestTo(app, http.MethodGet, "/tides/"+id+"?work=5ms&size=3000", target.HeaderRequestID, id, reply.HeaderTimeout, "3")
		if got.status == http.StatusOK && got.err == nil && got.body != string(target.Body(id, 3000)) {
			s.problem("read %s: wrong body", id)
		}
		s.count(got)
	}
}

func (s *cutSoak) count(got outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.err == nil && got.status == http.StatusOK {
		s.served++
		return
	}
	s.refused++
}

// command sends a command once and keeps its key by the outcome.
func (s *cutSoak) command(app *kernel.App, id string) {
	got := s.requestTo(app, http.MethodPost, "/tides/book?work=5ms", reply.HeaderKey, id, reply.HeaderTimeout, "3")
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case got.err == nil && got.status == http.StatusOK:
		s.completed = append(s.completed, id)
	case got.outcome == reply.NotRun:
		s.notRun = append(s.notRun, id)
	default:
		s.unknown = append(s.unknown, id)
	}
}

// cutLinks cuts random hosts off from all targets, and heals them, until ctx ends.
func (s *cutSoak) cutLinks(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		for range 1 + rnd.IntN(3) {
			name, _ := s.host(rnd)
			s.links.cut(name, cutMode(1+rnd.IntN(int(cutNew))))
		}
		pause(rnd, 300*time.Millisecond, 2500*time.Millisecond)
		s.links.heal()
		pause(rnd, 0, time.Second)
	}
}

// restart stops and starts random hosts until ctx ends, one at a time. The first host stays, because it commits changes.
func (s *cutSoak) restart(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		name, app := s.host(rnd)
		if name == "h1" {
			continue
		}
		s.mu.Lock()
		delete(s.apps, name)
		s.mu.Unlock()
		if err := s.stopHost(name); err != nil {
			s.problem("stop of host %s: %v", name, err)
		}
		fresh := s.startHost(name, app.Settings.FailureDomain, app.Settings.Region)
		s.waitFor("host "+name, func() bool { return s.requestTo(fresh, http.MethodGet, "/tides/x").status == http.StatusOK })
		s.mu.Lock()
		s.apps[name] = fresh
		s.mu.Unlock()
		pause(rnd, time.Second, 2*time.Second)
	}
}

// poison sends the poison request again and again, through one random host at a time.
func (s *cutSoak) poison(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		if _, app := s.host(rnd); app != nil {
			s.requestTo(app, http.MethodGet, poisonPath, reply.HeaderTimeout, "3")
		}
		pause(rnd, 0, 200*time.Millisecond)
	}
}

// limit makes random targets state a rate limit and counts what arrives there.
func (s *cutSoak) limit(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		name := fmt.Sprintf("d%d-t%d", 1+rnd.IntN(2), rnd.IntN(soakTargets))
		limited := s.targets[name]
		limited.SetFaults(target.Faults{RateLimit: soakRateLimit})
		time.Sleep(limitSettling)
		before := limited.Report().Total
		time.Sleep(limitPeriod)
		got := limited.Report().Total - before
		limited.SetFaults(target.Faults{})
		if allowed := int(soakRateLimit*limitPeriod.Seconds()) + 2; got > allowed {
			s.problem("target %s got %d requests in %s, %d are allowed", name, got, limitPeriod, allowed)
		}
	}
}

// breakPlatform makes the platform unavailable for moments until ctx ends.
func (s *cutSoak) breakPlatform(ctx context.Context, rnd *rand.Rand) {
	for ctx.Err() == nil {
		pause(rnd, time.Second, 3*time.Second)
		s.fault(`{"outage": true}`)
		pause(rnd, 200*time.Millisecond, time.Second)
		s.fault(`{}`)
	}
}

func pause(rnd *rand.Rand, least, most time.Duration) {
	time.Sleep(least + time.Duration(rnd.Int64N(int64(most-least))))
}

// checkCommands compares the outcomes of commands with what targets ran.
func (s *cutSoak) checkCommands() {
	check := func(keys []string, least, most int, outcome string) {
		for _, key := range keys {
			if n := s.executions(key); n < least || n > most {
				s.problem("command %s was %s, and ran %d times", key, outcome, n)
			}
		}
	}
	check(s.completed, 1, 1, "completed")
	check(s.notRun, 0, 0, "refused as not run")
	check(s.unknown, 0, 1, "left unknown")
}

// checkHealed checks that every host serves reads at the first try.
func (s *cutSoak) checkHealed() {
	for name, app := range s.apps {
		for i := range 20 {
			got := s.requestTo(app, http.MethodGet, fmt.Sprintf("/tides/%s/%d", name, i), reply.HeaderTimeout, "3")
			if got.status != http.StatusOK {
				s.problem("read through %s after the faults: %d %s %v %s", name, got.status, got.reason, got.err, got.body)
			}
		}
	}
}

// Guards against wrong answers, commands that run twice, false refusals, targets above their limit and poison requests that go
// unnoticed, while hosts are cut off from targets, restart and lose the platform at the same time.
func TestCutsAmongOtherFaults(t *testing.T) {
	is := is.New(t)
	seed := uint64(soak.Parameter(t, soak.Seed, 3))
	t.Logf("seed %d", seed)
	s := newCutSoak(t)
	ctx, cancel := context.WithTimeout(t.Context(), soakDuration)
	defer cancel()
	var tasks sync.WaitGroup
	for i := range soakCallers {
		tasks.Go(func() { s.call(ctx, seed<<8+uint64(i)) })
	}
	for i, fault := range []func(context.Context, *rand.Rand){s.cutLinks, s.restart, s.poison, s.limit, s.breakPlatform} {
		tasks.Go(func() { fault(ctx, rand.New(rand.NewPCG(seed, 10+uint64(i)))) })
	}
	tasks.Wait()
	s.links.heal()
	time.Sleep(soakHealing)
	s.checkHealed()
	s.checkCommands()
	t.Logf("reads served %d, not served %d; commands completed %d, not run %d, unknown %d; %d targets ended", s.served, s.refused,
		len(s.completed), len(s.notRun), len(s.unknown), s.crashes.Load())
	for _, problem := range s.problems {
		t.Error(problem)
	}
	is.True(s.served > s.refused)
	is.True(s.crashes.Load() <= maxSoakCrashes)
}
