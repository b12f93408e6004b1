// Package dialect defines how callers and targets encode request metadata in HTTP headers: IDs, timeouts, affinity keys and
// whether a target executed a request. Dialects register themselves in init.
package dialect

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/registry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// Hints is the metadata that a caller sends with its request.
type Hints struct {
	// ID identifies this send of the request; empty if the caller sends no ID.
	ID string
	// Timeout is how long the caller waits for the response; 0 if it is not stated.
	Timeout time.Duration
	// AffinityKey identifies the object that the request concerns, for target affinity; empty if it is not stated.
	AffinityKey string
}

// AttemptInfo is the metadata that a target receives with an attempt.
type AttemptInfo struct {
	// ID identifies the attempt; if it is empty, the caller's ID stays in the header.
	ID string
	// Remaining is the time until the attempt's deadline.
	Remaining time.Duration
	// Instance is the only target process that may run the request; empty allows any.
	Instance string
}

// ResponseInfo is the metadata in the header of a target's response.
type ResponseInfo struct {
	// ID is the ID of the attempt that the response belongs to; empty if it is not stated.
	ID string
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// InstanceGone is set if the process named by AttemptInfo.Instance is no longer at the target's address. NotRun tells whether the other
	// process left the request alone.
	InstanceGone bool
	// RetryAfter is the time after which the target may accept requests again; 0 if it is not stated.
	RetryAfter time.Duration
	// SlowdownPercent is the target's current processing time as a percentage of its usual one; 0 if unknown.
	SlowdownPercent int
	// RateLimit is the number of requests per second that the target accepts from all hosts together; 0 if it states no limit.
	RateLimit float64
	// Leaving is set if the target states that it is about to end and must get no new requests.
	Leaving bool
	// HoldOff is for how long the target wants no more requests from this host; 0 if it states nothing.
	HoldOff time.Duration
}

// minRateLimit is the lowest rate limit. With none at all, no response would tell when the limit ends.
const minRateLimit = 0.1

// ParseRateLimit returns the rate limit that a header states in requests per second, at least minRateLimit, or 0 if the text is
// not such a number.
func ParseRateLimit(text string) float64 {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
		return 0
	}
	return max(limit, minRateLimit)
}

// Dialect reads and writes request metadata in the headers of requests and responses.
type Dialect interface {
	// ReadRequest reads a caller's hints. It returns an error if one of them is invalid.
	ReadRequest(r *http.Request) (Hints, error)
	// WriteRequest adds the metadata of an attempt to the header of the request to the target.
	WriteRequest(h http.Header, o AttemptInfo)
	// ReadResponse reads the metadata of a target's response. It does not read the body.
	ReadResponse(resp *http.Response) ResponseInfo
	// WriteRefusal writes the response to a caller whose request is refused.
	WriteRefusal(w http.ResponseWriter, f *reply.Refusal)
	// PromisesNotRun reports whether callers take a response with this status as the statement that their request was not executed and
	// never will be.
	PromisesNotRun(status int) bool
	// PreservesRequestID reports whether targets receive the caller's request ID unchanged.
	PreservesRequestID() bool
	// MayDuplicateResponses reports whether a target may send a duplicate response to a request, which then arrives before the
	// response to the next request on the connection.
	MayDuplicateResponses() bool
	// AllowsCloseDelimited reports whether a close-delimited response counts as complete when its connection is closed without a
	// reset.
	AllowsCloseDelimited() bool
}

var dialects = registry.New[Dialect]("dialect")

// Register adds a dialect. Call it from init; it panics on a duplicate name.
func Register(name string, d Dialect) { dialects.Register(name, d) }

// Get returns the registered dialect of a name, or Native for an empty name.
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
