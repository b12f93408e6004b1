// Package permit assigns requests to the targets of a failure domain and limits the concurrency at each target. The dispatcher of
// a service grants permits, each of which occupies one slot of a target; the hosts that proxy requests acquire and release them.
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
	// ID is unique per attempt. It correlates the answer of the dispatcher with the request.
	ID      string
	Service string
	// Route names the requests that take about as long as this one: a rule or the path prefix of a route. It may be empty.
	Route string
	// Class is short or long. If it is unspecified, the dispatcher derives it from the times and sizes of the route's responses.
	Class configv1.RequestClass
	// Deadline is when the caller stops waiting for the response.
	Deadline time.Time
	// Fingerprint is a hash of the request's content, by which poison requests (ones that crash targets) are recognised.
	Fingerprint uint64
	// Command is set for a request that must not be executed twice. It is neither hedged nor sent to a target in quarantine.
	Command bool
	// Forwarded is set for a request that was forwarded from another failure domain.
	Forwarded bool
	// Shifted is set for a request that came from another region by a move or an overflow.
	Shifted bool
	// Hedge is set for the second attempt of a hedged request.
	Hedge bool
	// Attempt is the number of earlier attempts; it is greater than 0 for a retry. Unreached is the number of those that reached no
	// target, because no connection to it could be opened.
	Attempt   int
	Unreached int
	// ExcludeTargets lists the names of targets that must not be chosen.
	ExcludeTargets []string
	// ObjectHash is the hash of the object that the request concerns, used for cache affinity; 0 if the request names none.
	ObjectHash uint64
	// Priority is the priority of the request; 0 is the most urgent.
	Priority uint32
	// QueueTimeout is the longest expected wait for a slot with which the request is queued; 0 means as long as its deadline allows. The
	// actual wait may be WaitErrorFactor times as long.
	QueueTimeout time.Duration
	// HomeRegions are the regions in which the request may be served; empty means all.
	HomeRegions []string
	// FollowsRedirects is set if the caller handles a RedirectError by sending the request to the other failure domain.
	FollowsRedirects bool
}

// Grant is an acquired permit.
type Grant struct {
	// Target is the name of the target that serves the request, Address its network address.
	Target  string
	Address string
	// Instance is the instance ID that the request must carry, which the target verifies; empty if it verifies none.
	Instance string
	// Deadline is when the slot is reclaimed if the permit has not been released.
	Deadline time.Time
	// HedgeAfter is the delay after which a hedged request may be sent; 0 if none may.
	HedgeAfter time.Duration
	// Class is the request class under which the permit was granted.
	Class configv1.RequestClass
	// Decision is the state of the dispatcher when it granted the permit.
	Decision Decision
	// Note records what the target has stated about itself. It may be called before Release, does not block, and may be nil.
	Note func(Notice)
	// Release frees the slot and reports what was observed. Only the first call has an effect. It does not block on the
	// network.
	Release func(Observation)
}

// Observation is what the holder of a permit observed of the target.
type Observation struct {
	Outcome peerv1.ReleaseOutcome
	// FirstByte is the time from sending the request to the first byte of the response, Total the time to its end.
	FirstByte time.Duration
	Total     time.Duration
	// Bytes is the size of the response.
	Bytes uint64
	// TargetAlive is set if the connection was lost but the target has accepted another one since.
	TargetAlive bool
	// SlowdownPercent is the service time that the target reports, as a percentage of its normal one; 0 if unknown.
	SlowdownPercent int
	// Responded is set if the header of the target's response was read. RateLimit is the number of requests per second that the target
	// accepts from all hosts together, as the header states; 0 if it states no limit.
	Responded bool
	RateLimit float64
	// Leaving is set if the target has stated that it is leaving, or another process that it is gone.
	Leaving bool
	// Abandoned is set if the request was sent and its holder has given it up, because its caller has left or its deadline has passed.
	// The target may go on running it.
	Abandoned bool
}

// Acquirer grants permits.
type Acquirer interface {
	// Acquire waits for a slot until the request's deadline or the end of ctx. It returns a *RefusedError if the request is
	// refused, and a *RedirectError if another failure domain must serve it; in both cases no target has received it.
	Acquire(ctx context.Context, req Request) (*Grant, error)
}

// RefusedError is the error of a request that got no permit.
type RefusedError struct {
	Reason peerv1.RefusalReason
	// RetryAfter is the delay after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
	// Decision is the state of the dispatcher when it refused the request.
	Decision Decision
}

// Decision is the state of a dispatcher when it granted or refused a request. It serves for logs.
type Decision struct {
	// Dispatcher is the host of the dispatcher; empty if no dispatcher decided.
	Dispatcher string
	// FreeSlots and TotalSlots are the slots of the targets that accept requests, Waiting is the number of waiting requests.
	FreeSlots, TotalSlots, Waiting int
	// ExpectedDuration is the expected service time at the chosen target; 0 if unknown or if the request was refused.
	ExpectedDuration time.Duration
	// Cached is set if the chosen target is expected to have the request's object in its cache.
	Cached bool
}

// Error returns the reason and the suggested retry delay.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("permit refused: %s, retry after %s", e.Reason, e.RetryAfter)
}

// RedirectError is the error of a request that another failure domain must serve. It is returned only for a request with
// FollowsRedirects set.
type RedirectError struct{ FailureDomain string }

// Error returns a message with the failure domain.
func (e *RedirectError) Error() string {
	return "permit redirected to failure domain " + e.FailureDomain
}
