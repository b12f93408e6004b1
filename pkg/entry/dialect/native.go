package dialect

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// Native is the default dialect, with the headers of package reply.
type Native struct{}

var _ Dialect = Native{}

// ReadRequest reads the timeout header; there are no other hints.
func (Native) ReadRequest(r *http.Request) (Hints, error) {
	timeout, err := parseTimeout(r.Header.Get(reply.HeaderTimeout))
	return Hints{Timeout: timeout}, err
}

func parseTimeout(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0, errors.Newf("%s must be a positive number of seconds", reply.HeaderTimeout)
	}
	if seconds >= math.MaxInt64/float64(time.Second) {
		return math.MaxInt64, nil
	}
	return max(time.Duration(seconds*float64(time.Second)), 1), nil
}

// WriteRequest sets the timeout and the ID of the attempt.
func (Native) WriteRequest(h http.Header, o AttemptInfo) {
	h[reply.HeaderTimeout] = []string{formatTimeout(o.Remaining)}
	h[reply.HeaderRequestID] = []string{o.ID}
}

// formatTimeout formats a remaining time for the timeout header, as at least 1 ms.
func formatTimeout(left time.Duration) string {
	return strconv.FormatFloat(max(left, time.Millisecond).Seconds(), 'f', 3, 64)
}

// ReadResponse reads the request ID, the target's rate limit and whether the request did not run. The latter counts only with
// status 503.
func (Native) ReadResponse(resp *http.Response) ResponseInfo {
	report := ResponseInfo{
		ID: resp.Header.Get(reply.HeaderRequestID), RateLimit: ParseRateLimit(resp.Header.Get(reply.HeaderRateLimit)),
	}
	f, ok := reply.FromResponse(resp)
	if ok && f.Outcome == reply.NotRun && resp.StatusCode == http.StatusServiceUnavailable {
		report.NotRun, report.RetryAfter = true, f.RetryAfter
	}
	return report
}

// WriteRefusal writes the refusal in the format of package reply.
func (Native) WriteRefusal(w http.ResponseWriter, f *reply.Refusal) { f.WriteTo(w) }

// PromisesNotRun returns false: callers read the outcome header, which targets cannot set.
func (Native) PromisesNotRun(int) bool { return false }

// PreservesRequestID returns false: each attempt gets an ID from this host.
func (Native) PreservesRequestID() bool { return false }

// MayDuplicateResponses returns false: a target that sends a response with another ID does not send the right one after it.
func (Native) MayDuplicateResponses() bool { return false }

// AllowsCloseDelimited returns false, because a truncated response could look complete.
func (Native) AllowsCloseDelimited() bool { return false }
