// Package entry serves callers' requests: it finds the service, obtains a permit or forwards the request to another
// failure domain, and streams the response back.
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

	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/entry/dialect"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// CommandExecutor executes commands at most once.
type CommandExecutor interface {
	// Execute answers one send of a command by the command's deadline.
	Execute(ctx context.Context, cmd command.Command, sender command.Sender) command.Result
	// Ticket issues a ticket that only this host accepts.
	Ticket() string
}

// Recorder counts requests for the burn report. latency is the time until the header of the response was sent.
type Recorder interface {
	Record(service string, success bool, latency time.Duration)
}

// Pacer holds back the bytes of forwarded requests and of their responses to hosts in other regions. Pace blocks until n
// more bytes may be sent to a host or ctx ends.
type Pacer interface {
	Pace(ctx context.Context, toHost string, n int) error
}

// Limits bound requests. A zero field takes its default.
type Limits struct {
	// MaxHeaderBytes limits the header of a request. http.Server.MaxHeaderBytes must be larger for the refusal to state
	// an outcome.
	MaxHeaderBytes int
	// MaxTimeout bounds the time that a caller may ask for.
	MaxTimeout time.Duration
	// DefaultTimeout and MaxBodyBytes apply to services that set none.
	DefaultTimeout time.Duration
	MaxBodyBytes   int64
	// StallTimeout is how long a response may make no progress.
	StallTimeout time.Duration
}

const (
	defaultMaxHeaderBytes = 64 << 10
	defaultMaxTimeout     = 15 * time.Minute
	defaultTimeout        = 10 * time.Second
	defaultMaxBodyBytes   = 1 << 20
	defaultStallAfter     = 30 * time.Second
)

func (l Limits) withDefaults() Limits {
	l.MaxHeaderBytes = cmp.Or(l.MaxHeaderBytes, defaultMaxHeaderBytes)
	l.MaxTimeout = cmp.Or(l.MaxTimeout, defaultMaxTimeout)
	l.DefaultTimeout = cmp.Or(l.DefaultTimeout, defaultTimeout)
	l.MaxBodyBytes = cmp.Or(l.MaxBodyBytes, defaultMaxBodyBytes)
	l.StallTimeout = cmp.Or(l.StallTimeout, defaultStallAfter)
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
	// FindRemote returns a place in a failure domain, or in any other than the own one if the name is empty, whose region is one
	// of homes unless that is empty; ok is false if there is none. Nil finds none.
	FindRemote func(failureDomain string, homes []string) (place Place, ok bool)
	// RTT returns the time for a message to a host and back; 0 if it is unknown. Nil knows none.
	RTT func(to peer.Address) time.Duration
	// Dialect is how callers and targets spell what this system adds; nil means this project's own.
	Dialect  dialect.Dialect
	Recorder Recorder
	Pacer    Pacer
	Scope    tally.Scope
	Self     peer.Identity
	Limits   Limits
}

// Handler is the http.Handler for callers.
type Handler struct {
	opts     Options
	targets  *upstream.Client
	metrics  *metrics
	log      requestLog
	sequence atomic.Uint64
	inFlight atomic.Int64
	leaving  atomic.Bool
	// hedgeAttempts are attempts of hedged requests whose answer came second.
	hedgeAttempts conc.WaitGroup
}

// New returns a handler. Call Close when no request is in flight any more.
func New(opts Options) *Handler {
	opts.Limits = opts.Limits.withDefaults()
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{}).DialContext
	}
	if opts.RTT == nil {
		opts.RTT = func(peer.Address) time.Duration { return 0 }
	}
	if opts.Dialect == nil {
		opts.Dialect = dialect.Native{}
	}
	return &Handler{opts: opts, targets: upstream.New(opts.Dial), metrics: newMetrics(opts.Scope), log: newRequestLog()}
}

// Close ends the connections to targets that are not in use and waits for cancelled attempts.
func (h *Handler) Close() {
	h.hedgeAttempts.Wait()
	h.targets.CloseAllIdle()
}

// SetLeaving sets whether responses ask callers to close their connections.
func (h *Handler) SetLeaving(leaving bool) { h.leaving.Store(leaving) }

// InFlight returns the number of requests that are being served, forwarded ones included.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP serves a caller.
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
		h.serve(w, r, origin)
	})
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, from *origin) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.leaving.Load() && from == nil {
		w.Header().Set("Connection", "close")
	}
	rq, refusal := h.newRequest(w, r, from)
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

// nextID returns an ID that is unique among all hosts and incarnations.
func (h *Handler) nextID() string {
	b := make([]byte, 0, 64)
	b = append(b, h.opts.Self.Host...)
	b = append(b, '-')
	b = strconv.AppendUint(b, h.opts.Self.Incarnation, 36)
	b = append(b, '-')
	b = strconv.AppendUint(b, h.sequence.Add(1), 36)
	return string(b)
}
