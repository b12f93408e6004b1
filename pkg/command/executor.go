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

// retryAfter is the Retry-After of refusals where a later send of the same key may succeed.
const retryAfter = 2 * time.Second

// Limits bound the memory that the command records of one host take. A zero field selects its default.
type Limits struct {
	MaxRecords int
	// MaxBytes is the limit on the total size of keys and recorded responses. A running command counts with
	// MaxResponseBytes.
	MaxBytes int
	// MaxResponseBytes is the limit on the size of one response. A larger response makes the outcome unknown.
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

// Executor executes commands at most once. There are two kinds of key, which differ in availability:
//
//   - A ticket names the host and incarnation that issued it. Only that incarnation executes the command. Tickets do not
//     depend on the platform and work during a platform outage of any length. During a network partition a ticket works for
//     callers that reach its issuer, directly or relayed by a host on the issuer's side of the partition; other hosts answer
//     with the outcome unknown. Once the issuing incarnation has ended, the outcome stays unknown.
//   - A caller-supplied key is owned by the host that first creates its row, the claim, in the platform's table. While the
//     platform cannot be reached, because of an outage or a partition of any length, commands with a new key are refused;
//     results that the receiving host has recorded itself are still returned. The refusal has the outcome not-run only if
//     the caller declared the first send of the key with reply.HeaderFirstSend, because an earlier send may have reached
//     another host. While the owner of a claimed key cannot be reached, the outcome is unknown. A claim is kept for 24 hours.
//
// The outcome not-run covers all earlier sends of the key too. The caller may send the key again, and it may then be executed.
type Executor struct {
	opts    Options
	tickets *ticketIssuer
	records *records
	claims  *claimer
	metrics *metrics
}

// New returns an executor. The tickets that it issues are valid only while it exists.
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

// Close waits for the transactions in progress.
func (e *Executor) Close() { e.claims.tasks.Wait() }

// Ticket issues a ticket. Only this incarnation of the host executes a command with it.
func (e *Executor) Ticket() string { return e.tickets.issue() }

// Execute returns the answer to one send of a command, at the latest when ctx's deadline has passed. It executes the command
// through sender only if this host owns the key and no earlier send was executed.
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

// executeTicket executes a command whose key is a ticket of this incarnation, and relays one of another host to its issuer.
func (e *Executor) executeTicket(ctx context.Context, cmd Command, sender Sender) Result {
	t, err := parseTicket(cmd.Key)
	if err != nil {
		// A malformed ticket is executed by no host, so not-run is certain.
		return refuse(http.StatusBadRequest, reply.NotRun, reply.ReasonTicketInvalid, 0)
	}
	if t.host != e.opts.Self.Host {
		return e.relayToIssuer(ctx, cmd, t, sender)
	}
	if t.incarnation != e.opts.Self.Incarnation {
		return refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonOwnerGone, 0)
	}
	if !e.tickets.verify(t) {
		// The ticket is forged: it names this incarnation, which did not issue it, and no other incarnation accepts it.
		return refuse(http.StatusBadRequest, reply.NotRun, reply.ReasonTicketInvalid, 0)
	}
	key := recordKey{key: cmd.Key}
	r, x, act := e.records.begin(key, cmd, e.tickets.allowsFirstUse(t))
	switch act {
	case actionRun:
		return e.runAndRecord(r, func() (Result, state) { return e.sendToTargets(ctx, r, sender) })
	case actionRefuseStale:
		// The ticket may have been executed, and its record may have expired.
		return refuse(http.StatusGone, reply.Unknown, reply.ReasonTicketExpired, 0)
	case actionRefuseFull:
		return refuse(http.StatusServiceUnavailable, reply.NotRun, reply.ReasonRecordsFull, retryAfter)
	}
	return awaitResult(ctx, r, x, act)
}

// executeClaimed executes a command with a caller-supplied key if this host claims the key first, and otherwise returns the
// outcome at the key's owner.
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

// awaitResult answers a send that does not execute the command itself: it refuses it, returns the recorded result, or waits
// for the execution x in progress.
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

// runAndRecord runs f and records its result and state in r. If f panics, the recorded outcome is unknown.
func (e *Executor) runAndRecord(r *record, f func() (Result, state)) Result {
	result, st := refuse(http.StatusInternalServerError, reply.Unknown, reply.ReasonInternal, 0), stateUnknown
	defer func() { e.records.finish(r, result, st) }()
	result, st = f()
	return result
}

// sendToTargets sends the command of a key that this host owns to targets.
func (e *Executor) sendToTargets(ctx context.Context, r *record, sender Sender) (Result, state) {
	r.sent = true
	result := sender.Run(ctx, e.opts.Limits.MaxResponseBytes)
	return result, stateOf(result)
}

// claimAndRun claims the key of r, unless r already holds the claim, and runs the command if this host owns the key.
func (e *Executor) claimAndRun(ctx context.Context, cmd Command, r *record, sender Sender) (Result, state) {
	if r.claimed {
		return e.sendToTargets(ctx, r, sender)
	}
	c := &claim{row: rowKey(cmd.Service, cmd.Key), record: &peerv1.CommandRecord{
		ContentHash: cmd.ContentHash, ClaimId: r.claimID, ClaimedUnixMs: time.Now().UnixMilli(),
		OwnerHost: e.opts.Self.Host, OwnerIncarnation: e.opts.Self.Incarnation,
	}}
	if err := e.claims.claim(ctx, c); err != nil {
		// The record is kept, because the claim may still take effect and make this host the owner of the key.
		return refuseClaimFailed(ctx, cmd, err), stateNotRun
	}
	if !c.won() {
		return e.queryOwner(ctx, cmd, c.stored, sender), stateNotOwned
	}
	r.claimed = true
	return e.sendToTargets(ctx, r, sender)
}

// refuseClaimFailed refuses a send whose claim failed with err. Nothing was sent to a target.
func refuseClaimFailed(ctx context.Context, cmd Command, err error) Result {
	result := refuseUnsent(cmd, http.StatusServiceUnavailable, reply.ReasonPlatformUnavailable, retryAfter)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		result.Refusal.Status, result.Refusal.Reason = http.StatusGatewayTimeout, reply.ReasonDeadline
	}
	result.Refusal.Detail = err.Error()
	return result
}

// answerUnrecorded answers a send for which there is no room in the records, from the key's row. If there is no row, no host
// has executed a command with the key.
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

// refuseUnsent refuses a send that was not passed to any target, on a host that cannot find out the outcome of earlier sends.
// The outcome is not-run for a declared first send and unknown otherwise.
func refuseUnsent(cmd Command, status int, reason reply.Reason, retryAfter time.Duration) Result {
	outcome := reply.Unknown
	if cmd.FirstSend {
		outcome = reply.NotRun
	}
	return refuse(status, outcome, reason, retryAfter)
}

// refuseKeyReuse refuses a key that was first used with other content. The outcome is unknown, because the command with the
// first content may have been executed.
func refuseKeyReuse() Result {
	return refuse(http.StatusConflict, reply.Unknown, reply.ReasonKeyReused, 0)
}

// refuse returns a result that is a refusal.
func refuse(status int, outcome reply.Outcome, reason reply.Reason, retryAfter time.Duration) Result {
	return Result{Refusal: &reply.Refusal{Status: status, Outcome: outcome, Reason: reason, RetryAfter: retryAfter}}
}
