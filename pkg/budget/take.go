package budget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Names of the control calls.
const (
	methodSlice   = "budget.slice"
	methodLend    = "budget.lend"
	methodSupport = "budget.support"
)

// Options configure a Budget.
type Options struct {
	View membership.View
	// Caller and Registrar belong to this host's peer node, which must not have started yet.
	Caller    peer.Caller
	Registrar peer.Registrar
	// Cap returns a cap of the configuration in force, or false.
	Cap func(name string) (Cap, bool)
	// MinHosts is the least number of hosts that the failure domain is taken to have.
	MinHosts int
}

// Budget takes budget on this host, and grants it for the caps that this host holds.
type Budget struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	// gate, if set, blocks while a test pauses the host.
	gate func()

	mu        sync.Mutex
	startedAt time.Time
	holdings  map[string]*holding
	supports  map[string]support
	// seen holds when each host of the domain was last live.
	seen map[string]time.Time
	// refusals holds until when a lender, by cap and failure domain, is not asked again.
	refusals map[[2]string]time.Time
}

// New returns a budget and registers its control calls.
func New(opts Options) *Budget {
	b := &Budget{
		opts: opts, startedAt: time.Now(), holdings: map[string]*holding{}, supports: map[string]support{},
		seen: map[string]time.Time{}, refusals: map[[2]string]time.Time{},
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	opts.Registrar.Handle(methodSlice, b.onSlice)
	opts.Registrar.Handle(methodLend, b.onLend)
	opts.Registrar.Handle(methodSupport, b.onSupport)
	return b
}

// Close ends the calls in progress.
func (b *Budget) Close() { b.cancel() }

// Take waits for a slice, at most about 50 ms, and returns it at the start of its interval. Call Check on it immediately
// before sending. The amount is 1 for a cap on requests and at most 1% of the domain's share per second for a cap in
// megabits. Errors: *RefusedError, ErrExpired, errors of the control call with step and peer.
func (b *Budget) Take(ctx context.Context, capName string, amount float64) (*Lease, error) {
	c, ok := b.opts.Cap(capName)
	if !ok {
		return nil, errors.Newf("no cap %q is configured", capName)
	}
	domain := b.opts.View.Self().FailureDomain
	if !slices.Contains(c.Domains, domain) {
		return nil, errors.Newf("cap %q is not for failure domain %s", capName, domain)
	}
	lease, err := b.request(ctx, c, amount, domain)
	if err != nil {
		return nil, err
	}
	timer := time.NewTimer(time.Until(lease.start))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, steperr.Wrap(context.Cause(ctx), "wait for budget", "")
	}
	return lease, lease.Check()
}

// request asks the holder of the own domain.
func (b *Budget) request(ctx context.Context, c Cap, amount float64, domain string) (*Lease, error) {
	holder, ok := b.holder(c.Name, domain)
	if !ok {
		return nil, &RefusedError{Cap: c.Name, RetryAfter: notReadyRetry, Reason: "no holder is known", NotReady: true}
	}
	asked := time.Now()
	if holder.Host == b.opts.View.Self().Host {
		s, err := b.grantOrBorrow(ctx, c, amount)
		if err != nil {
			return nil, err
		}
		return received(asked, s), nil
	}
	resp := &peerv1.SliceResponse{}
	req := &peerv1.SliceRequest{Cap: c.Name, Amount: amount}
	if err := b.opts.Caller.Call(ctx, holder.Address(), methodSlice, req, resp); err != nil {
		return nil, steperr.Wrap(err, "take budget", holder.Host)
	}
	b.pausePoint()
	if resp.GetAmount() == 0 {
		return nil, &RefusedError{
			Cap: c.Name, RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
			Reason: "the holder refused", NotReady: resp.GetNotReady(),
		}
	}
	return received(asked, decodeSlice(resp.GetStartUs(), resp.GetValidUs())), nil
}

func (b *Budget) pausePoint() {
	if b.gate != nil {
		b.gate()
	}
}

// received turns a slice into a lease. The holder decided at some time between asked and now: the interval starts as
// late and ends as early as either could require.
func received(asked time.Time, s slice) *Lease {
	return &Lease{start: time.Now().Add(s.startIn), expires: asked.Add(s.startIn + s.valid)}
}

// passOn returns what is left of a lease as a slice that counts from now.
func (l *Lease) passOn() slice {
	now := time.Now()
	start := l.start
	if start.Before(now) {
		start = now
	}
	return slice{start.Sub(now), l.expires.Sub(start)}
}
