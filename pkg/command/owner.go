package command

import (
	"context"
	"net/http"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// relayToIssuer passes a command on to the issuer of its ticket. Nothing but the issuer's own statement tells whether an
// earlier send of the ticket ran, so the outcome is unknown if the issuer cannot be asked.
func (e *Executor) relayToIssuer(ctx context.Context, cmd Command, t *ticket, sender Sender) Result {
	owner, reason := e.ownerAddress(t.host, t.incarnation)
	if reason != "" || cmd.Relayed {
		return refuseOwnerUnavailable(cmd, reason)
	}
	result, status := sender.Relay(ctx, owner, e.opts.Limits.MaxResponseBytes)
	return relayResult(cmd, result, status)
}

// relayResult answers with what the owner stated, or says that it could not be asked.
func relayResult(cmd Command, result Result, status RelayStatus) Result {
	switch status {
	case RelayAnswered:
		return result
	case RelayNotSent:
		return refuseOwnerUnavailable(cmd, reply.ReasonOwnerUnreachable)
	}
	return refuse(http.StatusBadGateway, reply.Unknown, reply.ReasonOwnerUnreachable, retryAfter)
}

// refuseOwnerUnavailable refuses a send that did not reach the owner of its key.
func refuseOwnerUnavailable(cmd Command, reason reply.Reason) Result {
	if reason == reply.ReasonOwnerGone {
		return refuseUnsent(cmd, http.StatusServiceUnavailable, reason, 0)
	}
	return refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonOwnerUnreachable, retryAfter)
}

// ownerAddress returns the address of an incarnation of a host, or why it cannot be asked.
func (e *Executor) ownerAddress(host string, incarnation uint64) (peer.Address, reply.Reason) {
	m, ok := e.opts.Members.Lookup(host)
	switch {
	case !ok || m.State == membership.StateDead:
		return peer.Address{}, reply.ReasonOwnerUnreachable
	case m.Incarnation > incarnation:
		return peer.Address{}, reply.ReasonOwnerGone
	}
	return m.Address(), ""
}

// queryOwner returns the outcome of a command whose key another record holds. The key is never executed here.
func (e *Executor) queryOwner(ctx context.Context, cmd Command, stored *peerv1.CommandRecord, sender Sender) Result {
	cmd.FirstSend = false // the row shows that the key was sent before
	if stored.GetContentHash() != cmd.ContentHash {
		return refuseKeyReuse()
	}
	if stored.GetOwnerHost() == e.opts.Self.Host {
		return e.refuseLostRecord(stored)
	}
	owner, reason := e.ownerAddress(stored.GetOwnerHost(), stored.GetOwnerIncarnation())
	if reason != "" || cmd.Relayed {
		return refuseOwnerUnavailable(cmd, reason)
	}
	rec := &peerv1.CommandRecord{}
	req := &peerv1.OutcomeRequest{Service: cmd.Service, Key: cmd.Key, ContentHash: cmd.ContentHash}
	if err := e.opts.Caller.Call(ctx, owner, MethodOutcome, req, rec); err != nil {
		return refuseOwnerUnavailable(cmd, reply.ReasonOwnerUnreachable)
	}
	if rec.GetOwnerHost() != stored.GetOwnerHost() || rec.GetOwnerIncarnation() != stored.GetOwnerIncarnation() {
		return refuseOwnerUnavailable(cmd, reply.ReasonOwnerGone)
	}
	if rec.GetState() == peerv1.CommandState_COMMAND_STATE_NOT_RUN {
		result, status := sender.Relay(ctx, owner, e.opts.Limits.MaxResponseBytes)
		return relayResult(cmd, result, status)
	}
	return fromRecord(rec)
}

// refuseLostRecord answers for a key that this host claimed but has no record of: an earlier incarnation claimed it, or the
// record has expired.
func (e *Executor) refuseLostRecord(stored *peerv1.CommandRecord) Result {
	if stored.GetOwnerIncarnation() != e.opts.Self.Incarnation {
		return refuse(http.StatusServiceUnavailable, reply.Unknown, reply.ReasonOwnerGone, 0)
	}
	return refuse(http.StatusGone, reply.Unknown, reply.ReasonRecordExpired, 0)
}
