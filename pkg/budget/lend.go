package budget

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	// lendHorizon is how far in the future a lent slice may start. It is shorter than grantHorizon, so that hosts of the holder's
	// own failure domain have priority.
	lendHorizon = grantHorizon / 5
	// lenderBackoff is the time after a failed call before the lender is called again.
	lenderBackoff = 50 * time.Millisecond
)

func decodeSlice(startUs, validUs uint64) sliceWindow {
	return sliceWindow{time.Duration(startUs) * time.Microsecond, time.Duration(validUs) * time.Microsecond}
}

// startUs and validUs return the start and the length of s in microseconds, as sent to other hosts. startUs rounds up and
// validUs rounds down, so that the interval on the wire lies within s.
func startUs(s sliceWindow) uint64 {
	return uint64((s.startIn + time.Microsecond - 1) / time.Microsecond)
}
func validUs(s sliceWindow) uint64 {
	return uint64(max(0, s.validFor-time.Microsecond) / time.Microsecond)
}

// handleSlice handles the call with which a host of the failure domain takes a slice from the holder.
func (b *Budget) handleSlice(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	b.waitAtTestGate()
	req := &peerv1.SliceRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	c, ok := b.opts.Cap(req.GetCap())
	if !ok {
		return nil, errors.Newf("no cap %q is configured", req.GetCap())
	}
	s, err := b.grantOrBorrow(ctx, c, req.GetAmount())
	b.waitAtTestGate()
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &peerv1.SliceResponse{
			RetryAfterMs: uint32(refused.RetryAfter.Milliseconds()) + 1, NotReady: refused.NotReady,
		}, nil
	}
	if err != nil {
		return nil, err
	}
	return &peerv1.SliceResponse{Amount: req.GetAmount(), StartUs: startUs(s), ValidUs: validUs(s)}, nil
}

// grantOrBorrow grants a slice of the local share, or else borrows one from the holder of another failure domain of the region.
// The retry time of a refusal is the earliest at which one of these holders may have budget.
func (b *Budget) grantOrBorrow(ctx context.Context, c Cap, amount float64) (sliceWindow, error) {
	s, refused := b.grant(c, amount, grantHorizon)
	if refused == nil {
		return s, nil
	}
	for _, domain := range c.Domains {
		if domain == b.opts.View.Self().FailureDomain {
			continue
		}
		s, retry := b.borrow(ctx, c, amount, domain)
		if retry == 0 {
			return s, nil
		}
		refused.RetryAfter = min(refused.RetryAfter, retry)
	}
	return sliceWindow{}, refused
}

// borrow requests a slice from the holder of another failure domain. It returns the slice and 0, or the time after which to
// retry. A lender that refuses or fails is not called again before that time.
func (b *Budget) borrow(ctx context.Context, c Cap, amount float64, domain string) (sliceWindow, time.Duration) {
	key := [2]string{c.Name, domain}
	if wait := b.lenderBackoffRemaining(key); wait > 0 {
		return sliceWindow{}, wait
	}
	lender, ok := b.holder(c.Name, domain)
	if !ok {
		return sliceWindow{}, b.backOffLender(key, lenderBackoff)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	resp := &peerv1.LendResponse{}
	req := &peerv1.LendRequest{Cap: c.Name, Wanted: amount, FailureDomain: b.opts.View.Self().FailureDomain}
	if err := b.opts.Caller.Call(ctx, lender.Address(), methodLend, req, resp); err != nil {
		return sliceWindow{}, b.backOffLender(key, lenderBackoff)
	}
	if resp.GetAmount() == 0 {
		return sliceWindow{}, b.backOffLender(key, time.Duration(resp.GetRetryAfterMs())*time.Millisecond)
	}
	s := newLease(requestedAt, decodeSlice(resp.GetStartUs(), resp.GetValidUs())).remaining()
	if s.validFor <= 0 {
		return sliceWindow{}, time.Millisecond
	}
	return s, 0
}

// lenderBackoffRemaining returns the time until a lender may be called again; it is 0 or less if it may be called now.
func (b *Budget) lenderBackoffRemaining(key [2]string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Until(b.lenderBackoffUntil[key])
}

// backOffLender blocks calls to a lender for wait, at least 1 ms, and returns the time that it applied.
func (b *Budget) backOffLender(key [2]string, wait time.Duration) time.Duration {
	wait = max(wait, time.Millisecond)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lenderBackoffUntil[key] = time.Now().Add(wait)
	return wait
}

// handleLend handles the call with which the holder of another failure domain borrows a slice.
func (b *Budget) handleLend(_ context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	b.waitAtTestGate()
	req := &peerv1.LendRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	c, ok := b.opts.Cap(req.GetCap())
	if !ok {
		return nil, errors.Newf("no cap %q is configured", req.GetCap())
	}
	s, refused := b.grant(c, req.GetWanted(), lendHorizon)
	if refused != nil {
		return &peerv1.LendResponse{RetryAfterMs: uint32(refused.RetryAfter.Milliseconds()) + 1}, nil
	}
	return &peerv1.LendResponse{Amount: req.GetWanted(), StartUs: startUs(s), ValidUs: validUs(s)}, nil
}
