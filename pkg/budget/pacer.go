package budget

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
)

const (
	bitsPerByte = 8
	megabit     = 1e6
	// wireOverhead is the factor by which HTTP, yamux, TCP and IP framing increases the payload; the Pacer counts only payload.
	wireOverhead = 1.05
	// firstLeaseBytes is the smallest size to which the leases of a link shrink; the first lease has twice that size. The cap
	// may limit both further.
	firstLeaseBytes = 64 << 10
)

// Pacer delays the bytes that are sent over a link until the link's cap has budget for them.
type Pacer struct {
	budget *Budget
	// link returns the name of the cap on the link to a host, or false if there is none.
	link func(host string) (capName string, ok bool)

	mu    sync.Mutex
	links map[string]*linkState
}

// NewPacer returns a Pacer that takes budget from b. link returns the name of the cap on the link to a host, or false if
// sending to the host is not capped.
func NewPacer(b *Budget, link func(host string) (capName string, ok bool)) *Pacer {
	return &Pacer{budget: b, link: link, links: map[string]*linkState{}}
}

// linkState holds the current lease of a link, which all streams of this host over the link share. A lease is valid for
// milliseconds and its unused part is lost, so its size adapts to the demand.
type linkState struct {
	// lock is a mutex with cancellable locking, held by the stream that uses or renews the lease.
	lock  chan struct{}
	lease *Lease
	// remaining is the unused part of the lease, in bytes.
	remaining int
	// size is the size of the lease when it was taken, in bytes.
	size int
}

// Pace blocks until n more bytes may be sent to a host. It returns an error if ctx ends first. Write the bytes immediately
// after Pace returns: the budget is valid for milliseconds.
func (p *Pacer) Pace(ctx context.Context, toHost string, n int) error {
	name, ok := p.link(toHost)
	if !ok {
		return nil
	}
	l := p.linkState(name)
	select {
	case l.lock <- struct{}{}:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	defer func() { <-l.lock }()
	for n > 0 {
		if l.remaining == 0 || l.lease.Check() != nil {
			if err := p.renew(ctx, name, l, n); err != nil {
				return err
			}
			continue
		}
		used := min(n, l.remaining)
		l.remaining -= used
		n -= used
	}
	return nil
}

func (p *Pacer) linkState(name string) *linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.links[name]
	if l == nil {
		l = &linkState{lock: make(chan struct{}, 1), size: firstLeaseBytes}
		p.links[name] = l
	}
	return l
}

// renew takes the next lease of a link, for at least wanted bytes if the cap permits slices of that size. If there is no
// budget yet, renew waits and returns nil without a new lease, and the caller retries. The size doubles after a lease that
// was used up; after one that expired, it shrinks to the part that was used.
func (p *Pacer) renew(ctx context.Context, name string, l *linkState, wanted int) error {
	largest := p.maxLeaseBytes(name)
	if largest == 0 {
		// The cap was removed or lowered to 0: retry later.
		return sleepFor(ctx, notReadyRetry)
	}
	next := 2 * l.size
	if l.remaining > 0 {
		next = max(l.size-l.remaining, firstLeaseBytes)
	}
	next = min(max(next, wanted), largest)
	lease, err := p.budget.Take(ctx, name, megabits(next))
	var refused *RefusedError
	switch {
	case errors.As(err, &refused):
		return sleepFor(ctx, max(refused.RetryAfter, time.Millisecond))
	case errors.Is(err, ErrExpired):
		return nil
	case err != nil && ctx.Err() == nil:
		// The call to the holder failed. Retry later: membership replaces a holder that is down.
		return sleepFor(ctx, notReadyRetry)
	case err != nil:
		return err
	}
	l.lease, l.remaining, l.size = lease, next, next
	return nil
}

// maxLeaseBytes returns the size of the largest lease of a cap, in bytes, or 0 if the cap does not exist or grants nothing.
func (p *Pacer) maxLeaseBytes(name string) int {
	c, ok := p.budget.opts.Cap(name)
	if !ok {
		return 0
	}
	amount := c.maxSliceAmount(p.budget.opts.View.Self().FailureDomain)
	return int(amount * megabit / bitsPerByte / wireOverhead)
}

func megabits(bytes int) float64 { return float64(bytes) * bitsPerByte * wireOverhead / megabit }

// sleepFor sleeps for d. It returns the cause if ctx ends first.
func sleepFor(ctx context.Context, d time.Duration) error {
	if !sleep.For(ctx, d) {
		return context.Cause(ctx)
	}
	return nil
}
