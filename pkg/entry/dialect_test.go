package entry

import (
	"net/http"

	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// Headers of promisingDialect.
const (
	headerExpected = "Expected-Instance"
	headerNotRun   = "Not-Run"
)

// promisingDialect is a dialect whose callers take some statuses as the promise that their request was not executed. Targets get the
// caller's ID unchanged, repeat it and may send copies of a response.
type promisingDialect struct{ dialect.Native }

func (d promisingDialect) ReadRequest(r *http.Request) (dialect.Hints, error) {
	hints, err := d.Native.ReadRequest(r)
	hints.ID = r.Header.Get(target.HeaderRequestID)
	return hints, err
}

func (d promisingDialect) WriteRequest(h http.Header, info dialect.AttemptInfo) {
	d.Native.WriteRequest(h, info)
	h[headerExpected] = []string{info.Instance}
}

func (promisingDialect) ReadResponse(resp *http.Response) dialect.ResponseInfo {
	return dialect.ResponseInfo{
		ID: resp.Header.Get(target.HeaderRequestID), InstanceGone: resp.StatusCode == http.StatusMisdirectedRequest,
		NotRun: resp.Header.Get(headerNotRun) != "",
	}
}

func (promisingDialect) WriteRefusal(w http.ResponseWriter, f *reply.Refusal) {
	out := *f
	if out.Outcome != reply.NotRun {
		out.Status = http.StatusBadGateway
	}
	out.WriteTo(w)
}

func (promisingDialect) PromisesNotRun(status int) bool { return isPromise(status) }
func (promisingDialect) PreservesRequestID() bool       { return true }
func (promisingDialect) MayDuplicateResponses() bool    { return true }

// isPromise reports whether callers of promisingDialect take a status as the promise that their request was not executed.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
