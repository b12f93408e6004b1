package permit

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Failover.
//
// A new dispatcher asks each host of the failure domain that its view knows for the permits it holds. The answer makes the
// host follow the new dispatcher: it uses no grant of an earlier one from then on, even if that is already on its way. Until
// each host has answered or has failed to answer once, nothing is granted. For a host that did not answer, the dispatcher
// reserves what the host's last heartbeat reported until those deadlines pass, and asks again until it answers. A host that
// does not follow a dispatcher gets no grant from it.
//
// Bound: the permits in use at a target exceed its slots by at most the permits that are in use there by hosts which do not
// follow the newest dispatcher, and of those only the ones acquired after the last heartbeat that the newest dispatcher's
// host received from them before it last failed to reach them. A host that the newest dispatcher's host has never heard of counts as one without a heartbeat.
// Without faults every host follows the newest dispatcher, and the bound is 0.

const (
	// recoverTimeout limits one recover call; grants wait for the first call to each host.
	recoverTimeout = 500 * time.Millisecond
	// recoverRetryInterval is the pause before a host that did not answer is asked again.
	recoverRetryInterval = 200 * time.Millisecond
)

// follower is what a dispatcher knows of a host of its failure domain.
type follower struct {
	holder holder
	state  membership.State
	// attempted is set once the first recover call has ended, answered once one has succeeded.
	attempted bool
	answered  bool
	// calling is set while a goroutine makes recover calls.
	calling bool
	// reservedAt is when the last heartbeat was taken for the host's permits.
	reservedAt time.Time
}

// isFollowing reports whether a host follows the dispatcher.
func (f *follower) isFollowing(from holder) bool { return f != nil && f.holder == from && f.answered }

// recoverHosts asks the hosts that are new, that restarted, or that came back after a silence in which they may have followed
// another dispatcher.
func (d *dispatcher) recoverHosts() {
	for _, member := range d.manager.domainMembers() {
		f := d.followers[member.Host]
		if f == nil || f.holder.incarnation < member.Incarnation {
			f = &follower{holder: holder{member.Host, member.Incarnation}, state: member.State}
			d.followers[member.Host] = f
			d.startRecover(f, member)
			continue
		}
		returned := f.state != membership.StateAlive && member.State == membership.StateAlive
		f.state = member.State
		if returned || !f.answered {
			d.startRecover(f, member)
		}
	}
}

// startRecover starts recover calls to a host unless they are being made. A dead host is not called.
func (d *dispatcher) startRecover(f *follower, member membership.Member) {
	if f.calling {
		return
	}
	if member.State == membership.StateDead {
		if !f.attempted {
			d.reserve(f)
		}
		return
	}
	f.calling = d.manager.spawn(func() { d.recoverUntilAnswered(f.holder, member) })
}

func (d *dispatcher) recoverUntilAnswered(from holder, member membership.Member) {
	for {
		resp, err := d.manager.callRecover(member, d.service, d.id)
		if err == nil {
			d.send(recoverSucceeded{from, resp})
			return
		}
		gone := d.manager.isGone(member)
		if !d.send(recoverFailed{from, gone}) || gone {
			return
		}
		select {
		case <-time.After(recoverRetryInterval):
		case <-d.done:
			return
		}
	}
}

// recoverSucceeded is a host's answer to a recover call.
type recoverSucceeded struct {
	from holder
	resp *peerv1.RecoverResponse
}

func (r recoverSucceeded) apply(d *dispatcher, now time.Time) {
	f := d.followers[r.from.host]
	if f == nil || f.holder != r.from {
		return
	}
	f.calling = false
	if newer := dispatcherIDOf(r.resp.GetNewer()); d.id.olderThan(newer) {
		d.supersede(newer)
		return
	}
	f.attempted, f.answered = true, true
	d.freeReservations(r.from)
	for _, h := range r.resp.GetHeld() {
		d.adoptPermit(r.from, h, now)
	}
	for _, fingerprint := range r.resp.GetPoison() {
		d.poison.refusedUntil.add(fingerprint, now.Add(poisonTTL))
	}
	d.activateIfRecovered()
}

// adoptPermit accounts for a permit that an earlier dispatcher granted.
func (d *dispatcher) adoptPermit(from holder, h *peerv1.HeldPermit, now time.Time) {
	key := permitKey{dispatcherIDOf(h.GetDispatcher()), h.GetId()}
	if key.dispatcher == d.id || d.slots.permits[key] != nil || d.releasedEarly[key] {
		return
	}
	d.slots.occupy(&permit{
		key: key, target: d.slots.target(h.GetTarget()), holder: from, class: h.GetClass(), granted: now,
		expires: now.Add(time.Duration(h.GetTimeoutMs())*time.Millisecond + expiryGrace),
	})
}

// recoverFailed says that a recover call failed. gone is set if the host is dead or replaced and no further call is made.
type recoverFailed struct {
	from holder
	gone bool
}

func (u recoverFailed) apply(d *dispatcher, _ time.Time) {
	f := d.followers[u.from.host]
	if f == nil || f.holder != u.from {
		return
	}
	if !f.answered {
		d.reserve(f)
	}
	f.calling = !u.gone
	if u.gone {
		// The host may have come back between the call and this event.
		d.recoverHosts()
	}
	d.activateIfRecovered()
}

// reserve occupies what a host that did not answer held by its last heartbeat, in place of an earlier reservation for it.
func (d *dispatcher) reserve(f *follower) {
	f.attempted = true
	f.reservedAt = time.Now()
	d.freeReservations(f.holder)
	if d.manager.opts.LastReportedPermits == nil {
		return
	}
	lastHeartbeat, id := d.manager.latestHeartbeatTime(f.holder.host), uint64(0)
	for _, h := range d.manager.opts.LastReportedPermits(f.holder.host) {
		if h.GetService() != d.service {
			continue
		}
		expires := lastHeartbeat.Add(time.Duration(h.GetLatestDeadlineMs())*time.Millisecond + expiryGrace)
		for range h.GetCount() {
			id++
			d.slots.occupy(&permit{
				key: permitKey{reservationID(f.holder), id}, target: d.slots.target(h.GetTarget()), holder: f.holder,
				granted: lastHeartbeat, expires: expires,
			})
		}
	}
}

// reservationID marks the permits that stand for a host's unknown ones. Terms of dispatchers start at 1.
func reservationID(h holder) dispatcherID {
	return dispatcherID{host: h.host, incarnation: h.incarnation}
}

// freeReservations frees the reservations for a host whose permits are now known.
func (d *dispatcher) freeReservations(from holder) {
	for key := range d.slots.permits {
		if key.dispatcher == reservationID(from) {
			d.slots.free(key)
		}
	}
}

// activateIfRecovered lets grants begin once the first call to each host has ended.
func (d *dispatcher) activateIfRecovered() {
	asking := false
	for _, f := range d.followers {
		if !f.attempted {
			return
		}
		asking = asking || f.calling
	}
	d.active = true
	if !asking {
		clear(d.releasedEarly)
	}
}

// supersede ends the dispatcher because a newer one is known.
func (d *dispatcher) supersede(by dispatcherID) {
	d.superseded = true
	d.manager.state(d.service).recordSeen(by)
}

// supersededBy tells the dispatcher of a newer one.
type supersededBy struct{ by dispatcherID }

func (s supersededBy) apply(d *dispatcher, _ time.Time) {
	if d.id.olderThan(s.by) {
		d.supersede(s.by)
	}
}

// callRecover makes one callRecover call.
func (m *Manager) callRecover(member membership.Member, service string, id dispatcherID) (*peerv1.RecoverResponse, error) {
	if member.Host == m.self.Host {
		return m.follow(service, id), nil
	}
	ctx, cancelCall := context.WithTimeout(m.ctx, recoverTimeout)
	defer cancelCall()
	resp := &peerv1.RecoverResponse{}
	err := m.opts.Caller.Call(ctx, member.Address(), methodRecover,
		&peerv1.RecoverRequest{Service: service, Dispatcher: id.proto()}, resp)
	return resp, steperr.Wrap(err, "recover permits", member.Host)
}

// handleRecover answers permit.recover.
func (m *Manager) handleRecover(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	msg := &peerv1.RecoverRequest{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return nil, steperr.Wrap(err, "decode recover request", from.Host)
	}
	by := dispatcherIDOf(msg.GetDispatcher())
	resp := m.follow(msg.GetService(), by)
	if d := m.dispatcher(msg.GetService()); d != nil && resp.GetNewer() == nil {
		d.send(supersededBy{by})
	}
	return resp, nil
}

// follow makes this host follow a dispatcher unless it follows a newer one.
func (m *Manager) follow(service string, by dispatcherID) *peerv1.RecoverResponse {
	now := time.Now()
	s := m.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if by.olderThan(s.fence) {
		return &peerv1.RecoverResponse{Newer: s.fence.proto()}
	}
	s.fence = by
	resp := &peerv1.RecoverResponse{}
	for _, h := range s.inUse(now) {
		resp.Held = append(resp.Held, &peerv1.HeldPermit{
			Id: h.key.id, Dispatcher: h.key.dispatcher.proto(), Target: h.target, Class: h.class,
			TimeoutMs: ceilMilliseconds(h.deadline.Sub(now)),
		})
	}
	for fingerprint := range s.poison {
		if s.poison.remaining(fingerprint, now) > 0 {
			resp.Poison = append(resp.Poison, fingerprint)
		}
	}
	return resp
}
