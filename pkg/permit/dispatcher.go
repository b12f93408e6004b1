package permit

import (
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/logging"
	"github.com/rattanhitch/rattanhitch/pkg/permit/balance"
	"github.com/rattanhitch/rattanhitch/pkg/permit/placement"
	"github.com/rattanhitch/rattanhitch/pkg/worktime"
)

const (
	// maxQueue is the largest number of waiting requests. It bounds memory only: in normal operation admission
	// control sheds load at far shorter queues.
	maxQueue = 8192
	// eventBuffer is the capacity of the event channel; it absorbs bursts, so that senders rarely block.
	eventBuffer = 256
	// holdWeight is the weight of a new observation in the exponential moving average of the slot hold time.
	holdWeight = 1.0 / 32
	// minRetryAfter is the shortest retry delay that a refusal suggests. A caller that returns earlier finds the same requests waiting.
	minRetryAfter = 10 * time.Millisecond
	// noTargetRetryAfter is the suggested retry delay while no target accepts requests: it takes about that long until a target that is back,
	// or another one, is known to all hosts.
	noTargetRetryAfter = time.Second
	// expiryGrace is added to a permit's deadline before its slot is reclaimed without a release. It lets the release of a
	// request that ends exactly at the deadline arrive first.
	expiryGrace = 5 * time.Millisecond
	// maxSleep is the longest time that the event loop waits for an event. It is far below pauseLimit, so that a longer gap
	// between two iterations means that the process was paused.
	maxSleep = 100 * time.Millisecond
	// pauseLimit is the longest gap between two iterations of the event loop for which no successor can have taken over:
	// the other hosts declare a host dead after 2 s without a heartbeat.
	pauseLimit = time.Second
)

// dispatcher grants the permits of one service, or of one shard of it, in one failure domain. Its event loop runs in a single
// goroutine, which owns all fields below events.
type dispatcher struct {
	manager *Manager
	id      dispatcherID
	// service is the key of the dispatcher: the name of the service, or of one of its shards (see shardKey).
	service string

	stop   chan struct{}
	done   chan struct{}
	events chan event

	snap *config.Snapshot
	// rampEnd is when the next ramp of a drain ends and applyConfig must run again; zero if no ramp is in progress.
	rampEnd time.Time
	// hedgeRatio is the number of tokens that each non-hedged request adds to hedgeBudget.
	hedgeRatio float64
	// lastViewChanged is the change channel of the membership view that the dispatcher last processed.
	lastViewChanged <-chan struct{}
	slots           *slotTable
	queue           queue
	// model estimates how long requests take at the targets.
	model      *placement.Model
	balance    *balance.Balancer
	classifier classifier
	// work estimates the work of each route. routeTrials schedules the trials of those routes whose requests are refused for lack of time.
	work        *worktime.Estimates
	routeTrials map[string]*trials
	latency     latency
	retryBudget tokenBucket
	// firstAttempts estimates how often the bucket is refilled.
	firstAttempts arrivals
	lossLog       *logging.Limiter
	abandoned     abandonedRuns
	// unreachableSince holds the targets that have not answered since they accepted no connection for the first time.
	unreachableSince map[*target]time.Time
	// slowSince is when the service as a whole became slow; zero if it is not slow.
	slowSince   time.Time
	hedgeBudget tokenBucket
	// lastPermitID is the ID of the last permit granted.
	lastPermitID uint64
	// lastSequence is the arrival number of the last request queued.
	lastSequence uint64
	// meanHoldTime is the moving average of the time for which a permit occupies its slot, by request class.
	meanHoldTime [classLong + 1]time.Duration
	// followers holds the recovery state of each host of the failure domain, by host name.
	followers map[string]*follower
	// releasedEarly holds permits of earlier dispatchers that were released before the recover response of their holder
	// arrived. The response may still list them; adoptPermit then ignores them.
	releasedEarly map[permitKey]bool
	// active is set once the first recover call to each host has ended, successfully or not. Nothing is granted before.
	active bool
	// superseded is set once a newer dispatcher of the service is known or may exist. Nothing is granted afterwards.
	superseded bool
	metrics    dispatcherMetrics
	// flow counts what became of the requests of this failure domain's callers.
	flow        flow
	flowMetrics flowMetrics
	// lastStep is when the event loop last ran.
	lastStep time.Time
}

// event is a message to the event loop of a dispatcher, which calls apply in its goroutine.
type event interface {
	apply(d *dispatcher, now time.Time)
}

func newDispatcher(m *Manager, service string, id dispatcherID) *dispatcher {
	return &dispatcher{
		manager: m, id: id, service: service,
		stop: make(chan struct{}), done: make(chan struct{}), events: make(chan event, eventBuffer),
		slots: newSlotTable(), latency: newLatency(), hedgeBudget: tokenBucket{burst: hedgeBurst},
		retryBudget: newRetryBudget(id, m.opts.RetryBurst),
		lossLog:     logging.NewLimiter(lossLinesPerSecond),
		abandoned:   newAbandonedRuns(),
		classifier:  classifier{routes: map[string]*routeStats{}},
		followers:   map[string]*follower{}, releasedEarly: map[permitKey]bool{},
		unreachableSince: map[*target]time.Time{},
		model:            placement.NewModel(maxRoutes),
		work:             worktime.New(maxRoutes),
		routeTrials:      map[string]*trials{},
		metrics:          newDispatcherMetrics(m.scope, service),
		flow:             flow{share: 1, wanted: 1},
		flowMetrics:      newFlowMetrics(m.scope, service),
		balance: balance.New(balance.Options{
			Domain: m.opts.FailureDomain, Region: m.self.Region, ShiftShare: m.opts.ShiftShare, ShiftWindow: m.opts.ShiftWindow,
		}),
	}
}

// send queues an event for the event loop. It blocks while the queue is full and returns false if the dispatcher has ended.
func (d *dispatcher) send(e event) bool {
	select {
	case d.events <- e:
		return true
	case <-d.done:
		return false
	}
}

// run is the event loop. It ends when stop is closed or the dispatcher is superseded, and then refuses all pending requests.
func (d *dispatcher) run() {
	defer close(d.done)
	defer d.metrics.reset()
	defer d.flowMetrics.update(balance.Plan{})
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	armed := time.Now().Add(maxSleep)
	d.lastStep = time.Now()
	for {
		configChanged, viewChanged := d.manager.opts.Store.Changed(), d.manager.opts.View.Changed()
		now := time.Now()
		if d.checkPause(now) {
			d.refusePending()
			return
		}
		d.applyConfig()
		if viewChanged != d.lastViewChanged {
			d.lastViewChanged = viewChanged
			d.freeReplacedHolders()
			d.recoverHosts()
		}
		d.processDue(now)
		if wake := d.nextWake(now); wake.Before(armed) || !armed.After(now) {
			armed = wake
			timer.Reset(wake.Sub(now))
		}
		if d.superseded || !d.serve(configChanged, viewChanged, timer.C) {
			d.refusePending()
			return
		}
	}
}

// serve waits for one event, a timer, a new configuration or a change of membership, and handles the event if there is one.
// It returns false once stop is closed.
func (d *dispatcher) serve(configChanged, viewChanged <-chan struct{}, timer <-chan time.Time) bool {
	select {
	case <-d.stop:
		return false
	default:
	}
	select {
	case <-d.stop:
		return false
	case <-configChanged:
	case <-viewChanged:
	case <-timer:
	case e := <-d.events:
		d.handle(e)
	}
	return true
}

// handle applies an event. Before that it checks for a pause of the process and applies a new configuration: either
// may have come while serve waited for the event.
func (d *dispatcher) handle(e event) {
	now := time.Now()
	d.checkPause(now)
	d.applyConfig()
	e.apply(d, now)
}

// checkPause marks the dispatcher as superseded if the process was paused for longer than pauseLimit: a successor may then have
// granted slots that are free in this dispatcher's table. If this host still owns the service, it starts a new dispatcher, which
// recovers all permits before it grants any. checkPause returns whether the dispatcher is superseded, for this or another reason.
func (d *dispatcher) checkPause(now time.Time) bool {
	if now.Sub(d.lastStep) > pauseLimit {
		d.superseded = true
	}
	d.lastStep = now
	return d.superseded
}

// applyConfig applies the current configuration if it is a new one or if the ramp of a drain has ended. Waiting requests are
// refused if no target is left.
func (d *dispatcher) applyConfig() {
	snap := d.manager.opts.Store.Current()
	now := time.Now()
	rampOver := !d.rampEnd.IsZero() && !now.Before(d.rampEnd)
	if snap == d.snap && !rampOver {
		return
	}
	d.snap = snap
	d.hedgeRatio = d.hedgePercent() / 100
	d.splitRetryBurst()
	restarted, rampEnd := d.slots.configure(snap, d.service, d.manager.opts.FailureDomain, now)
	d.rampEnd = rampEnd
	for _, t := range restarted {
		d.targetEnded(t, now)
	}
	d.forgetClosed()
	if _, total := d.slots.totals(); total == 0 {
		d.refuseAll(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter)
	}
}

// freeReplacedHolders frees the slots held by earlier incarnations of hosts that have restarted: their connections ended with the process.
func (d *dispatcher) freeReplacedHolders() {
	for key, p := range d.slots.permits {
		if m, ok := d.manager.opts.View.Lookup(p.holder.host); ok && m.Incarnation > p.holder.incarnation {
			d.slots.free(key)
			d.abandon(p, p.granted)
		}
	}
}

// processDue frees the slots of expired permits, finds out which targets have ended, grants the free slots, and refuses the waiting requests
// that can no longer meet their deadline. A request that arrives with little time is granted a free slot before it could be refused.
func (d *dispatcher) processDue(now time.Time) {
	for p := d.slots.popExpired(now); p != nil; p = d.slots.popExpired(now) {
		d.abandon(p, p.granted) // its holder may be lost
	}
	d.confirmEnds(now)
	d.abandoned.sweep(now)
	d.refusePoison(now)
	d.grantWaiting(now)
	d.refuseOverdue(now)
	d.updateGauges(now)
	d.reportFlow(now)
}

// nextWake returns the latest time at which processDue must run again.
func (d *dispatcher) nextWake(now time.Time) time.Time {
	wake := now.Add(maxSleep)
	if len(d.slots.expiries) > 0 && d.slots.expiries[0].expires.Before(wake) {
		wake = d.slots.expiries[0].expires
	}
	for _, w := range d.queue {
		for _, end := range []time.Time{w.waitUntil, w.awaitUntil} {
			if end.Before(wake) && end.After(now) {
				wake = end
			}
		}
	}
	if at := d.slots.nextToken(now); !at.IsZero() && at.Before(wake) && len(d.queue) > 0 {
		wake = at
	}
	return wake
}
