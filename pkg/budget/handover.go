package budget

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Handover.
//
// A holder that is no longer the owner of its cap, because it leaves or because the owner has returned, stops granting and releases
// its support, so that its successor need not wait until the support expires. The successor starts after the last slice that the
// previous holder may have granted, as it does after an expiry. A release that arrives late ends no newer support, because both
// carry the holder's sequence number.

// watchOwner hands a cap over once another host owns it. It returns when this host's support has ended.
func (b *Budget) watchOwner(capName string) {
	domain := b.opts.View.Self().FailureDomain
	for {
		changed := b.opts.View.Changed()
		owner, known := b.holder(capName, domain)
		if known && owner.Host != b.opts.View.Self().Host {
			b.handOver(capName)
			return
		}
		left := b.supportRemaining(capName)
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-b.ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// supportRemaining returns for how long this host may still grant slices of a cap. It marks watchOwner as ended if that is 0 or less.
func (b *Budget) supportRemaining(capName string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holderStates[capName]
	left := time.Until(h.validUntil)
	h.watching = left > 0
	return left
}

// handOver stops granting slices of a cap and releases the support of the hosts of the failure domain.
func (b *Budget) handOver(capName string) {
	b.mu.Lock()
	h := b.holderStates[capName]
	h.validUntil, h.watching = time.Time{}, false
	h.releasedSequence = b.supportSequence
	sequence := h.releasedSequence
	b.mu.Unlock()
	for _, m := range membership.Owners(b.opts.View, b.opts.View.Self().FailureDomain) {
		go b.requestRelease(m, capName, sequence)
	}
}

// requestRelease releases the support of one host. If the call fails, the support expires.
func (b *Budget) requestRelease(m membership.Member, capName string, sequence uint64) {
	self := b.opts.View.Self()
	if m.Host == self.Host {
		b.releaseSupport(capName, self.Host, self.Incarnation, sequence)
		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	req := &peerv1.SupportRelease{Cap: capName, Sequence: sequence}
	if err := b.opts.Caller.Call(ctx, m.Address(), methodRelease, req, &peerv1.SupportReleaseResponse{}); err != nil {
		log.Info().Err(err).Str("step", "release support").Str("cap", capName).Msg("support of a cap's holder is left to expire")
	}
}

// handleRelease handles the release call.
func (b *Budget) handleRelease(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.SupportRelease{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	b.releaseSupport(req.GetCap(), from.Host, from.Incarnation, req.GetSequence())
	return &peerv1.SupportReleaseResponse{}, nil
}

// releaseSupport ends the support lease of a holder unless it was renewed by a request after the given sequence number.
func (b *Budget) releaseSupport(capName, host string, incarnation, sequence uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.supportLeases[capName]
	if s.host == host && s.incarnation == incarnation && s.sequence <= sequence {
		delete(b.supportLeases, capName)
	}
}

// nextSequence returns the sequence number of a new request for support.
func (b *Budget) nextSequence() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.supportSequence++
	return b.supportSequence
}
