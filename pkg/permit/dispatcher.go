package permit

import (
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// maxQueue bounds the memory of a queue; admission control refuses long before in normal operation.
	maxQueue = 8192
	// eventBuffer lets callers hand over bursts without waiting for the dispatcher.
	eventBuffer = 256
	// holdWeight is the weight of a new observation in the mean time that a slot is occupied.
	holdWeight = 1.0 / 32
	// minRetryAfter is the shortest hint in a refusal.
	minRetryAfter = 10 * time.Millisecond
	// noTargetRetryAfter is the hint while no target takes requests.
	noTargetRetryAfter = time.Second
	// expiryGrace is how long after its deadline a slot returns without a release: a holder that ends its request exactly at
	// the deadline releases it first.
	expiryGrace = 5 * time.Millisecond
	// maxSleep is how long the dispatcher sleeps at most, so that it notices a pause of its process.
	maxSleep = 100 * time.Millisecond
	// pauseLimit is the longest time between two steps after which no successor can have started: the others declare a host
	// dead after 2 s of silence.
	pauseLimit = time.Second
)

// dispatcher grants the permits of one service in one failure domain. One goroutine runs it and owns all fields below
// events.
type dispatcher struct {
	manager *Manager
	id      dispatcherID
	// service is the key of the dispatcher: the service, or one of its shards.
	service string

	stop   chan struct{}
	done   chan struct{}
	events chan event

	snap *config.Snapshot
	// rampEnd is when the ramp of a drain ends next, or zero.
	rampEnd time.Time
	// hedgeRatio is the number of hedged requests that one other request pays for.
	hedgeRatio      float64
	lastViewChanged <-chan struct{}
	slots           *slotTable
	queues          [queueCount]queue
	// objectiveWaiters holds the waiters with an objective, by urgency and arrival.
	objectiveWaiters []*waiter
	urgency          recentRefusals
	// serviceTimes is keyed by route.
	serviceTimes map[string]*serviceTime
	cacheModel   cacheModel
	balance      balancer
	classifier   classifier
	latency      latency
	retryBudget  tokenBucket
	poison       poisonTracker
	// slowSince is when the service as a whole became slow, or zero.
	slowSince    time.Time
	hedgeBudget  tokenBucket
	lastPermitID uint64
	lastSequence uint64
	// meanHoldTime is the mean time that a slot is occupied, by class.
	meanHoldTime [classLong + 1]time.Duration
	// followers is keyed by host.
	followers map[string]*follower
	// releasedEarly holds permits that came back before the answer of their holder to a recover call.
	releasedEarly map[permitKey]bool
	// active is set once the first recover call to each host has ended; nothing is granted before.
	active bool
	// superseded is set once a newer dispatcher of the service is known, or may exist; nothing is granted afterwards.
	superseded bool
	metrics    dispatcherMetrics
	// lastStep is when the goroutine last ran.
	lastStep time.Time
}

// event is something that the dispatcher's goroutine handles.
type event interface {
	apply(d *dispatcher, now time.Time)
}

func newDispatcher(m *Manager, service string, id dispatcherID) *dispatcher {
	return &dispatcher{
		manager: m, id: id, service: service,
		stop: make(chan struct{}), done: make(chan struct{}), events: make(chan event, eventBuffer),
		slots: newSlotTable(), latency: newLatency(), hedgeBudget: tokenBucket{burst: hedgeBurst},
		retryBudget: newRetryBudget(id, m.opts.RetryBurst), poison: newPoisonTracker(), classifier: classifier{routes: map[string]*routeStats{}},
		followers: map[string]*follower{}, releasedEarly: map[permitKey]bool{},
		urgency: recentRefusals{refusedAt: map[uint32]time.Time{}}, serviceTimes: map[string]*serviceTime{}, cacheModel: newCacheModel(),
		metrics: newDispatcherMetrics(m.scope, service),
		balance: balancer{ownDomain: m.opts.FailureDomain, region: m.self.Region},
	}
}

// send hands an event to the dispatcher and reports whether it was taken.
func (d *dispatcher) send(e event) bool {
	select {
	case d.events <- e:
		return true
	case <-d.done:
		return false
	}
}

// run serves until stop is closed or the dispatcher is superseded, and then refuses everything that waits.
func (d *dispatcher) run() {
	defer close(d.done)
	defer d.metrics.reset()
	timer := time.NewTimer(maxSleep)
	defer timer.Stop()
	armed := time.Now().Add(maxSleep)
	d.lastStep = time.Now()
	for {
		configChanged, viewChanged := d.manager.opts.Store.Changed(), d.manager.opts.View.Changed()
		now := time.Now()
		if d.wasPaused(now) {
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

// serve handles events until a timer, a new configuration or a change of membership is due. It returns false at the end of
// the dispatcher.
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

// handle applies an event under the configuration that is in force now.
func (d *dispatcher) handle(e event) {
	now := time.Now()
	d.wasPaused(now)
	d.applyConfig()
	e.apply(d, now)
}

// wasPaused reports whether the process was paused for so long that a successor may have granted slots that count as free
// here. The dispatcher then ends as superseded; if this host is still the owner, the next one recovers all permits first.
func (d *dispatcher) wasPaused(now time.Time) bool {
	if now.Sub(d.lastStep) > pauseLimit {
		d.superseded = true
	}
	d.lastStep = now
	return d.superseded
}

// applyConfig applies the configuration in force if it changed or if the ramp of a drain is over.
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
	d.rampEnd = d.slots.configure(snap, d.service, d.manager.opts.FailureDomain, now)
	if _, total := d.slots.totals(); total == 0 {
		d.refuseAll(peerv1.RefusalReason_REFUSAL_REASON_NO_TARGET, noTargetRetryAfter)
	}
}

// freeReplacedHolders frees the slots of hosts that run a newer incarnation: the requests of the earlier one are gone.
func (d *dispatcher) freeReplacedHolders() {
	for key, p := range d.slots.permits {
		if m, ok := d.manager.opts.View.Lookup(p.holder.host); ok && m.Incarnation > p.holder.incarnation {
			d.slots.free(key)
		}
	}
}

// processDue returns the slots that are due, gives up waiters that are out of time and grants what is free.
func (d *dispatcher) processDue(now time.Time) {
	for d.slots.popExpired(now) != nil {
	}
	d.refuseOverdue(now)
	d.grantWaiting(now)
	d.grantObjectives(now)
	d.updateGauges(now)
}

// nextWake returns when settle must run again at the latest.
func (d *dispatcher) nextWake(now time.Time) time.Time {
	wake := now.Add(maxSleep)
	if len(d.slots.expiries) > 0 && d.slots.expiries[0].expires.Before(wake) {
		wake = d.slots.expiries[0].expires
	}
	for _, w := range d.objectiveWaiters {
		for _, end := range []time.Time{w.waitUntil, w.minWaitUntil} {
			if end.Before(wake) && end.After(now) {
				wake = end
			}
		}
	}
	for i := range d.queues {
		if d.queues[i].len() == 0 {
			continue
		}
		if due := d.latestStart(d.queues[i].waiting()[0]); due.Before(wake) {
			wake = due
		}
	}
	return wake
}
