// Package dialect says how callers and targets spell what this system adds to HTTP: who sent a request, how long its caller
// waits, whether a target ran it. Dialects register themselves in init.
package dialect

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/registry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// Hints is what a caller says of its request.
type Hints struct {
	// ID names this send of the request; empty if the caller gives none.
	ID string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// AffinityKey names what the request concerns, for affinity; empty if the caller does not say.
	AffinityKey string
}

// AttemptInfo is what a target is told.
type AttemptInfo struct {
	// ID names the attempt; empty leaves the caller's ID as it is.
	ID string
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Instance is the only process that may run the request; empty allows any.
	Instance string
}

// ResponseInfo is what a target says beside its response.
type ResponseInfo struct {
	// ID is the attempt that the response answers; empty if the target does not say.
	ID string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// InstanceGone is set if the process that was asked for is no longer at the address.
	InstanceGone bool
	// RetryAfter is when the target may take requests again; 0 if it does not say.
	RetryAfter time.Duration
	// SlowdownPercent is the time that work takes at the target now, as a percentage of the usual; 0 if unknown.
	SlowdownPercent int
}

// Dialect reads and writes what this system adds to requests and responses.
type Dialect interface {
	// ReadRequest reads a caller's hints. It fails if one of them is invalid.
	ReadRequest(r *http.Request) (Hints, error)
	// WriteRequest adds what a target is told to a request's header.
	WriteRequest(h http.Header, o AttemptInfo)
	// ReadResponse reads what a target says.
	ReadResponse(resp *http.Response) ResponseInfo
	// WriteRefusal answers a caller whose request got no response of a target.
	WriteRefusal(w http.ResponseWriter, f *reply.Refusal)
	// PreservesRequestID reports whether the caller's ID of a request reaches the target unchanged.
	PreservesRequestID() bool
	// MayDuplicateResponses reports whether a target may send a second response to a request late, where the response to the next one
	// is expected.
	MayDuplicateResponses() bool
	// AllowsCloseDelimited reports whether a response without a length is whole when its connection ends in order.
	AllowsCloseDelimited() bool
}

var dialects = registry.New[Dialect]("dialect")

// Register adds a dialect. Call it from init; it panics on a duplicate name.
func Register(name string, d Dialect) { dialects.Register(name, d) }

// Get returns a registered dialect, or this project's own for an empty name.
func Get(name string) (Dialect, error) {
	if name == "" {
		return Native{}, nil
	}
	d, ok := dialects.Get(name)
	if !ok {
		return nil, errors.Newf("--dialect=%s: must be empty or one of %v", name, dialects.Names())
	}
	return d, nil
}
