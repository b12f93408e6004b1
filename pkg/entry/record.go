package entry

import (
	"cmp"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// metrics counts requests by their result.
type metrics struct {
	served, broken, refused, cancelled, hedges, retries tally.Counter
	latency                                             tally.Histogram
	// reasons counts refusals by reason. Reasons that reply.Reasons does not list are counted under the empty reason.
	reasons map[reply.Reason]tally.Counter
	// targetRefusals counts the responses of targets that refuse a request, by what they state about its execution, and skipped the responses
	// that belonged to other requests.
	targetRefusals map[execution]tally.Counter
	skipped        tally.Counter
	// promises counts the requests that must run at most once and were refused as not run, by what that relies on.
	promises map[promiseBasis]tally.Counter
}

func newMetrics(scope tally.Scope) *metrics {
	s := scope.SubScope("entry")
	m := &metrics{
		served: s.Counter("served"), broken: s.Counter("broken"), refused: s.Counter("refused"),
		cancelled: s.Counter("cancelled"), hedges: s.Counter("hedges"), retries: s.Counter("retries"),
		latency: s.Histogram("latency", tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)),
		reasons: map[reply.Reason]tally.Counter{}, targetRefusals: map[execution]tally.Counter{}, skipped: s.Counter("skipped_responses"),
		promises: map[promiseBasis]tally.Counter{},
	}
	for _, basis := range promiseBases {
		m.promises[basis] = s.Tagged(map[string]string{"basis": string(basis)}).Counter("promises")
	}
	for _, stated := range targetStatements {
		m.targetRefusals[stated] = s.Tagged(map[string]string{"statement": string(stated)}).Counter("target_refusals")
	}
	for _, reason := range append(reply.Reasons(), "") {
		m.reasons[reason] = s.Tagged(map[string]string{"reason": cmp.Or(string(reason), "other")}).Counter("refusals")
	}
	return m
}

func (m *metrics) countRefusal(reason reply.Reason) {
	m.refused.Inc(1)
	counter := m.reasons[reason]
	if counter == nil {
		counter = m.reasons[""]
	}
	counter.Inc(1)
}

// countSend counts a send to a target if its response refuses the request, and the responses to other requests before it. promise is set if
// callers take the status of the response as the statement that the request was not executed.
func (m *metrics) countSend(s sendRecord, promise bool) {
	if s.trace.Skipped > 0 {
		m.skipped.Inc(int64(s.trace.Skipped))
	}
	if promise || s.execution == executionNotRun || s.execution == executionGone {
		m.targetRefusals[s.execution].Inc(1)
	}
}

// countPromise counts a refusal that states that a request was not executed, if the request must run at most once.
func (m *metrics) countPromise(rq *request, f *reply.Refusal) {
	if rq.command && f.Outcome == reply.NotRun {
		m.promises[rq.history.promiseBasis()].Inc(1)
	}
}

// refuse answers with a refusal, logs and counts it. If f has no outcome, the outcome becomes not-run, or unknown for a request
// with an idempotency key: an earlier send with that key may have been executed, which only the key's owner can tell. A request
// that another host forwarded to be run gets not-run in either case.
func (h *Handler) refuse(w http.ResponseWriter, rq *request, f *reply.Refusal) {
	h.sendRefusal(w, rq, f)
	h.log.refused(rq, f)
}

// sendRefusal is refuse without the log line.
func (h *Handler) sendRefusal(w http.ResponseWriter, rq *request, f *reply.Refusal) {
	if f.Outcome == "" {
		f.Outcome = reply.NotRun
		if rq.idempotencyKey != "" && rq.mode != modeRun {
			f.Outcome = reply.Unknown
		}
	}
	h.setConnection(rq, w.Header())
	h.writeRefusal(w, rq, f)
	h.metrics.countRefusal(f.Reason)
	h.metrics.countPromise(rq, f)
	if f.Status >= http.StatusInternalServerError && rq.service != nil {
		h.record(rq, false, f.Reason == reply.ReasonCallerGone, sinceStart(rq))
	}
}

// writeRefusal writes a refusal in the configured dialect to a caller, and in the native format to another host.
func (h *Handler) writeRefusal(w http.ResponseWriter, rq *request, f *reply.Refusal) {
	if rq.forwarded {
		f.WriteTo(w)
		return
	}
	h.opts.Dialect.WriteRefusal(w, f)
}

// recordResponse counts a request that was answered with a target's response.
func (h *Handler) recordResponse(rq *request, success, callerGone bool, latency time.Duration) {
	switch {
	case callerGone:
		h.metrics.cancelled.Inc(1)
	case success:
		h.metrics.served.Inc(1)
		h.metrics.latency.RecordDuration(latency)
	default:
		h.metrics.broken.Inc(1)
	}
	h.record(rq, success, callerGone, latency)
}

// record counts a request in the burn report, only at the host that received it from the caller. Requests whose caller
// disconnected are not counted, because they do not show whether the service works.
func (h *Handler) record(rq *request, success, callerGone bool, latency time.Duration) {
	if h.opts.Recorder == nil || rq.forwarded || callerGone {
		return
	}
	h.opts.Recorder.Record(rq.name, success, latency)
}

func sinceStart(rq *request) time.Duration { return time.Since(rq.start) }
