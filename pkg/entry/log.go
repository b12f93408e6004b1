package entry

import (
	"strconv"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	"github.com/rattanhitch/rattanhitch/pkg/logging"
)

// Limits of log lines about requests, per second and host. A line has 600 bytes on average, so a host writes at most about 48 kB
// per second.
const (
	failuresPerSecond  = 60
	successesPerSecond = 20
)

// requestLog writes one log line for each request that ends at this host, up to a rate limit. Failures and successes have
// separate limits, so that successes cannot suppress failures. Suppressed lines are counted.
type requestLog struct {
	failures, successes *logging.Limiter
}

func newRequestLog() requestLog {
	return requestLog{logging.NewLimiter(failuresPerSecond), logging.NewLimiter(successesPerSecond)}
}

// newEntry returns the log entry of a request that ended with a status, or nil if the rate limit suppresses it.
func (l requestLog) newEntry(rq *request, status int, failed bool) *log.Entry {
	limiter := l.successes
	if failed {
		limiter = l.failures
	}
	ok, leftOut := limiter.Allow(time.Now())
	if !ok {
		return nil
	}
	line := log.Info()
	if line == nil {
		return nil
	}
	line = line.Str("step", "request").Str("request", rq.logID()).Str("id", rq.id).Int("status", status)
	if leftOut > 0 {
		line = line.Int("left_out", leftOut)
	}
	if n := len(rq.history.sends); n > 1 || failed && n > 0 {
		line = line.Strs("sends", rq.history.describeSends())
	}
	return rq.describe(line)
}

// describe adds the fields that responses and refusals have in common.
func (rq *request) describe(line *log.Entry) *log.Entry {
	line = line.Str("service", rq.name).Str("rule", rq.rule.GetName()).Int("attempts", rq.attempts).
		Int64("took_ms", time.Since(rq.start).Milliseconds()).Int64("waited_ms", rq.history.permitWait.Milliseconds())
	if rq.command {
		line = line.Bool("at_most_once", true)
	}
	if rq.fromHost != "" {
		line = line.Str("from", rq.fromHost)
	}
	if rq.history.sentTo != "" {
		line = line.Str("sent_to", rq.history.sentTo)
	}
	if rq.affinityHash != 0 {
		line = line.Str("object", strconv.FormatUint(rq.affinityHash, 36))
	}
	if rq.fingerprint != 0 {
		line = line.Str("fingerprint", strconv.FormatUint(rq.fingerprint, 36))
	}
	if len(rq.history.targets) > 0 {
		line = line.Strs("targets", rq.history.targets)
	}
	if !rq.deadline.IsZero() {
		line = line.Int64("timeout_ms", rq.deadline.Sub(rq.start).Milliseconds())
	}
	if rq.configVersion > 0 {
		line = line.Uint64("config", rq.configVersion).Int64("config_age_ms", rq.configAge.Milliseconds())
	}
	if ms := rq.rule.GetLatencyMs(); ms > 0 {
		line = line.Uint32("objective_ms", ms)
	}
	if made := rq.history.decision; made.Dispatcher != "" {
		line = line.Str("dispatcher", made.Dispatcher).Int("free", made.FreeSlots).Int("slots", made.TotalSlots).
			Int("waiting", made.Waiting).Int64("expected_ms", made.ExpectedDuration.Milliseconds()).Bool("remembered", made.Cached)
	}
	return line
}

// maxLoggedID limits the length in bytes of a caller's ID in a log line. A caller may send as much as a head holds.
const maxLoggedID = 128

// logID returns the start of the caller's ID of the request, or this host's ID if the caller sent none.
func (rq *request) logID() string {
	if rq.hints.ID != "" {
		return rq.hints.ID[:min(len(rq.hints.ID), maxLoggedID)]
	}
	return rq.id
}

// refused logs a request that was answered with a refusal.
func (l requestLog) refused(rq *request, f *reply.Refusal) {
	line := l.newEntry(rq, f.Status, true)
	if line == nil {
		return
	}
	line.Str("outcome", string(f.Outcome)).Str("reason", string(f.Reason)).Int64("retry_after_ms", f.RetryAfter.Milliseconds()).
		Str("detail", f.Detail).Msg("refused")
}

// answered logs a request that was answered with a target's or another host's response. cause is the error if the response broke
// off, else nil.
func (l requestLog) answered(rq *request, ans *answer, success bool, cause error) {
	line := l.newEntry(rq, ans.resp.StatusCode, !success)
	if line == nil {
		return
	}
	line = line.Int64("first_byte_ms", ans.firstByte.Milliseconds()).Uint64("bytes", ans.bytes)
	if percent := ans.info.SlowdownPercent; percent > 0 {
		line = line.Int("target_slowdown_percent", percent)
	}
	if limit := ans.info.RateLimit; limit > 0 {
		line = line.Float64("target_limit", limit)
	}
	if cause != nil {
		line.Str("cause", cause.Error()).Msg("broke off")
		return
	}
	line.Msg("answered")
}
