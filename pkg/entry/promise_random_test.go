package entry

import (
	"context"
	"errors"
	"fmt"
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
	// doubledPercent and repeatedPercent are the shares of the commands that are sent twice at a time, and once more after the first answer.
	doubledPercent  = 10
	repeatedPercent = 10
)

// addressesOf returns the addresses of the targets of a host.
func addressesOf(host string) []string {
	var list []string
	for i := range addressesPerHost {
		list = append(list, fmt.Sprintf("%s-%d", host, i))
	}
	return list
}

// Guards against any order of the faults that targets and callers may have after which a command is refused with a promise although it runs, or
// runs twice: processes that are replaced at their address, requests that are shed, lost answers, statuses of their own, copies of responses, and
// callers that send a request again with its ID while the first one is in progress or has been refused.
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
	rng := soak.NewRand(seed)
	first, second := promisingPair(t)
	here := newFaultyFleet(t, first.net, rng, addressesOf("here")...)
	there := newFaultyFleet(t, second.net, rng, addressesOf("there")...)
	here.redirects = true
	first.handler.opts.Permits, second.handler.opts.Permits = here, there

	ctx, cancel := context.WithCancel(t.Context())
	var restarts, callers sync.WaitGroup
	restarts.Go(func() { here.restartSome(ctx, addressesOf("here")) })
	restarts.Go(func() { there.restartSome(ctx, addressesOf("there")) })
	answers := make([]commandAnswers, commandsPerRound)
	for caller := range concurrentCommands {
		callers.Go(func() {
			for n := caller; n < commandsPerRound; n += concurrentCommands {
				answers[n] = sendCommand(first, rng, fmt.Sprint("c-", n))
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
		for _, status := range got.statuses {
			statuses[status]++
		}
		id := fmt.Sprint("c-", n)
		least, most := soak.AllowedRuns(got.statuses, isPromise)
		if runs := here.runsOf(id) + there.runsOf(id); runs < least || runs > most {
			t.Errorf("command %s was answered with statuses %v and has run %d times", id, got.statuses, runs)
		}
	}
	t.Log("answers by status:", statuses)
}

// commandAnswers holds the statuses of the answers to the sends of a command, which all have its ID.
type commandAnswers struct {
	statuses []int
	err      error
}

// sendCommand sends a command once or, as a proxy may double it or its caller's HTTP client repeat it, twice.
func sendCommand(w *fixture, rng *soak.Rand, id string) commandAnswers {
	send := func() result { return w.do("POST", "/r/c/a", "x", target.HeaderRequestID, id) }
	switch {
	case rng.Percent(doubledPercent):
		var doubled result
		var second sync.WaitGroup
		second.Go(func() { doubled = send() })
		got := send()
		second.Wait()
		return commandAnswers{[]int{got.status, doubled.status}, errors.Join(got.err, doubled.err)}
	case rng.Percent(repeatedPercent):
		got, repeated := send(), send()
		return commandAnswers{[]int{got.status, repeated.status}, errors.Join(got.err, repeated.err)}
	}
	got := send()
	return commandAnswers{[]int{got.status}, got.err}
}
