// Package permit decides which target of a failure domain serves a request: a dispatcher per service grants permits for
// the targets' slots, and each host acquires and releases them.
package permit

import (
	"context"
	"fmt"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Request describes a request that needs a slot.
type Request struct {
	// ID is unique per attempt and matches the answer to its request.
	ID      string
	Service string
	// Route is the path prefix of the matching route; it may be empty.
	Route string
	// Class may be unspecified, in which case the dispatcher learns it.
	Class    configv1.RequestClass
	Deadline time.Time
	// Fingerprint is a hash of method, path and body, used to recognise poison requests.
	Fingerprint uint64
	Command     bool
	// Forwarded is set for a request from another failure domain.
	Forwarded bool
	// Shifted is set for a request that a move or an overflow brought from another region.
	Shifted bool
	// Hedge is set for the second attempt of a hedged request.
	Hedge bool
	// Attempt counts earlier attempts.
	Attempt int
	// ExcludeTargets lists targets that must not be chosen.
	ExcludeTargets []string
	// ObjectHash is the hash of the object that the request concerns; 0 if it names none.
	ObjectHash uint64
	// Priority is 0 for the most urgent requests.
	Priority uint32
	// Objective is when the answer is late; zero if it never is.
	Objective time.Time
	// QueueTimeout is how long a request with an objective waits for a slot.
	QueueTimeout time.Duration
	// HomeRegions are the regions in which the request may be served; empty means all.
	HomeRegions []string
	// FollowsRedirects is set if the caller sends the request to another failure domain when it is told to.
	FollowsRedirects bool
}

// Grant is a permit that is held.
type Grant struct {
	Target  string
	Address string
	// Instance is the identity that the target checks; empty if it checks none.
	Instance string
	// Deadline is when the slot returns if the permit is not released.
	Deadline time.Time
	// HedgeAfter is the delay after which a hedged request may be sent; 0 means that none may.
	HedgeAfter time.Duration
	Class      configv1.RequestClass
	// Decision is what the dispatcher knew when it granted the permit.
	Decision Decision
	// Release gives the slot back. It may be called more than once; only the first call counts. It does not block on the
	// network.
	Release func(Observation)
}

// Observation is what the holder of a permit saw of the target.
type Observation struct {
	Outcome peerv1.ReleaseOutcome
	// FirstByte and Total are measured from sending the request.
	FirstByte time.Duration
	Total     time.Duration
	// Bytes is the size of the answer.
	Bytes uint64
	// SlowdownPercent is what the target said of its own speed: the time that work takes there as a percentage of the
	// usual; 0 if unknown.
	SlowdownPercent int
}

// Acquirer grants permits.
type Acquirer interface {
	// Acquire waits for a slot until the request's deadline or ctx ends. It returns a *RefusedError if the request is
	// refused; the request was then not sent to any target.
	Acquire(ctx context.Context, req Request) (*Grant, error)
}

// RefusedError says why no permit was granted.
type RefusedError struct {
	Reason peerv1.RefusalReason
	// RetryAfter is when a later try can work; 0 means unknown.
	RetryAfter time.Duration
	// Decision is what the dispatcher knew when it refused.
	Decision Decision
}

// Decision is what a dispatcher knew when it decided on a request, for logs.
type Decision struct {
	// Dispatcher is the host that decided; empty if none did.
	Dispatcher string
	// FreeSlots and TotalSlots count the targets that take requests, Waiting the requests that waited.
	FreeSlots, TotalSlots, Waiting int
	// ExpectedDuration is how long the request was expected to take at the best target; 0 if unknown.
	ExpectedDuration time.Duration
	// Cached is set if that target served the request's object lately.
	Cached bool
}

// Error returns the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("permit refused: %s, retry after %s", e.Reason, e.RetryAfter)
}

// RedirectError says that another failure domain serves the request. It is returned only if the request's Follows is set.
type RedirectError struct{ FailureDomain string }

// Error names the failure domain.
func (e *RedirectError) Error() string {
	return "the request is served in failure domain " + e.FailureDomain
}
