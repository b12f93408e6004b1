// Package entry is the HTTP proxy for callers. It finds the service of a request, acquires a permit and sends the request to the
// permit's target, or forwards it to a host of another failure domain, and streams the response back.
package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/quota"
	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// CommandExecutor executes commands at most once.
type CommandExecutor interface {
	// Execute returns the result of one send of a command, at the latest at the command's deadline.
	Execute(ctx context.Context, cmd command.Command, sender command.Sender) command.Result
	// Ticket issues a ticket. Only this host accepts it.
	Ticket() string
}

// Recorder counts requests for the burn report. latency is the time from the arrival of the request until the header of the
// response was sent.
type Recorder interface {
	Record(service string, success bool, latency time.Duration)
}

// Pacer limits the rate of bytes that forwarded requests and their responses send to hosts in other regions. Pace blocks until n
// more bytes may be sent to a host, and returns an error if ctx ends before.
type Pacer interface {
	Pace(ctx context.Context, toHost string, n int) error
}

// Paths tells how this host reaches targets.
type Paths interface {
	// Isolated reports whether this host reaches no target by itself. What it observes of targets then tells nothing about them.
	Isolated() bool
	// ReachesTargets reports whether connections to targets can be opened, directly or through another host.
	ReachesTargets() bool
	// Observe records whether the target at an address has answered a request on a connection from this host. It may take some time, until
	// ctx ends, to find out whether this host is isolated.
	Observe(ctx context.Context, address string, answered bool)
}

// directPaths are the paths of a host that does not detect isolation.
type directPaths struct{}

func (directPaths) Isolated() bool       { return false }
func (directPaths) ReachesTargets() bool { return true }

func (directPaths) Observe(context.Context, string, bool) {}

// Load tells whether this host has the processor time for its work.
type Load interface {
	// Overloaded reports whether there is more work than processor time at a moment, so that the host refuses what comes.
	Overloaded(now time.Time) bool
	// ShortageWithin reports whether there was not enough processor time at some moment of the given time before now.
	ShortageWithin(before time.Duration, now time.Time) bool
}

// idle is the load of a host that always has enough processor time.
type idle struct{}

func (idle) Overloaded(time.Time) bool                    { return false }
func (idle) ShortageWithin(time.Duration, time.Time) bool { return false }

// Freshness tells how up to date the configuration in force is. ok is false if that is not known.
type Freshness interface {
	// Age returns the time for which the configuration may have been out of date.
	Age(now time.Time) (age time.Duration, ok bool)
	// Lag returns the time for which it may have been behind what this host could learn from others.
	Lag(now time.Time) (lag time.Duration, ok bool)
}

// unknownFreshness is the freshness of a configuration whose source tells nothing about it.
type unknownFreshness struct{}

func (unknownFreshness) Age(time.Time) (age time.Duration, ok bool) { return 0, false }
func (unknownFreshness) Lag(time.Time) (lag time.Duration, ok bool) { return 0, false }

// Limits are the limits of requests. A zero field selects its default.
type Limits struct {
	// MaxHeaderBytes limits the header of a request. http.Server.MaxHeaderBytes must be larger, so that this package refuses the
	// request and can state its outcome.
	MaxHeaderBytes int
	// MaxTimeout is the upper limit of a caller's timeout.
	MaxTimeout time.Duration
	// DefaultTimeout and MaxBodyBytes apply to services without settings of their own.
	DefaultTimeout time.Duration
	MaxBodyBytes   int64
	// StallTimeout is how long a response may go without progress before it is aborted.
	StallTimeout time.Duration
}

const (
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxTimeout     = 15 * time.Minute
	defaultTimeout        = 10 * time.Second
	defaultMaxBodyBytes   = 1 << 20
	defaultStallTimeout   = 30 * time.Second
	// defaultMemory is the size in bytes of each quota of memory that the options leave out.
	defaultMemory = 16 << 20
)

func (l Limits) withDefaults() Limits {
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.MaxTimeout = cmp.Or(l.MaxTimeout, defaultMaxTimeout)
	l.DefaultTimeout = cmp.Or(l.DefaultTimeout, defaultTimeout)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.StallTimeout = cmp.Or(l.StallTimeout, defaultStallTimeout)
	return l
}

// Options are the dependencies of a Handler. Forwarder, Commands, Recorder and Pacer may be nil.
type Options struct {
	Store     *config.Store
	Permits   permit.Acquirer
	Steerer   Steerer
	Forwarder peer.Forwarder
	Commands  CommandExecutor
	Dial      upstream.DialFunc
	// Paths tells whether Dial reaches targets; nil means that it does.
	Paths Paths
	// FindRemote returns a place in the named failure domain, or in any failure domain but this host's if the name is empty. If
	// homes is not empty, the region of the place is one of homes. ok is false if there is no such place; a nil function means
	// that there never is one.
	FindRemote func(failureDomain string, homes []string) (place Place, ok bool)
	// Dialect reads and writes the request metadata of callers and targets; nil means dialect.Native.
	Dialect dialect.Dialect
	// Freshness tells how up to date the configuration in force is; nil means that it is not known.
	Freshness Freshness
	// Load tells whether this host has the processor time for its work; nil means that it always has.
	Load     Load
	Recorder Recorder
	Pacer    Pacer
	Scope    tally.Scope
	Self     peer.Identity
	Limits   Limits
	// Answers limits the memory for response bodies that are read before they are sent to callers, for all requests together; nil means a quota of
	// defaultMemory.
	Answers *quota.Quota
	// Heads limits the memory for the heads of requests that other hosts forward, together with those of callers, which the listener measures. nil
	// means a quota of defaultMemory.
	Heads *quota.Quota
	// Bodies limits the memory for bodies of requests, for all requests together; nil means a quota of defaultMemory.
	Bodies *quota.Quota
}

// Handler is the http.Handler for callers' requests.
type Handler struct {
	opts    Options
	targets *upstream.Client
	metrics *metrics
	log     requestLog
	// work holds what is known of the work of each route.
	work     *workEstimates
	sequence atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	// end is when this host cuts the requests in flight; nil while it is not stopping.
	end atomic.Pointer[time.Time]
	// hedgeAttempts tracks the goroutines of hedged requests' second attempts, which may outlive their requests.
	hedgeAttempts conc.WaitGroup
}

// New returns a handler. Call Close once no request is in flight.
func New(opts Options) *Handler {
	opts.Limits = opts.Limits.withDefaults()
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	if opts.Paths == nil {
		opts.Paths = directPaths{}
	}
	if opts.Freshness == nil {
		opts.Freshness = unknownFreshness{}
	}
	if opts.Load == nil {
		opts.Load = idle{}
	}
	if opts.Dialect == nil {
		opts.Dialect = dialect.Native{}
	}
	if opts.Answers == nil {
		opts.Answers = quota.New(defaultMemory)
	}
	if opts.Bodies == nil {
		opts.Bodies = quota.New(defaultMemory)
	}
	if opts.Heads == nil {
		opts.Heads = quota.New(defaultMemory)
	}
	return &Handler{
		opts: opts, targets: upstream.New(opts.Dial), metrics: newMetrics(opts.Scope), log: newRequestLog(), work: newWorkEstimates(),
	}
}

// Close waits for the second attempts of hedged requests and closes the idle connections to targets.
func (h *Handler) Close() {
	h.hedgeAttempts.Wait()
	h.targets.CloseAllIdle()
}

// CloseIdle closes the idle connections to all targets. Call it when they may have become unusable.
func (h *Handler) CloseIdle() { h.targets.CloseAllIdle() }

// SetLeaving sets whether this host is leaving. If it is, responses to callers carry Connection: close and no tickets are issued.
func (h *Handler) SetLeaving(leaving bool) { h.leaving.Store(leaving) }

// InFlight returns the number of requests in progress, including requests that other hosts forwarded to this one.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == TicketPath {
		h.serveTicket(w, r)
		return
	}
	h.serve(w, r, nil)
}

// ForwardedHandler returns the handler for requests that other hosts forward. It never forwards them again.
func (h *Handler) ForwardedHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		origin, err := parseOrigin(r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		origin.writeIdentity(w.Header())
		reserved := quota.Reservation{From: h.opts.Heads}
		defer reserved.Release()
		if !reserveHead(r, &reserved) {
			h.refuse(w, &request{in: r, id: origin.requestID, start: time.Now(), forwarded: true, mode: origin.mode}, noMemory("the head"))
			return
		}
		h.serve(w, r, origin)
	})
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, from *origin) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.opts.Load.Overloaded(time.Now()) {
		h.refuseOverloaded(w, r, from)
		return
	}
	rq, refusal := h.newRequest(w, r, from)
	if rq.body != nil {
		defer rq.body.release()
	}
	if refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	rq.ctx = ctx
	if rq.isRecordedCommand() && rq.mode != modeRun {
		h.serveCommand(w, rq)
		return
	}
	answer, refusal := h.obtainResponse(rq)
	if refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	h.stream(w, rq, answer)
}

// nextID returns a request ID that is unique among all hosts and incarnations.
func (h *Handler) nextID() string {
	b := make([]byte, 0, 64)
	b = append(b, h.opts.Self.Host...)
	b = append(b, '-')
	b = strconv.AppendUint(b, h.opts.Self.Incarnation, 36)
	b = append(b, '-')
	b = strconv.AppendUint(b, h.sequence.Add(1), 36)
	return string(b)
}
