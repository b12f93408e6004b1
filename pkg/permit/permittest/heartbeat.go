package permittest

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// Heartbeat interval and failure detector timeouts of the design.
const (
	HeartbeatInterval = 200 * time.Millisecond
	suspectAfter      = time.Second
	deadAfter         = 2 * time.Second
)

// peerState is what a host has received from another one in heartbeats.
type peerState struct {
	member membership.Member
	held   []*peerv1.HeldPermits
	// sentAt is when the last received heartbeat was sent.
	sentAt time.Time
	// heartbeats holds the send and receive times of all heartbeats of this incarnation.
	heartbeats [][2]time.Time
	receivedAt time.Time
}

// sendHeartbeats sends heartbeats and runs the failure detector until the host is killed.
func (h *Host) sendHeartbeats() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.stop:
			return
		case <-ticker.C:
		}
		h.waitWhilePaused()
		h.detectFailures()
		held := h.HeldPermits()
		for _, other := range h.cluster.Hosts() {
			if other != h {
				go h.send(other, held)
			}
		}
	}
}

func (h *Host) send(to *Host, held []*peerv1.HeldPermits) {
	sent := time.Now()
	if h.cluster.Network.deliver(h.Member.Host, to.Member.Host) {
		to.receiveHeartbeat(h.Member, held, sent)
	}
}

// receiveHeartbeat records a heartbeat unless a later one, or one of a newer incarnation, was received before.
func (h *Host) receiveHeartbeat(from membership.Member, held []*peerv1.HeldPermits, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	known := h.peers[from.Host]
	if known != nil && (known.member.Incarnation > from.Incarnation || known.sentAt.After(sentAt)) {
		return
	}
	changed := known == nil || known.member.Incarnation != from.Incarnation || known.member.State != membership.StateAlive
	next := &peerState{member: from, held: held, sentAt: sentAt, receivedAt: time.Now()}
	if known != nil && known.member.Incarnation == from.Incarnation {
		next.heartbeats = known.heartbeats
	}
	next.heartbeats = append(next.heartbeats, [2]time.Time{sentAt, next.receivedAt})
	h.peers[from.Host] = next
	if changed {
		h.notify()
	}
}

func (h *Host) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// detectFailures marks hosts as suspect or dead by the time since their last heartbeat.
func (h *Host) detectFailures() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, p := range h.peers {
		if name == h.Member.Host {
			continue
		}
		state := membership.StateAlive
		switch silent := time.Since(p.receivedAt); {
		case silent > deadAfter:
			state = membership.StateDead
		case silent > suspectAfter:
			state = membership.StateSuspect
		}
		if state != p.member.State {
			p.member.State = state
			h.notify()
		}
	}
}

// LastReportedPermits returns the permits that a host reported in the last heartbeat received from it, with deadlines relative to now.
func (h *Host) LastReportedPermits(host string) []*peerv1.HeldPermits {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[host]
	if p == nil {
		return nil
	}
	age := uint32(time.Since(p.receivedAt).Milliseconds())
	var list []*peerv1.HeldPermits
	for _, held := range p.held {
		if held.GetLatestDeadlineMs() > age {
			left := proto.CloneOf(held)
			left.LatestDeadlineMs -= age
			list = append(list, left)
		}
	}
	return list
}

// LastHeartbeatBefore returns the send time of the last heartbeat that arrived from this incarnation of a member before the given
// time, or the zero time if none did.
func (h *Host) LastHeartbeatBefore(from membership.Member, before time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.peers[from.Host]
	if p == nil || p.member.Incarnation != from.Incarnation {
		return time.Time{}
	}
	for _, beat := range slices.Backward(p.heartbeats) {
		if beat[1].Before(before) {
			return beat[0]
		}
	}
	return time.Time{}
}
