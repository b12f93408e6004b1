package permit

import (
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// cancelWaiter is the event that cancels a local acquire call whose caller has gone. It is sent through the same channel as its
// waiter and thus arrives after it. A permit that was granted meanwhile is freed.
type cancelWaiter struct{ w *waiter }

func (c cancelWaiter) apply(d *dispatcher, _ time.Time) {
	if d.queue.remove(c.w) {
		return
	}
	select {
	case a := <-c.w.result:
		if a.permit != nil {
			d.slots.free(a.permit.key)
		}
	default:
	}
}

// abandonRequest is the event that cancels an acquire call of another host by its request ID. It refuses the request if it is
// waiting, and frees its permits otherwise.
type abandonRequest struct {
	from      holder
	requestID string
}

func (a abandonRequest) apply(d *dispatcher, _ time.Time) {
	for _, w := range d.queue {
		if w.from == a.from && w.req.ID == a.requestID {
			d.queue.remove(w)
			w.result <- answer{refusal: newRefusal(peerv1.RefusalReason_REFUSAL_REASON_DEADLINE, 0)}
			return
		}
	}
	for key, p := range d.slots.permits {
		if p.holder == a.from && p.requestID == a.requestID {
			d.slots.free(key)
		}
	}
}

// release is the event that a permit was released, with the observation of its holder.
type release struct {
	key         permitKey
	target      string
	class       configv1.RequestClass
	route       string
	fingerprint uint64
	observation Observation
}

func (r *release) apply(d *dispatcher, now time.Time) {
	if d.id.olderThan(r.key.dispatcher) {
		d.supersede(r.key.dispatcher)
	}
	p := d.slots.free(r.key)
	if r.observation.Leaving {
		d.closeLeaving(r.process(p))
	}
	d.observeCrash(p, r, now)
	if t := d.slots.targets[r.target]; t != nil {
		d.observeLiveness(t, r.observation, now)
	}
	if r.observation.Abandoned && p != nil {
		d.abandon(p, r.started(p, d.id, now))
	}
	if p == nil && r.key.dispatcher != d.id {
		d.releasedEarly[r.key] = true
	}
	if p == nil || p.key.dispatcher != d.id {
		return
	}
	d.observe(p, r, now)
	d.observeRateLimit(p, r.observation, now)
}

// started returns when the request was sent: when its permit was granted, if this dispatcher did that.
func (r *release) started(p *permit, self dispatcherID, now time.Time) time.Time {
	if p != nil && p.key.dispatcher == self {
		return p.granted
	}
	return now.Add(-r.observation.Total)
}

// process returns the process that gave the answer, as far as the permit tells; p is nil if the dispatcher does not hold it.
func (r *release) process(p *permit) process {
	if p == nil {
		return process{target: r.target}
	}
	return process{r.target, p.process.started}
}

// observe updates the statistics of the target, the route and the service from a released permit. A permit whose request was not
// sent is ignored.
func (d *dispatcher) observe(p *permit, r *release, now time.Time) {
	outcome := r.observation.Outcome
	if outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_NOT_SENT {
		return
	}
	d.observeWork(p, r.observation)
	d.observeResponse(p, r, now)
	mean := &d.meanHoldTime[p.class]
	hold := now.Sub(p.granted)
	if *mean == 0 {
		*mean = hold
	}
	*mean += time.Duration(holdWeight * float64(hold-*mean))
	switch outcome {
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK:
		d.observeServiceTime(p, r.observation, now)
	case peerv1.ReleaseOutcome_RELEASE_OUTCOME_SHED, peerv1.ReleaseOutcome_RELEASE_OUTCOME_ERROR,
		peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST:
		p.target.speed.ObserveFailure(now)
	}
	if outcome == peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK {
		d.classifier.observe(p.route, r.observation.Total, r.observation.Bytes)
	}
}

// headroomQuery is the event that requests the dispatcher's free slots, queue delay and demand.
type headroomQuery struct{ reply chan *peerv1.ServiceHeadroom }

func (q headroomQuery) apply(d *dispatcher, now time.Time) {
	d.balance.Update(now, d.observeLoads)
	free, total := d.slots.totals()
	q.reply <- &peerv1.ServiceHeadroom{
		Service: d.service, FreeSlots: uint32(free), TotalSlots: uint32(total),
		QueueDelayMs: ceilMilliseconds(d.queueDelay(classShort)),
		DemandSlots:  float32(d.balance.Demand(d.meanHoldTime[classShort])), ConfiguredSlots: uint32(d.slots.configured()),
	}
}

// ceilMilliseconds converts to milliseconds, rounding up so that transmission never shortens a deadline. Negative values give 0.
func ceilMilliseconds(t time.Duration) uint32 {
	return uint32(max(0, (t+time.Millisecond-1)/time.Millisecond))
}
