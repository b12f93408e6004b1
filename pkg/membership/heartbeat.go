package membership

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// sendHeartbeats sends a heartbeat to each ring successor.
func (t *Tracker) sendHeartbeats() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, host := range t.view.Load().successors {
		if r := t.records[host]; r != nil {
			t.probe(r)
		}
	}
}

// probe sends a heartbeat to a host unless an earlier one is still in flight. t.mu must be held.
func (t *Tracker) probe(r *record) {
	if r.sending || t.closed {
		return
	}
	r.sending = true
	to := r.Address()
	t.workers.Go(func() {
		t.sendHeartbeat(to, r)
		t.mu.Lock()
		defer t.mu.Unlock()
		r.sending = false
	})
}

// sendHeartbeat sends one heartbeat and merges the reply. r is nil for a contact that is not in the table.
func (t *Tracker) sendHeartbeat(to peer.Address, r *record) {
	ctx, cancel := context.WithTimeout(t.ctx, callTimeout)
	defer cancel()
	reply := &peerv1.HeartbeatReply{}
	t.metrics.heartbeats.Inc(1)
	if err := t.opts.Caller.Call(ctx, to, methodHeartbeat, t.heartbeat(r), reply); err != nil {
		t.metrics.heartbeatErrors.Inc(1)
		t.recordSendError(r, err)
		return
	}
	t.pausePoint()
	t.onReply(to, reply)
}

// recordSendError declares a watched host dead after deadAfterRefusals refused connections in a row. A refused connection
// means that no process listens there; neither a network cut nor a paused process causes it. Hosts that do not watch r leave
// the decision to its watchers, which have the report of the permits that it held. r is nil for a host that is not in the
// table.
func (t *Tracker) recordSendError(r *record, err error) {
	if r == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !r.watched {
		return
	}
	if !errors.Is(err, syscall.ECONNREFUSED) {
		r.refusedConnections = 0
		return
	}
	r.refusedConnections++
	if r.refusedConnections < deadAfterRefusals || r.State == StateDead || t.records[r.Host] != r {
		return
	}
	t.declareDead(r, time.Now())
	t.queueUpdate(r.Host)
	t.publish()
}

// heartbeat builds the next heartbeat to a host. r is nil for a host that is not in the table.
func (t *Tracker) heartbeat(r *record) *peerv1.Heartbeat {
	held, version := t.opts.HeldPermits(), t.opts.ConfigVersion()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.sequence++
	self := t.selfRecord()
	h := &peerv1.Heartbeat{
		ConfigVersion: version, Held: held, Sequence: t.sequence, Digest: t.view.Load().digest, SenderVersion: self.version,
	}
	if r == nil || r.acknowledgedVersion != self.version {
		h.Sender = self.encode(now)
	}
	if r != nil {
		h.ReceiverVersion = r.version
	}
	if r != nil && r.wantsFullList {
		h.Members = t.fullMemberList(r, now)
		r.wantsFullList = false
	}
	if r != nil && r.State == StateSuspect {
		h.Members = append(h.Members, r.encode(now)) // the receiver refutes it
	}
	return h
}

// fullMemberList returns all members of the local failure domain, or nil if the host got them less than fullListInterval
// ago.
func (t *Tracker) fullMemberList(to *record, now time.Time) []*peerv1.Member {
	if now.Sub(to.fullListSentAt) < fullListInterval {
		return nil
	}
	to.fullListSentAt = now
	t.metrics.fullLists.Inc(1)
	return t.domainMembers(t.opts.Self.FailureDomain, now)
}

// domainMembers returns the records of a failure domain, dead ones included. t.mu must be held.
func (t *Tracker) domainMembers(failureDomain string, now time.Time) []*peerv1.Member {
	var list []*peerv1.Member
	for _, r := range t.records {
		if r.FailureDomain == failureDomain {
			list = append(list, r.encode(now))
		}
	}
	return list
}

// onReply merges the reply to a heartbeat that was sent to an address.
func (t *Tracker) onReply(to peer.Address, reply *peerv1.HeartbeatReply) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sender := reply.GetSender()
	if known := t.records[to.Host]; sender == nil && known != nil {
		sender = known.encode(time.Now())
	}
	t.addContact(to.Addr, sender)
	changed := t.merge(reply.GetMembers())
	if sender.GetFailureDomain() == t.opts.Self.FailureDomain {
		t.domainAnswered = true
		changed = t.observeSender(sender, reply.GetConfigVersion()) || changed
		if r := t.records[sender.GetHost()]; r != nil {
			r.acknowledgedVersion = reply.GetAcknowledgedVersion()
			r.wantsFullList = r.wantsFullList || reply.GetWantMembers()
		}
	}
	if changed {
		t.publish()
	}
}

// observeSender merges a member that sent a message itself, restarts its timeout, and returns whether the table changed. It
// accepts only hosts of the local failure domain. t.mu must be held.
func (t *Tracker) observeSender(sender *peerv1.Member, configVersion uint64) bool {
	changed := t.merge([]*peerv1.Member{sender})
	r := t.records[sender.GetHost()]
	if r == nil || r.Incarnation != sender.GetIncarnation() || sender.GetHost() == t.opts.Self.Host {
		return changed
	}
	r.lastSeenAt = time.Now()
	r.refusedConnections = 0
	r.configVersion = configVersion
	return changed
}

// onHeartbeat answers a heartbeat. It refuses one from an earlier incarnation of the sender and returns the newer record
// instead. A sender in another failure domain gets the members of its own domain.
func (t *Tracker) onHeartbeat(from peer.Identity, h *peerv1.Heartbeat) (proto.Message, error) {
	if sender := h.GetSender(); sender != nil && (sender.GetHost() != from.Host || sender.GetIncarnation() != from.Incarnation) {
		return nil, errors.Newf("heartbeat of %s does not match the host and incarnation of its session with %s", sender.GetHost(), from.Host)
	}
	version := t.opts.ConfigVersion()
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	reply := &peerv1.HeartbeatReply{ConfigVersion: version}
	if self := t.selfRecord(); h.GetReceiverVersion() != self.version {
		reply.Sender = self.encode(now)
	}
	if r := t.records[from.Host]; r != nil && r.Incarnation > from.Incarnation {
		t.metrics.refusedIncarnations.Inc(1)
		reply.Refused = true
		reply.Members = []*peerv1.Member{r.encode(now)}
		return reply, nil
	}
	sender := t.restoreSender(from, h, now)
	if sender == nil {
		return reply, nil // the next heartbeat has the record, because this reply acknowledges none
	}
	h.Sender = sender
	t.addContact(sender.GetPeerAddress(), sender)
	if sender.GetFailureDomain() != t.opts.Self.FailureDomain {
		reply.Members = t.domainMembers(sender.GetFailureDomain(), now)
		return reply, nil
	}
	if t.applyHeartbeat(h, now) {
		t.publish()
	}
	t.addMissingMembers(h, reply, now)
	if r := t.records[from.Host]; r != nil && r.Incarnation == from.Incarnation {
		reply.AcknowledgedVersion = r.version
	}
	return reply, nil
}

// restoreSender returns the sender's record from the heartbeat or, if that leaves it out, from the table. It returns nil if the table has
// no such version of it. t.mu must be held.
func (t *Tracker) restoreSender(from peer.Identity, h *peerv1.Heartbeat, now time.Time) *peerv1.Member {
	if h.GetSender() != nil {
		return h.GetSender()
	}
	r := t.records[from.Host]
	if r == nil || r.Incarnation != from.Incarnation || r.version != h.GetSenderVersion() {
		return nil
	}
	return r.encode(now)
}

// applyHeartbeat merges a heartbeat of the local failure domain and returns whether the table changed. t.mu must be held.
func (t *Tracker) applyHeartbeat(h *peerv1.Heartbeat, now time.Time) bool {
	changed := t.merge(h.GetMembers())
	if t.outOfOrder(h) {
		return changed
	}
	changed = t.observeSender(h.GetSender(), h.GetConfigVersion()) || changed
	if r := t.records[h.GetSender().GetHost()]; r != nil {
		r.sequence = h.GetSequence()
		r.held, r.heldReported = decodeHeld(h.GetHeld(), now), true
	}
	return changed
}

// outOfOrder reports whether a heartbeat with the same or a higher sequence number has already arrived from this
// incarnation.
func (t *Tracker) outOfOrder(h *peerv1.Heartbeat) bool {
	r := t.records[h.GetSender().GetHost()]
	return r != nil && r.Incarnation == h.GetSender().GetIncarnation() && h.GetSequence() <= r.sequence
}

// addMissingMembers compares the digests and, if they differ, adds the full member list to the reply and requests that of
// the sender.
func (t *Tracker) addMissingMembers(h *peerv1.Heartbeat, reply *peerv1.HeartbeatReply, now time.Time) {
	r := t.records[h.GetSender().GetHost()]
	if r == nil {
		return
	}
	if h.GetDigest() != t.view.Load().digest {
		reply.WantMembers = true
		reply.Members = t.fullMemberList(r, now)
	}
	// Lets the sender refute a suspicion of itself.
	if r.State != StateAlive && reply.Members == nil {
		reply.Members = []*peerv1.Member{r.encode(now)}
	}
}
