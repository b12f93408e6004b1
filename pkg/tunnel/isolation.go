package tunnel

import (
	"context"
	"math/rand/v2"
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
	// watchInterval is the time between two probes of an isolated host, and probesToRecover the number of consecutive successful ones
	// that end the isolation. A single success may come from a link that loses most packets.
	watchInterval   = 200 * time.Millisecond
	probesToRecover = 2
)

// isolation detects whether this host reaches no target. One target that accepts no connection may be down. If none of several others
// accepts one either, this host's own links are the likelier cause.
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
}

func newIsolation(opts Options, m metrics) *isolation {
	i := &isolation{opts: opts, metrics: m}
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
	isolated := len(controls) > 0 && !i.anyAccepts(controls) && i.ctx.Err() == nil
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
		if len(targets) == 0 || i.anyAccepts(targets[rand.IntN(len(targets)):][:1]) {
			successes++
		} else {
			successes = 0
		}
	}
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

// anyAccepts reports whether any of the targets accepts a connection. It returns at the first success.
func (i *isolation) anyAccepts(targets []Target) bool {
	ctx, cancel := context.WithTimeout(i.ctx, probeTimeout)
	results := make(chan bool, len(targets))
	var probes conc.WaitGroup
	defer probes.Wait()
	defer cancel()
	for _, t := range targets {
		probes.Go(func() { results <- i.accepts(ctx, t.Address) })
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

func (i *isolation) accepts(ctx context.Context, address string) bool {
	conn, err := i.opts.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
