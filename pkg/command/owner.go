package command

import (
	"context"
	"net/http"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// relayToIssuer relays a command to the issuer of its ticket. Only the issuer has a record of earlier sends of the ticket, so
// the outcome is unknown if the issuer does not answer, except for a declared first send that was not sent to it.
func (e *Executor) relayToIssuer(ctx context.Context, cmd Command, t *ticket, sender Sender) Result {
	owner, reason := e.ownerAddress(t.host, t.incarnation)
	if reason != "" || cmd.Relayed {
		return refuseOwnerUnavailable(cmd, reason)
	}
	result, status := sender.Relay(ctx, owner, e.opts.Limits.MaxResponseBytes)
	return relayResult(cmd, result, status)
}

// relayResult returns the owner's answer to a relayed command, or a refusal if the owner did not answer.
func relayResult(cmd Command, result Result, status RelayStatus) Result {
	switch status {
	case RelayAnswered:
		return result
	case RelayNotSent:
		return refuseOwnerUnavailable(cmd, reply.ReasonOwnerUnreachable)
	}
	return refuse(http.StatusBadGateway, reply.Unknown, reply.ReasonOwnerUnreachable, retryAfter)
}

// refuseOwnerUnavailable refuses a send that was not delivered to the owner of its key. No retry is suggested if the owning
// incarnation has ended.
func refuseOwnerUnavailable(cmd Command, reason reply.Reason) Result {
	if reason == reply.ReasonOwnerGone {
		return refuseUnsent(cmd, http.StatusServiceUnavailable, reason, 0)
	}
	return refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonOwnerUnreachable, retryAfter)
}

// ownerAddress returns the address of an incarnation of a host, or the reason why that incarnation cannot be reached: the host
// is unknown or dead, or has a later incarnation.
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

// queryOwner returns the outcome of a command whose row holds another claim. It never executes the command on this host; it
// relays the command to the owner if the owner has not executed it.
func (e *Executor) queryOwner(ctx context.Context, cmd Command, stored *peerv1.CommandRecord, sender Sender) Result {
	cmd.FirstSend = false // the row proves an earlier send of the key
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

// refuseLostRecord refuses a key that this host claimed but has no record of, because an earlier incarnation claimed it or
// the record has expired.
func (e *Executor) refuseLostRecord(stored *peerv1.CommandRecord) Result {
	if stored.GetOwnerIncarnation() != e.opts.Self.Incarnation {
		return refuse(http.StatusServiceUnavailable, reply.Unknown, reply.ReasonOwnerGone, 0)
	}
	return refuse(http.StatusGone, reply.Unknown, reply.ReasonRecordExpired, 0)
}
