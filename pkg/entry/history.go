package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// routingHistory records how a request was routed, for its log line.
type routingHistory struct {
	// targets lists the targets of the permits that were granted; sentTo is the host that the request was forwarded to.
	targets []string
	sentTo  string
	// sends lists the sends to targets. The second attempt of a hedged request is missing if the first one wins.
	sends []sendRecord
	// permitWait is the total time spent on acquiring permits.
	permitWait time.Duration
	// decision is the dispatcher's last decision about the request.
	decision permit.Decision
}

// addSend adds a send unless it failed before a connection was requested.
func (h *routingHistory) addSend(s sendRecord) {
	if s != (sendRecord{}) {
		h.sends = append(h.sends, s)
	}
}

// describeSends returns the sends as texts for the log.
func (h *routingHistory) describeSends() []string {
	texts := make([]string, 0, len(h.sends))
	for _, s := range h.sends {
		texts = append(texts, s.String())
	}
	return texts
}

// sendRecord is one send of a request to a target: where it went, on which kind of connection, and what the target answered.
type sendRecord struct {
	target, address string
	trace           upstream.Trace
	// status is the status of the response, 0 if there was none, and statement what the response states about the execution.
	status    int
	statement statement
}

// String returns the record in the form "TARGET ADDRESS STATUS STATEMENT earlier=N skipped=N". See upstream.Trace for the two numbers.
func (s sendRecord) String() string {
	return fmt.Sprintf("%s %s %d %s earlier=%d skipped=%d",
		s.target, s.address, s.status, s.statement, s.trace.EarlierRequests, s.trace.Skipped)
}

// statement is what a target's response states about the execution of the request.
type statement string

const (
	// statedNothing is the statement of a response that does not say whether the request was executed, or of no response at all.
	statedNothing statement = "none"
	// statedNotRun and statedGone mean that the request was not executed: by a target that shed it, or because the expected process is no
	// longer at the target's address.
	statedNotRun statement = "not-run"
	statedGone   statement = "instance-gone"
)

// statements lists all statements.
var statements = []statement{statedNothing, statedNotRun, statedGone}

// recordSend completes the record of an attempt that was sent to a target. resp is nil if there was no response.
func (a *attempt) recordSend(resp *http.Response) {
	r := &a.record
	r.target, r.address, r.statement = a.grant.Target, a.grant.Address, statedNothing
	if resp == nil {
		return
	}
	r.status = resp.StatusCode
	switch {
	case a.info.InstanceGone:
		r.statement = statedGone
	case a.info.NotRun:
		r.statement = statedNotRun
	}
}
