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
// A new dispatcher sends a recover call to each host of the failure domain in its membership view. The response lists the permits
// that the host holds. By responding, the host follows the new dispatcher: the dispatcher's ID acts as a fencing token, and the
// host uses no grant of an earlier dispatcher from then on, not even one that is already in transit. Nothing is granted until the
// first call to each host has succeeded or failed. For a host that did not respond, the dispatcher reserves the slots of the
// permits in the host's last heartbeat until their deadlines pass, and repeats the call until the host responds. A host that does
// not follow a dispatcher gets no grant from it.
//
// Bound on over-allocation: the permits in use at a target exceed its slots by at most the unreserved permits that hosts which do
// not follow the newest dispatcher use there. A permit of such a host is unreserved if the host acquired it after its last
// heartbeat that reached the newest dispatcher's host before the last failed recover call. If no heartbeat of the host reached
// the newest dispatcher's host, all its permits are unreserved. Without faults every host follows the newest dispatcher, and the
// bound is 0.

const (
	// recoverTimeout is the timeout of one recover call. A new dispatcher grants nothing until the first call to each host has
	// ended, so the timeout bounds the time without grants if a host does not respond.
	recoverTimeout = 500 * time.Millisecond
	// recoverRetryInterval is the pause between a failed recover call and the next one to the same host.
	recoverRetryInterval = 200 * time.Millisecond
	// maxReservedPermits limits the slots that are reserved at one target for a host, so that a malformed heartbeat does not exhaust the memory.
	maxReservedPermits = 4096
)

// follower is the recovery state of one host of the dispatcher's failure domain.
type follower struct {
	holder holder
	state  membership.State
	// attempted is set once the first recover call has ended, or if the host is dead and not called; answered is set once a
	// call has succeeded.
	attempted bool
	answered  bool
	// calling is set while a goroutine makes recover calls to the host.
	calling bool
	// reservedAt is when slots were last reserved from the host's last heartbeat.
	reservedAt time.Time
}

// isFollowing reports whether the given incarnation of the host follows the dispatcher.
func (f *follower) isFollowing(from holder) bool { return f != nil && f.holder == from && f.answered }

// recoverHosts starts recover calls to the hosts that have not responded yet: new ones and ones that restarted. It also calls
// hosts whose state has returned to alive, since they may have followed another dispatcher meanwhile.
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

// startRecover starts a goroutine that makes recover calls to a host, unless there is one. A dead host is not called; slots are
// reserved for its permits instead.
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

// recoverUntilAnswered repeats the recover call until it succeeds, the host is gone or the dispatcher has ended.
func (d *dispatcher) recoverUntilAnswered(from holder, member membership.Member) {
	for {
		resp, err := d.manager.callRecover(member, d.service, d.id)
		if err == nil {
			d.send(recoverSucceeded{from, resp})
			return
		}
		gone := membership.IsGone(d.manager.opts.View, member)
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

// recoverSucceeded is the event of a successful recover call.
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
	d.manager.poison.Merge(r.resp.GetSuspects())
	d.adoptRateLimits(r.resp.GetLimits(), now)
	for _, l := range r.resp.GetLeavingTargets() {
		d.closeLeaving(process{l.GetTarget(), l.GetStartedUnixMs()})
	}
	d.activateIfRecovered()
}

// adoptPermit occupies a slot for a permit that an earlier dispatcher granted, unless that permit was released meanwhile.
func (d *dispatcher) adoptPermit(from holder, h *peerv1.HeldPermit, now time.Time) {
	key := permitKey{dispatcherIDOf(h.GetDispatcher()), h.GetId()}
	if key.dispatcher == d.id || d.slots.permits[key] != nil || d.releasedEarly[key] {
		return
	}
	d.slots.occupy(&permit{
		key: key, target: d.slots.target(h.GetTarget()), holder: from, class: h.GetClass(), granted: now, fingerprint: h.GetFingerprint(),
		expires: now.Add(time.Duration(h.GetTimeoutMs())*time.Millisecond + expiryGrace),
	})
}

// recoverFailed is the event of a failed recover call. gone is set if the host is dead or was replaced by a newer incarnation,
// so that no further call is made.
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
		// The host may have become alive again between the call and this event.
		d.recoverHosts()
	}
	d.activateIfRecovered()
}

// reserve occupies slots for the permits in the last heartbeat of a host that did not respond. It replaces an earlier
// reservation for the host.
func (d *dispatcher) reserve(f *follower) {
	f.attempted = true
	now, id := time.Now(), uint64(0)
	f.reservedAt = now
	d.freeReservations(f.holder)
	if d.manager.opts.LastReportedPermits == nil {
		return
	}
	for _, h := range d.manager.opts.LastReportedPermits(f.holder.host) {
		if h.GetService() != d.service {
			continue
		}
		expires := now.Add(time.Duration(h.GetLatestDeadlineMs())*time.Millisecond + expiryGrace)
		for range min(h.GetCount(), maxReservedPermits) {
			id++
			d.slots.occupy(&permit{
				key: permitKey{reservationID(f.holder), id}, target: d.slots.target(h.GetTarget()), holder: f.holder,
				granted: now, expires: expires,
			})
		}
	}
}

// reservationID returns the dispatcher ID of the placeholder permits that reserve slots for a host. Its term is 0, which no
// dispatcher has: their terms start at firstTerm.
func reservationID(h holder) dispatcherID {
	return dispatcherID{host: h.host, incarnation: h.incarnation}
}

// freeReservations frees the slots reserved for a host.
func (d *dispatcher) freeReservations(from holder) {
	for key := range d.slots.permits {
		if key.dispatcher == reservationID(from) {
			d.slots.free(key)
		}
	}
}

// activateIfRecovered enables grants once the first recover call to each host has ended. Once no call is in progress,
// releasedEarly is no longer needed.
func (d *dispatcher) activateIfRecovered() {
	anyCalling := false
	for _, f := range d.followers {
		if !f.attempted {
			return
		}
		anyCalling = anyCalling || f.calling
	}
	d.active = true
	if !anyCalling {
		clear(d.releasedEarly)
	}
}

// supersede marks the dispatcher as superseded by a newer one, which ends its event loop.
func (d *dispatcher) supersede(by dispatcherID) {
	d.superseded = true
	d.manager.state(d.service).recordSeen(by)
}

// supersededBy is the event that this host now follows a dispatcher that may be newer.
type supersededBy struct{ by dispatcherID }

func (s supersededBy) apply(d *dispatcher, _ time.Time) {
	if d.id.olderThan(s.by) {
		d.supersede(s.by)
	}
}

// callRecover makes one recover call to a host; for this host it calls follow directly.
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

// handleRecover serves the RPC permit.recover.
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

// follow makes this host follow a dispatcher and returns the permits that the host holds and what it knows about suspect requests. If
// the host follows a newer dispatcher already, it keeps that one and returns its ID.
func (m *Manager) follow(service string, by dispatcherID) *peerv1.RecoverResponse {
	now := time.Now()
	s := m.state(service)
	s.mu.Lock()
	defer s.mu.Unlock()
	if by.olderThan(s.fence) {
		return &peerv1.RecoverResponse{Newer: s.fence.proto()}
	}
	s.fence = by
	resp := &peerv1.RecoverResponse{Suspects: m.poison.Records(), Limits: s.encodeRateLimits(now), LeavingTargets: m.notices.encodeLeaving()}
	for _, h := range s.inUse(now) {
		resp.Held = append(resp.Held, &peerv1.HeldPermit{
			Id: h.key.id, Dispatcher: h.key.dispatcher.proto(), Target: h.target, Class: h.class,
			TimeoutMs: ceilMilliseconds(h.deadline.Sub(now)), Fingerprint: h.fingerprint,
		})
	}
	return resp
}
