package entry

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// notReadyRetryAfter is the Retry-After of refusals by a host that has no configuration yet, or an outdated one. A host that starts has it after
// about that time.
const notReadyRetryAfter = time.Second

// request is the state of one caller's request. It belongs to the goroutine that serves the request.
type request struct {
	id      string
	in      *http.Request
	start   time.Time
	service *configv1.Service
	name    string
	route   *configv1.Route
	// rule is the rule of a virtual host that the request matched, or nil.
	rule *configv1.Rule
	// hints holds the metadata that the caller sent; affinityHash is the hash of its affinity key, 0 without one.
	hints        dialect.Hints
	affinityHash uint64
	// path is relative to the service, so that a target sees the same path whether the caller named the service in the
	// path or in the Host header. rawPath is its escaped form, empty if that is the default escaping (see url.URL.RawPath).
	path, rawPath string
	// fromHost is the host that forwarded the request.
	fromHost       string
	header         http.Header
	body           *body
	deadline       time.Time
	ctx            context.Context
	fingerprint    uint64
	command        bool
	idempotencyKey string
	// forwarded is set for a request from another host, mode is what that host asks for, and shifted is set if the request
	// comes from another region.
	forwarded bool
	shifted   bool
	// followsRedirects is set while the dispatcher may redirect the request to another failure domain, and redirectDomain is the
	// domain that it chose.
	followsRedirects bool
	redirectDomain   string
	// configVersion is the reported version of the configuration that applies to the request.
	configVersion uint64
	// configAge is the time for which that configuration may have been out of date when the request arrived; 0 if it is not known.
	configAge time.Duration
	history   routingHistory
	mode      mode

	// attempts is the number of sends to targets and hosts, targetAttempts the number of those to targets. Both include what the
	// forwarding host has sent to targets.
	attempts       int
	targetAttempts int
	// unreached is the number of attempts of which no target received anything. They are not among targetAttempts.
	unreached       int
	excludedTargets []string
	// mayHaveRun is set once a target may have executed an attempt.
	mayHaveRun bool
	// lastFailure is the failure to report if no further attempt is made.
	lastFailure *failure
}

// newRequest validates a request, resolves its service and reads its body as far as needed. If it returns a refusal, the fields
// of the request may be incomplete.
func (h *Handler) newRequest(w http.ResponseWriter, r *http.Request, from *origin) (*request, *reply.Refusal) {
	rq := &request{in: r, start: time.Now()}
	rq.idempotencyKey = r.Header.Get(reply.HeaderKey)
	if from != nil {
		rq.id, rq.fromHost, rq.mode = from.requestID, from.host, from.mode
		rq.forwarded, rq.shifted = true, from.shifted
		rq.attempts, rq.targetAttempts = from.attempts, from.attempts
	} else {
		rq.id = h.nextID()
	}
	if !r.ProtoAtLeast(1, 1) {
		// HTTP/1.0 bodies may be close-delimited, so a truncated body cannot be detected.
		return rq, refusal(http.StatusHTTPVersionNotSupported, reply.ReasonBadProtocol, "use HTTP/1.1")
	}
	if r.Method == http.MethodConnect {
		return rq, refusal(http.StatusNotImplemented, reply.ReasonBadMethod, "CONNECT is not supported")
	}
	if n, limit := fieldBytes(r), h.maxFieldBytes(); from == nil && n > limit {
		return rq, refusal(http.StatusRequestHeaderFieldsTooLarge, reply.ReasonHeaderTooLarge,
			strconv.Itoa(n)+" bytes, allowed "+strconv.Itoa(limit))
	}
	snap := h.opts.Store.Current()
	rq.configVersion = snap.ReportedVersion()
	rq.configAge, _ = h.opts.Freshness.Age(rq.start)
	if f := h.checkConfig(snap, rq.start); f != nil {
		return rq, f
	}
	if !rq.resolveService(snap, from) {
		return rq, refusal(http.StatusNotFound, reply.ReasonUnknownService, "neither path nor host names a service")
	}
	if err := h.readHints(rq); err != nil {
		return rq, refusal(http.StatusBadRequest, reply.ReasonBadTimeout, err.Error())
	}
	rq.deadline = rq.start.Add(h.timeout(rq))
	rq.command = rq.atMostOnce()
	if f := h.readBody(w, rq); f != nil {
		return rq, f
	}
	rq.fingerprint = rq.computeFingerprint()
	return rq, nil
}

// checkConfig returns the refusal of a request that can't be decided by the configuration of this host, or nil.
func (h *Handler) checkConfig(snap *config.Snapshot, now time.Time) *reply.Refusal {
	detail := ""
	switch {
	case snap.Version == 0:
		detail = "no configuration is loaded yet"
	case h.ConfigOutdated(now):
		detail = "the configuration is out of date"
	default:
		return nil
	}
	f := refusal(http.StatusServiceUnavailable, reply.ReasonNotReady, detail)
	f.RetryAfter = notReadyRetryAfter
	return f
}

// atMostOnce reports whether the request must run at most once.
func (rq *request) atMostOnce() bool {
	if rq.rule != nil {
		return rq.rule.GetRepeat() != configv1.Repeat_REPEAT_IDEMPOTENT
	}
	return isCommand(rq.in.Method, rq.route)
}

// isRecordedCommand reports whether the request is a command whose outcome is recorded under its idempotency key. Commands
// that match a rule have no keys.
func (rq *request) isRecordedCommand() bool { return rq.command && rq.rule == nil }

// isCommand reports whether a request without a rule must run at most once, by its method and the settings of its route.
func isCommand(method string, route *configv1.Route) bool {
	if route.GetCommand() {
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return false
	case http.MethodPost:
		return !route.GetIdempotent()
	}
	return true
}

// readHints reads the metadata that the caller sent. The timeout of a forwarded request is the remaining time that the
// forwarding host sent.
func (h *Handler) readHints(rq *request) error {
	var err error
	if rq.hints, err = h.opts.Dialect.ReadRequest(rq.in); err != nil {
		return err
	}
	if rq.hints.AffinityKey != "" {
		rq.affinityHash = max(xxhash.Sum64String(rq.hints.AffinityKey), 1)
	}
	if rq.forwarded {
		native, err := dialect.Native{}.ReadRequest(rq.in)
		rq.hints.Timeout = native.Timeout
		return err
	}
	return nil
}

// timeout returns how long the request may take: the caller's timeout, or else the default one of the service, up to the limits
// of the rule and of this host.
func (h *Handler) timeout(rq *request) time.Duration {
	limit := h.opts.Limits.MaxTimeout
	if rq.rule != nil {
		limit = min(limit, time.Duration(rq.rule.GetTimeoutMs())*time.Millisecond)
	}
	if rq.hints.Timeout > 0 {
		return min(rq.hints.Timeout, limit)
	}
	timeout := time.Duration(rq.service.GetDefaultTimeoutMs()) * time.Millisecond
	return min(cmp.Or(timeout, h.opts.Limits.DefaultTimeout), limit)
}

func refusal(status int, reason reply.Reason, detail string) *reply.Refusal {
	return &reply.Refusal{Status: status, Reason: reason, Detail: detail}
}
