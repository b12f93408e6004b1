package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
)

// Sizes of TestPromisesAreTrueUnderFaults.
const (
	promiseRounds      = 10
	commandsPerRound   = 400
	concurrentCommands = 4
	addressesPerHost   = 3
)

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
		is.NoErr(got.err)
		statuses[got.status]++
		id := fmt.Sprint("c-", n)
		runs := here.runsOf(id) + there.runsOf(id)
		if runs > 1 || runs == 1 && isPromise(got.status) || runs == 0 && got.status == http.StatusOK {
			t.Errorf("command %s was answered with status %d and has run %d times", id, got.status, runs)
		}
	}
	t.Log("answers by status:", statuses)
}
