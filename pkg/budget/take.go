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

// Names of the RPC methods between hosts.
const (
	methodSlice   = "budget.slice"
	methodLend    = "budget.lend"
	methodSupport = "budget.support"
	methodRelease = "budget.release"
)

// Options configure a Budget.
type Options struct {
	View membership.View
	// Caller and Registrar are this host's peer node. New must be called before the node starts.
	Caller    peer.Caller
	Registrar peer.Registrar
	// Cap returns a cap of the current configuration, or false if there is none of that name.
	Cap func(name string) (Cap, bool)
	// MinHosts is the minimum size of the failure domain, in hosts, when a majority is computed.
	MinHosts int
}

// Budget takes slices of caps for this host, and grants slices of the caps that this host holds. It is safe for concurrent use.
type Budget struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	// testGate, if not nil, blocks while a test simulates a pause of the host.
	testGate func()

	mu            sync.Mutex
	startedAt     time.Time
	holderStates  map[string]*holderState
	supportLeases map[string]supportLease
	// supportSequence is the sequence number of the last request for support.
	supportSequence uint64
	// lastSeen is when each host of the failure domain was last live.
	lastSeen map[string]time.Time
	// lenderBackoffUntil is the time before which a lender, by cap and failure domain, is not called again.
	lenderBackoffUntil map[[2]string]time.Time
}

// New returns a Budget and registers the handlers of its RPC methods.
func New(opts Options) *Budget {
	b := &Budget{
		opts: opts, startedAt: time.Now(), holderStates: map[string]*holderState{}, supportLeases: map[string]supportLease{},
		lastSeen: map[string]time.Time{}, lenderBackoffUntil: map[[2]string]time.Time{},
	}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	opts.Registrar.Handle(methodSlice, b.handleSlice)
	opts.Registrar.Handle(methodLend, b.handleLend)
	opts.Registrar.Handle(methodSupport, b.handleSupport)
	opts.Registrar.Handle(methodRelease, b.handleRelease)
	return b
}

// Close stops renewing support and cancels the calls for it.
func (b *Budget) Close() { b.cancel() }

// Take requests a slice of a cap and waits for the start of its interval, which is at most about 50 ms ahead. Call Check on
// the lease immediately before sending. The amount must be 1 for a cap on requests, and at most 1% of the failure domain's
// share per second for a cap in megabits. Take returns a *RefusedError if there is no budget, ErrExpired if the slice
// expired before it could be returned, and other errors with their step and peer if the call to the holder fails or ctx
// ends.
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

// request takes a slice from the holder of the local failure domain, which may be this host.
func (b *Budget) request(ctx context.Context, c Cap, amount float64, domain string) (*Lease, error) {
	holder, ok := b.holder(c.Name, domain)
	if !ok {
		return nil, &RefusedError{Cap: c.Name, RetryAfter: notReadyRetry, Reason: "no holder is known", NotReady: true}
	}
	requestedAt := time.Now()
	if holder.Host == b.opts.View.Self().Host {
		s, err := b.grantOrBorrow(ctx, c, amount)
		if err != nil {
			return nil, err
		}
		return newLease(requestedAt, s), nil
	}
	resp := &peerv1.SliceResponse{}
	req := &peerv1.SliceRequest{Cap: c.Name, Amount: amount}
	if err := b.opts.Caller.Call(ctx, holder.Address(), methodSlice, req, resp); err != nil {
		return nil, steperr.Wrap(err, "take budget", holder.Host)
	}
	b.waitAtTestGate()
	if resp.GetAmount() == 0 {
		return nil, &RefusedError{
			Cap: c.Name, RetryAfter: time.Duration(resp.GetRetryAfterMs()) * time.Millisecond,
			Reason: "the holder refused the request", NotReady: resp.GetNotReady(),
		}
	}
	return newLease(requestedAt, decodeSlice(resp.GetStartUs(), resp.GetValidUs())), nil
}

// waitAtTestGate marks a point at which tests can pause the host.
func (b *Budget) waitAtTestGate() {
	if b.testGate != nil {
		b.testGate()
	}
}

// newLease converts a slice to a lease on the local clock. Because the holder decided at an unknown time between requestedAt
// and now, the start is computed from now and the expiry from requestedAt: the lease lies within the granted interval in any
// case.
func newLease(requestedAt time.Time, s sliceWindow) *Lease {
	return &Lease{start: time.Now().Add(s.startIn), expires: requestedAt.Add(s.startIn + s.validFor)}
}

// remaining returns the rest of the lease's interval relative to now, to pass a borrowed slice on to another host.
func (l *Lease) remaining() sliceWindow {
	now := time.Now()
	start := l.start
	if start.Before(now) {
		start = now
	}
	return sliceWindow{start.Sub(now), l.expires.Sub(start)}
}
