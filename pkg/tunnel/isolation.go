package tunnel

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
)

const (
	// controlTargets is the number of other targets that are probed when one accepts no connection.
	controlTargets = 3
	// probeTimeout limits the probe of a target. Packets may wait for half a second at an overloaded link.
	probeTimeout = 600 * time.Millisecond
	// checkValid is the time for which the result of a check is used again.
	checkValid = 100 * time.Millisecond
	// unansweredTargets is the number of different targets that must leave requests without an answer, with no answer of another target in
	// between, for a check of the isolation.
	unansweredTargets = 3
	// watchInterval is the time between two probes of an isolated host, and probesToRecover the number of consecutive successful ones
	// that end the isolation. A single success may come from a link that loses most packets.
	watchInterval   = 200 * time.Millisecond
	probesToRecover = 2
)

// isolation detects whether this host reaches no target. One target that accepts no connection may be down. If none of several others
// answers a request either, this host's own links are the likelier cause.
type isolation struct {
	opts    Options
	metrics metrics
	// active is set while this host is isolated.
	active atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mu sync.Mutex
	// checking is closed when the check in progress ends; nil if there is none. lastCheck is when the last one ended.
	checking  chan struct{}
	lastCheck time.Time
	// unanswered holds the addresses of the targets that have not answered since the last answer of any target. anyUnanswered is set while
	// there are some.
	unanswered    map[string]bool
	anyUnanswered atomic.Bool
}

func newIsolation(opts Options, m metrics) *isolation {
	i := &isolation{opts: opts, metrics: m, unanswered: map[string]bool{}}
	i.ctx, i.cancel = context.WithCancel(context.Background())
	return i
}

func (i *isolation) close() {
	i.mu.Lock()
	i.cancel() // no task starts after this
	i.mu.Unlock()
	i.tasks.Wait()
}

// check reports whether this host is isolated, after a target accepted no connection. It probes other targets unless that has just been
// done; concurrent calls share the probes. The end of ctx ends only the wait for the result.
func (i *isolation) check(ctx context.Context, failed string) bool {
	if done := i.startCheck(failed); done != nil {
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	return i.active.Load()
}

// startCheck starts a check unless there is one in progress, and returns the channel that is closed at its end. It returns nil if the
// result of the last check is still valid.
func (i *isolation) startCheck(failed string) <-chan struct{} {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.checking != nil {
		return i.checking
	}
	if i.ctx.Err() != nil || i.active.Load() || time.Since(i.lastCheck) < checkValid {
		return nil
	}
	i.checking = make(chan struct{})
	i.tasks.Go(func() { i.probeOthers(failed) })
	return i.checking
}

// probeOthers probes other targets than the failed one. Without any, nothing can be concluded.
func (i *isolation) probeOthers(failed string) {
	controls := i.controls(failed)
	isolated := len(controls) > 0 && !i.anyAnswers(controls) && i.ctx.Err() == nil
	if isolated {
		i.set(true)
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	close(i.checking)
	i.checking, i.lastCheck = nil, time.Now()
	if isolated && i.ctx.Err() == nil {
		i.tasks.Go(i.watch)
	}
}

// watch probes targets until this host reaches them again.
func (i *isolation) watch() {
	for successes := 0; successes < probesToRecover; {
		if !sleep.For(i.ctx, watchInterval) {
			return
		}
		targets := i.opts.Targets()
		if len(targets) == 0 || i.anyAnswers(targets[rand.IntN(len(targets)):][:1]) {
			successes++
		} else {
			successes = 0
		}
	}
	i.clearUnanswered()
	i.set(false)
}

func (i *isolation) set(isolated bool) {
	i.active.Store(isolated)
	i.metrics.setIsolated(isolated)
	log.Warn().Str("step", "tunnel").Bool("isolated", isolated).Msg("reachability of all targets from this host changed")
	i.opts.SetIsolated(isolated)
}

// controls returns up to controlTargets random targets other than the failed one. One of them is in this host's failure domain, if it
// has any: a partition between failure domains is no isolation.
func (i *isolation) controls(failed string) []Target {
	list := slices.DeleteFunc(slices.Clone(i.opts.Targets()), func(t Target) bool { return t.Address == failed })
	rand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
	if near := slices.IndexFunc(list, func(t Target) bool { return t.Place == i.opts.Place }); near > 0 {
		list[0], list[near] = list[near], list[0]
	}
	return list[:min(controlTargets, len(list))]
}

// anyAnswers reports whether any of the targets answers a request. It returns at the first success.
func (i *isolation) anyAnswers(targets []Target) bool {
	ctx, cancel := context.WithTimeout(i.ctx, probeTimeout)
	results := make(chan bool, len(targets))
	var probes conc.WaitGroup
	defer probes.Wait()
	defer cancel()
	for _, t := range targets {
		probes.Go(func() { results <- i.answers(ctx, t) })
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

// answers reports whether a target accepts a connection and answers a request on it, with any status.
func (i *isolation) answers(ctx context.Context, t Target) bool {
	conn, err := i.opts.Dial(ctx, "tcp", t.Address)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if err := t.probeRequest().Write(conn); err != nil {
		return false
	}
	n, _ := conn.Read(make([]byte, 1))
	return n > 0
}

// probeRequest returns the request with which a target is probed.
func (t Target) probeRequest() *http.Request {
	r := &http.Request{Method: http.MethodOptions, URL: &url.URL{Opaque: "*"}, Host: t.Address, Close: true}
	if t.HealthPath != "" {
		r.Method, r.URL = http.MethodGet, &url.URL{Path: t.HealthPath}
	}
	return r
}

// addUnanswered adds a target that has not answered and returns how many have not since the last answer.
func (i *isolation) addUnanswered(address string) int {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.unanswered[address] = true
	i.anyUnanswered.Store(true)
	return len(i.unanswered)
}

func (i *isolation) clearUnanswered() {
	if !i.anyUnanswered.Load() {
		return
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	clear(i.unanswered)
	i.anyUnanswered.Store(false)
}
