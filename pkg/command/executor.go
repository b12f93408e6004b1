package command

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// retryAfter is suggested where a later send can be answered.
const retryAfter = 2 * time.Second

// Limits bound the records. A zero field takes its default.
type Limits struct {
	MaxRecords int
	// MaxBytes bounds keys, responses and what running commands may still need.
	MaxBytes int
	// MaxResponseBytes is the largest response to a command; a larger one makes the outcome unknown.
	MaxResponseBytes int
}

const (
	defaultMaxRecords       = 64 << 10
	defaultMaxBytes         = 64 << 20
	defaultMaxResponseBytes = 64 << 10
)

// Options are the dependencies of an Executor.
type Options struct {
	Self    peer.Identity
	Table   store.Table
	Caller  peer.Caller
	Members membership.View
	Scope   tally.Scope
	Limits  Limits
}

// Executor executes commands at most once. There are two kinds of key, and the kind decides what works when:
//
//   - A ticket names the host and incarnation that issued it, the only one that may execute the command. It needs no
//     platform: a platform outage of any length does not affect it. In a partition it works for callers that reach the
//     issuer, directly or through a host on the issuer's side; other hosts answer unknown. Once the incarnation is gone
//     the outcome stays unknown.
//   - A caller-supplied key is claimed by a row in the platform's table. During a platform outage, and on the side of a
//     partition without the platform, commands with a new key are refused, however long it lasts; records that the asked
//     host owns are still returned. The refusal states not-run only if the caller declared the first send of the key with
//     reply.HeaderFirstSend: the host cannot know whether an earlier send reached another host. While the owner of a
//     claimed key cannot be reached the answer is unknown. A key is remembered for 24 hours.
//
// A refusal that states not-run holds for every earlier send of the key; the key may be sent again and may then run.
type Executor struct {
	opts    Options
	tickets *ticketIssuer
	records *records
	claims  *claimer
	metrics *metrics
}

// New returns an executor. Its tickets are valid for its lifetime only.
func New(opts Options) *Executor {
	opts.Limits.MaxRecords = cmp.Or(opts.Limits.MaxRecords, defaultMaxRecords)
	opts.Limits.MaxBytes = cmp.Or(opts.Limits.MaxBytes, defaultMaxBytes)
	opts.Limits.MaxResponseBytes = cmp.Or(opts.Limits.MaxResponseBytes, defaultMaxResponseBytes)
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	return &Executor{
		opts: opts, tickets: newTicketIssuer(opts.Self.Host, opts.Self.Incarnation), records: newRecords(opts.Limits),
		claims: newClaimer(opts.Table), metrics: newMetrics(opts.Scope),
	}
}

// Close waits for claims that are being written.
func (e *Executor) Close() { e.claims.tasks.Wait() }

// Ticket issues a ticket that only this incarnation accepts.
func (e *Executor) Ticket() string { return e.tickets.issue() }

// Execute answers one send of a command by ctx's deadline.
func (e *Executor) Execute(ctx context.Context, cmd Command, sender Sender) Result {
	var result Result
	if isTicket(cmd.Key) {
		result = e.executeTicket(ctx, cmd, sender)
	} else {
		result = e.executeClaimed(ctx, cmd, sender)
	}
	e.metrics.count(result)
	return result
}

// executeTicket executes a command whose key is a ticket, at its issuer.
func (e *Executor) executeTicket(ctx context.Context, cmd Command, sender Sender) Result {
	t, err := parseTicket(cmd.Key)
	if err != nil {
		// No host executes such a key.
		return refuse(http.StatusBadRequest, reply.NotRun, reply.ReasonTicketInvalid, 0)
	}
	if t.host != e.opts.Self.Host {
		return e.relayToIssuer(ctx, cmd, t, sender)
	}
	if t.incarnation != e.opts.Self.Incarnation {
		return refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonOwnerGone, 0)
	}
	if !e.tickets.verify(t) {
		// This incarnation executes no ticket that it did not issue, and no other one accepts it.
		return refuse(http.StatusBadRequest, reply.NotRun, reply.ReasonTicketInvalid, 0)
	}
	key := recordKey{key: cmd.Key}
	r, x, act := e.records.begin(key, cmd, e.tickets.allowsFirstUse(t))
	switch act {
	case actionRun:
		return e.runAndRecord(r, func() (Result, state) { return e.sendToTargets(ctx, r, sender) })
	case actionRefuseStale:
		// It may have been executed and its record dropped since.
		return refuse(http.StatusGone, reply.Unknown, reply.ReasonTicketExpired, 0)
	case actionRefuseFull:
		return refuse(http.StatusServiceUnavailable, reply.NotRun, reply.ReasonRecordsFull, retryAfter)
	}
	return awaitResult(ctx, r, x, act)
}

// executeClaimed executes a command with a caller-supplied key, at the host that claims it first.
func (e *Executor) executeClaimed(ctx context.Context, cmd Command, sender Sender) Result {
	key := recordKey{cmd.Service, cmd.Key}
	r, x, act := e.records.begin(key, cmd, true)
	switch act {
	case actionRun:
		return e.runAndRecord(r, func() (Result, state) { return e.claimAndRun(ctx, cmd, r, sender) })
	case actionRefuseFull:
		return e.answerUnrecorded(ctx, cmd, sender)
	}
	return awaitResult(ctx, r, x, act)
}

// awaitResult answers a send that does not run the command itself.
func awaitResult(ctx context.Context, r *record, x *execution, act action) Result {
	switch act {
	case actionRefuseMismatch:
		return refuseKeyReuse()
	case actionReturnRecorded:
		return r.result
	}
	select {
	case <-x.done:
		return x.result
	case <-ctx.Done():
		return refuse(http.StatusGatewayTimeout, reply.Unknown, reply.ReasonDeadline, retryAfter)
	}
}

// runAndRecord runs f for a record that this send has to run.
func (e *Executor) runAndRecord(r *record, f func() (Result, state)) Result {
	result, st := refuse(http.StatusInternalServerError, reply.Unknown, reply.ReasonInternal, 0), stateUnknown
	defer func() { e.records.finish(r, result, st) }()
	result, st = f()
	return result
}

// sendToTargets runs the command of a key that this host owns.
func (e *Executor) sendToTargets(ctx context.Context, r *record, sender Sender) (Result, state) {
	r.sent = true
	result := sender.Run(ctx, e.opts.Limits.MaxResponseBytes)
	return result, stateOf(result)
}

func (e *Executor) claimAndRun(ctx context.Context, cmd Command, r *record, sender Sender) (Result, state) {
	if r.claimed {
		return e.sendToTargets(ctx, r, sender)
	}
	c := &claim{row: rowKey(cmd.Service, cmd.Key), record: &peerv1.CommandRecord{
		ContentHash: cmd.ContentHash, ClaimId: r.claimID, ClaimedUnixMs: time.Now().UnixMilli(),
		OwnerHost: e.opts.Self.Host, OwnerIncarnation: e.opts.Self.Incarnation,
	}}
	if err := e.claims.claim(ctx, c); err != nil {
		// The record stays: if the claim takes effect after all, this host answers for the key.
		return refuseClaimFailed(ctx, cmd, err), stateNotRun
	}
	if !c.won() {
		return e.queryOwner(ctx, cmd, c.stored, sender), stateNotOwned
	}
	r.claimed = true
	return e.sendToTargets(ctx, r, sender)
}

func refuseClaimFailed(ctx context.Context, cmd Command, err error) Result {
	result := refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonPlatformUnavailable, retryAfter)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.Refusal.Status, result.Refusal.Reason = http.StatusGatewayTimeout, reply.ReasonDeadline
	}
	result.Refusal.Detail = err.Error()
	return result
}

// answerUnrecorded answers a command that cannot be recorded. Without a row, no host has executed the key so far.
func (e *Executor) answerUnrecorded(ctx context.Context, cmd Command, sender Sender) Result {
	stored, err := readClaim(e.opts.Table, rowKey(cmd.Service, cmd.Key))
	switch {
	case errors.Is(err, store.ErrNotFound):
		return refuse(http.StatusServiceUnavailable, reply.NotRun, reply.ReasonRecordsFull, retryAfter)
	case err != nil:
		return refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonRecordsFull, retryAfter)
	}
	return e.queryOwner(ctx, cmd, stored, sender)
}

// refuseUnsent refuses a send that provably reached no target, at a host that cannot learn what became of earlier sends.
func refuseUnsent(cmd Command, status int, reason reply.Reason, retryAfter time.Duration) Result {
	outcome := reply.Unknown
	if cmd.FirstSend {
		outcome = reply.NotRun
	}
	return refuse(status, outcome, reason, retryAfter)
}

// refuseKeyReuse refuses a key that was used with other content. The key may have run, so that not-run would mislead.
func refuseKeyReuse() Result {
	return refuse(http.StatusConflict, reply.Unknown, reply.ReasonKeyReused, 0)
}

// refuse returns a result that is a refusal.
func refuse(status int, outcome reply.Outcome, reason reply.Reason, retryAfter time.Duration) Result {
	return Result{Refusal: &reply.Refusal{Status: status, Outcome: outcome, Reason: reason, RetryAfter: retryAfter}}
}
