// Package reply holds the headers and the typed reasons with which a host refuses requests.
package reply

import (
	"math"
	"net/http"
	"strconv"
	"time"
)

// Header names of the protocol between callers, hosts and targets.
const (
	HeaderOutcome    = "Rattanhitch-Outcome"
	HeaderReason     = "Rattanhitch-Reason"
	HeaderRetryAfter = "Retry-After"
	// HeaderTicket carries a ticket that the caller may use as Idempotency-Key.
	HeaderTicket = "Rattanhitch-Ticket"
	// HeaderTimeout is the time left until the deadline, in seconds; it may have a fraction.
	HeaderTimeout = "Request-Timeout"
	// HeaderRequestID identifies one attempt; a target may repeat it, a host always does.
	HeaderRequestID = "Rattanhitch-Request-Id"
	// HeaderKey identifies a command across its resends.
	HeaderKey = "Idempotency-Key"
	// HeaderFirstSend is "true" if the caller has never sent the idempotency key before, not even by an automatic replay
	// of its HTTP client. It lets a host state not-run when it cannot ask the key's owner.
	HeaderFirstSend = "Rattanhitch-First-Send"
)

// Outcome says whether a refused request may have been executed.
type Outcome string

// NotRun is stated only if no target can have executed the request; for a request with an idempotency key, no request
// with that key.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason says why a request was refused.
type Reason string

// Reasons.
const (
	ReasonUnknownService      Reason = "unknown-service"
	ReasonNotReady            Reason = "not-ready"
	ReasonBadTimeout          Reason = "bad-timeout"
	ReasonBadMethod           Reason = "bad-method"
	ReasonBadProtocol         Reason = "bad-protocol"
	ReasonBadBody             Reason = "bad-body"
	ReasonBodyTooLarge        Reason = "body-too-large"
	ReasonHeaderTooLarge      Reason = "header-too-large"
	ReasonNoCapacity          Reason = "no-capacity"
	ReasonNoTarget            Reason = "no-target"
	ReasonDeadline            Reason = "deadline"
	ReasonPoison              Reason = "poison-request"
	ReasonRetryBudget         Reason = "retry-budget"
	ReasonTargetUnreachable   Reason = "target-unreachable"
	ReasonTargetBroken        Reason = "target-broken"
	ReasonTargetShed          Reason = "target-shed"
	ReasonTargetFailed        Reason = "target-failed"
	ReasonTargetStalled       Reason = "target-stalled"
	ReasonHostUnreachable     Reason = "host-unreachable"
	ReasonHostBroken          Reason = "host-broken"
	ReasonCallerGone          Reason = "caller-gone"
	ReasonKeyRequired         Reason = "key-required"
	ReasonKeyInvalid          Reason = "key-invalid"
	ReasonKeyReused           Reason = "key-reused"
	ReasonTicketInvalid       Reason = "ticket-invalid"
	ReasonTicketExpired       Reason = "ticket-expired"
	ReasonOwnerGone           Reason = "owner-gone"
	ReasonOwnerUnreachable    Reason = "owner-unreachable"
	ReasonRecordExpired       Reason = "record-expired"
	ReasonRecordsFull         Reason = "records-full"
	ReasonPlatformUnavailable Reason = "platform-unavailable"
	ReasonAnswerTooLarge      Reason = "answer-too-large"
	ReasonInternal            Reason = "internal"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{
		ReasonUnknownService, ReasonNotReady, ReasonBadTimeout, ReasonBadMethod,
		ReasonBadProtocol, ReasonBadBody, ReasonBodyTooLarge, ReasonHeaderTooLarge,
		ReasonNoCapacity, ReasonNoTarget, ReasonDeadline, ReasonPoison,
		ReasonRetryBudget, ReasonTargetUnreachable, ReasonTargetBroken, ReasonTargetShed,
		ReasonTargetFailed, ReasonTargetStalled, ReasonHostUnreachable, ReasonHostBroken,
		ReasonCallerGone, ReasonKeyRequired, ReasonKeyInvalid, ReasonKeyReused,
		ReasonTicketInvalid, ReasonTicketExpired, ReasonOwnerGone, ReasonOwnerUnreachable,
		ReasonRecordExpired, ReasonRecordsFull, ReasonPlatformUnavailable, ReasonAnswerTooLarge,
		ReasonInternal,
	}
}

// Refusal is an answer that does not come from a target.
type Refusal struct {
	Status  int
	Outcome Outcome
	Reason  Reason
	// RetryAfter is when a later try can work; 0 means unknown.
	RetryAfter time.Duration
	// Ticket, if set, may be used as idempotency key.
	Ticket string
	// Detail is a short text for people.
	Detail string
}

// WriteTo sends the refusal.
func (f *Refusal) WriteTo(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, string(f.Reason))
	if f.RetryAfter > 0 {
		h.Set(HeaderRetryAfter, strconv.Itoa(int(math.Ceil(f.RetryAfter.Seconds()))))
	}
	if f.Ticket != "" {
		h.Set(HeaderTicket, f.Ticket)
	}
	text := string(f.Reason)
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	text += "\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(f.Status)
	w.Write([]byte(text))
}

// FromResponse reads a refusal that another host sent; ok is false if the response is a target's.
func FromResponse(resp *http.Response) (f Refusal, ok bool) {
	outcome := Outcome(resp.Header.Get(HeaderOutcome))
	if outcome == "" {
		return f, false
	}
	if outcome != NotRun {
		outcome = Unknown
	}
	seconds, err := strconv.Atoi(resp.Header.Get(HeaderRetryAfter))
	if err != nil || seconds < 0 {
		seconds = 0
	}
	return Refusal{
		Status: resp.StatusCode, Outcome: outcome, Reason: Reason(resp.Header.Get(HeaderReason)),
		RetryAfter: time.Duration(seconds) * time.Second, Ticket: resp.Header.Get(HeaderTicket),
	}, true
}
