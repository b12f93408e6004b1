package entry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// routingHistory records how a request was routed, for its log line.
type routingHistory struct {
	// targets lists the targets of the permits that were granted; sentTo is the host that the request was forwarded to.
	targets []string
	sentTo  string
	// sends lists the sends to targets and hosts. The second attempt of a hedged request is missing if the first one wins.
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

// sendRecord is one send of a request to a target or to another host: where it went, on which kind of connection, and what is known of its
// execution.
type sendRecord struct {
	// receiver is the target or, if toHost is set, the host.
	receiver, address string
	toHost            bool
	// trace describes the connection to a target.
	trace upstream.Trace
	// status is the status of the response, 0 if there was none.
	status    int
	execution execution
	// reason is why another host has refused the request, or why there is no response of it.
	reason reply.Reason
}

// String returns the record in the form "TARGET ADDRESS STATUS EXECUTION earlier=N skipped=N" or "host HOST ADDRESS STATUS EXECUTION REASON".
// See upstream.Trace for the two numbers.
func (s sendRecord) String() string {
	common := fmt.Sprintf("%s %s %d %s", s.receiver, s.address, s.status, s.execution)
	if s.toHost {
		return strings.TrimSpace("host " + common + " " + string(s.reason))
	}
	return fmt.Sprintf("%s earlier=%d skipped=%d", common, s.trace.EarlierRequests, s.trace.Skipped)
}

// execution is what is known of the execution of a request after one send.
type execution string

const (
	// executionOpen means that nothing states whether the request was executed.
	executionOpen execution = "none"
	// executionNotSent means that no byte of the request was written.
	executionNotSent execution = "not-sent"
	// executionNotRun and executionGone mean that the request was not executed: by a target that shed it or another host, which state it, or
	// because the expected process is no longer at the target's address.
	executionNotRun execution = "not-run"
	executionGone   execution = "instance-gone"
)

// targetStatements lists what the response of a target may state.
var targetStatements = []execution{executionOpen, executionNotRun, executionGone}

// recordSend completes the record of an attempt that was sent to a target. resp is nil if there was no response.
func (a *attempt) recordSend(resp *http.Response) {
	r := &a.record
	r.receiver, r.address, r.execution = a.grant.Target, a.grant.Address, executionOpen
	if resp == nil {
		if !a.mayHaveBeenSent() {
			r.execution = executionNotSent
		}
		return
	}
	r.status = resp.StatusCode
	switch {
	case a.info.NotRun && a.info.InstanceGone:
		r.execution = executionGone
	case a.info.NotRun:
		r.execution = executionNotRun
	}
}

// forwardRecord returns the record of a request that was forwarded to a host. Either ans or f is nil.
func forwardRecord(to peer.Address, ans *answer, f *failure) sendRecord {
	r := sendRecord{receiver: to.Host, address: to.Addr, toHost: true, execution: executionOpen}
	if ans != nil {
		r.status = ans.resp.StatusCode
		return r
	}
	r.reason = f.reason
	if f.outcomeStated {
		r.status = f.status
	}
	switch {
	case f.mayHaveRun:
	case f.outcomeStated:
		r.execution = executionNotRun
	default:
		r.execution = executionNotSent
	}
	return r
}
