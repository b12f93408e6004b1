package entry

import (
	"net/http"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

const (
	// overloadedRetryAfter is the Retry-After of refusals by a host without processor time. Lookups name other hosts by then.
	overloadedRetryAfter = time.Second
	// maxDiscardedBody is the size in bytes up to which net/http reads the body of a refused request, so that the connection can be kept:
	// callers that must connect again cost more processor time than the refusal. Bodies of that size have mostly arrived with the header.
	maxDiscardedBody = 16 << 10
	// maxConfigLag is the lag of its configuration from which a host without processor time refuses requests. An accepted configuration is
	// in force everywhere within 3 s; the rest is for requests that arrived earlier than they are handled.
	maxConfigLag = 2 * time.Second
	// catchUpTime is for how long after a shortage of processor time a lag is taken for a consequence of it. Later it is that of a host which is
	// cut off, and which has to go on serving by the configuration that it has.
	catchUpTime = 3 * time.Second
)

// refuseOverloaded refuses a request for which this host has no processor time. It does as little as it can, and writes no log line: what it
// does takes processor time from the requests that this host has accepted, and from the calls between hosts that keep its configuration up to date.
func (h *Handler) refuseOverloaded(w http.ResponseWriter, r *http.Request, from *origin) {
	rq := &request{in: r, start: time.Now(), idempotencyKey: r.Header.Get(reply.HeaderKey)}
	if from != nil {
		rq.forwarded, rq.mode = true, from.mode
	}
	if snap := h.opts.Store.Current(); snap.Version > 0 {
		rq.resolveService(snap, from) // for the burn report
	}
	if n := r.ContentLength; n > 0 && n <= maxDiscardedBody {
		rq.body = &body{length: n}
		rq.body.complete.Store(true) // setConnection keeps the connection
	}
	f := refusal(http.StatusServiceUnavailable, reply.ReasonOverloaded, "this host has no processor time left")
	f.RetryAfter = overloadedRetryAfter
	h.sendRefusal(w, rq, f)
}

// ConfigOutdated reports whether this host is behind with its configuration because it is short of processor time, so that it must not
// decide by it. It knows neither which routes there are nor which targets leave, while other hosts do.
func (h *Handler) ConfigOutdated(now time.Time) bool {
	lag, known := h.opts.Freshness.Lag(now)
	return known && lag > maxConfigLag && h.opts.Load.ShortageWithin(catchUpTime, now)
}
