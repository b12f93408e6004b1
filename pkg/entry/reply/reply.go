// Package reply defines the headers between callers, hosts and targets, and the refusals that a host sends in place of a
// target's response.
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
	// HeaderTicket carries a ticket that the caller may use as its Idempotency-Key.
	HeaderTicket = "Rattanhitch-Ticket"
	// HeaderTimeout is the remaining time until the deadline, in seconds; fractions are allowed.
	HeaderTimeout = "Request-Timeout"
	// HeaderRequestID identifies one attempt. A target may repeat it in its response; a host always does.
	HeaderRequestID = "Rattanhitch-Request-Id"
	// HeaderRateLimit is the number of requests per second that a target accepts from all hosts together, in its responses; fractions
	// are allowed.
	HeaderRateLimit = "Rattanhitch-Rate-Limit"
	// HeaderKey is the idempotency key: it identifies a command when the caller sends it again.
	HeaderKey = "Idempotency-Key"
	// HeaderFirstSend is "true" if the caller has never sent the idempotency key before, not even by an automatic retry of its
	// HTTP client. With it a host can state not-run although the owner of the key is unreachable.
	HeaderFirstSend = "Rattanhitch-First-Send"
)

// Outcome states whether a refused request may have been executed.
type Outcome string

// Outcomes. NotRun promises that no target has executed the request; for a request with an idempotency key, that no target has
// executed any request with that key. Unknown promises nothing.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// Reason is why a request was refused.
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
	ReasonHostLeaving         Reason = "host-leaving"
	ReasonOverloaded          Reason = "overloaded"
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
	ReasonNoMemory            Reason = "no-memory"
	ReasonConnections         Reason = "too-many-connections"
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
		ReasonInternal, ReasonHostLeaving, ReasonOverloaded,
		ReasonNoMemory, ReasonConnections,
	}
}

// Refusal is a response that a host sends in place of a target's.
type Refusal struct {
	Status  int
	Outcome Outcome
	Reason  Reason
	// RetryAfter is the time after which a retry can succeed; 0 means unknown.
	RetryAfter time.Duration
	// Ticket, if set, is a ticket that the caller may use as its idempotency key.
	Ticket string
	// Detail is a short explanation for people; it is part of the body.
	Detail string
}

// WriteTo writes the refusal as a response: its fields as headers, and the reason and detail as a text body.
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

// FromResponse reads a refusal from a response. ok is false if the response states no outcome and hence is not a refusal. Any
// outcome except not-run is read as unknown.
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
