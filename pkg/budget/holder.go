package budget

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
)

const (
	// supportTTL is the term of a support lease. A host that has just started grants none for the same time, because it does not
	// know the leases that it granted before.
	supportTTL = 2 * time.Second
	// renewMargin is the remaining term of a majority's support at which the holder renews it.
	renewMargin = 1 * time.Second
	// supportIdleTimeout is the time since the last use of a cap after which its support is no longer renewed.
	supportIdleTimeout = 1 * time.Minute
	// hostRetention is how long a host that is no longer live still counts toward the size of the majority.
	hostRetention = 10 * time.Minute
	// notReadyRetry is the retry time of refusals while no holder can grant.
	notReadyRetry = 200 * time.Millisecond
	callTimeout   = 500 * time.Millisecond
)

// holderState is the state of this host as holder of one cap.
type holderState struct {
	// validUntil is when the support of a majority expires.
	validUntil time.Time
	renewing   bool
	// watching is set while watchOwner runs.
	watching bool
	// releasedSequence is the sequence number up to which support was released and must not be used any more.
	releasedSequence uint64
	// lastUsed is when a slice was last requested.
	lastUsed time.Time
	schedule schedule
}

// supportLease is this host's promise to a holder not to support another holder of the cap until the lease expires. A host that
// has leases from a majority of its failure domain is the only one that grants slices of the domain's share.
type supportLease struct {
	host        string
	incarnation uint64
	// sequence is the sequence number of the holder's last request.
	sequence uint64
	until    time.Time
}

// holder returns the host of a failure domain that should hold a cap, by rendezvous hashing. It returns false if no host of the
// domain is known.
func (b *Budget) holder(capName, failureDomain string) (membership.Member, bool) {
	var hosts []string
	for _, m := range membership.Owners(b.opts.View, failureDomain) {
		hosts = append(hosts, m.Host)
	}
	return b.opts.View.Lookup(rendezvous.Owner("budget/"+capName+"/"+failureDomain, hosts))
}

// handleSupport handles the support call: it grants the sender a support lease unless another holder has one.
func (b *Budget) handleSupport(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.SupportRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, err
	}
	return &peerv1.SupportResponse{Supported: b.grantSupport(req.GetCap(), from.Host, from.Incarnation, req.GetSequence())}, nil
}

// grantSupport grants or renews a support lease for a cap. It returns false if another host or incarnation has a valid
// lease, or if this host has just started.
func (b *Budget) grantSupport(capName, host string, incarnation, sequence uint64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Before(b.startedAt.Add(supportTTL)) {
		return false
	}
	// Record the share: if this host becomes the holder, it must know the earlier shares to delay an increase.
	if c, ok := b.opts.Cap(capName); ok {
		b.holderState(capName).schedule.setShare(c.share(b.opts.View.Self().FailureDomain), now)
	}
	s := b.supportLeases[capName]
	// An earlier incarnation of the same host does not qualify: slices that it granted may still be valid.
	if now.Before(s.until) && (s.host != host || s.incarnation != incarnation) {
		return false
	}
	if s.host == host && s.incarnation == incarnation {
		sequence = max(sequence, s.sequence)
	}
	b.supportLeases[capName] = supportLease{host, incarnation, sequence, now.Add(supportTTL)}
	return true
}

// renew requests support from the hosts of the failure domain and extends the validity of this host as holder if a majority of
// the known hosts grants it.
func (b *Budget) renew(c Cap) {
	requestedAt, sequence := time.Now(), b.nextSequence()
	members := membership.Owners(b.opts.View, b.opts.View.Self().FailureDomain)
	answers := make(chan bool, len(members))
	for _, m := range members {
		go func() { answers <- b.requestSupport(m, c.Name, sequence) }()
	}
	supporters := 0
	for range members {
		if <-answers {
			supporters++
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holderStates[c.Name]
	h.renewing = false
	if 2*supporters <= b.knownHosts(requestedAt) || sequence <= h.releasedSequence {
		return
	}
	if now := time.Now(); !now.Before(h.validUntil) {
		// This host's support had expired, so another holder may have granted slices until now. Start after the last of them.
		h.schedule.nextStart = now.Add(grantHorizon + sliceTTL + b.maxSpacing(c))
	}
	h.validUntil = requestedAt.Add(supportTTL)
	if !h.watching {
		h.watching = true
		go b.watchOwner(c.Name)
	}
	time.AfterFunc(renewMargin, func() { b.renewIfInUse(c.Name) })
}

// renewIfInUse renews the support for a cap that was used within supportIdleTimeout. Otherwise the first uses after an idle
// time of supportTTL would be refused until support is regained.
func (b *Budget) renewIfInUse(capName string) {
	c, ok := b.opts.Cap(capName)
	if !ok {
		return
	}
	owner, _ := b.holder(capName, b.opts.View.Self().FailureDomain)
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.holderStates[capName]
	idle := time.Since(h.lastUsed) > supportIdleTimeout
	if idle || h.renewing || b.ctx.Err() != nil || owner.Host != b.opts.View.Self().Host {
		return
	}
	h.renewing = true
	go b.renew(c)
}

// maxSpacing returns the time between the start of the largest slice and that of the next one.
func (b *Budget) maxSpacing(c Cap) time.Duration {
	domain := b.opts.View.Self().FailureDomain
	share := c.share(domain)
	if share <= 0 {
		return 0
	}
	return time.Duration(c.maxSliceAmount(domain) / share * float64(time.Second+sliceTTL))
}

// requestSupport requests support from one host, which may be this one. It returns false if the call fails.
func (b *Budget) requestSupport(m membership.Member, capName string, sequence uint64) bool {
	self := b.opts.View.Self()
	if m.Host == self.Host {
		return b.grantSupport(capName, self.Host, self.Incarnation, sequence)
	}
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	resp := &peerv1.SupportResponse{}
	err := b.opts.Caller.Call(ctx, m.Address(), methodSupport, &peerv1.SupportRequest{Cap: capName, Sequence: sequence}, resp)
	return err == nil && resp.GetSupported()
}

// knownHosts returns the number of hosts of the failure domain that were live within hostRetention, at least MinHosts. Counting
// hosts that are no longer live prevents a majority on both sides of a network partition; other hosts that announced their leave
// are not counted. b.mu must be held.
func (b *Budget) knownHosts(now time.Time) int {
	self := b.opts.View.Self()
	for _, m := range membership.Owners(b.opts.View, self.FailureDomain) {
		b.lastSeen[m.Host] = now
	}
	for host, at := range b.lastSeen {
		m, ok := b.opts.View.Lookup(host)
		leaving := ok && m.State == membership.StateLeaving && host != self.Host
		if leaving || now.Sub(at) > hostRetention {
			delete(b.lastSeen, host)
		}
	}
	return max(len(b.lastSeen), b.opts.MinHosts)
}

// sliceWindow is the interval in which a granted slice may be used, relative to the time of the holder's decision.
type sliceWindow struct {
	startIn  time.Duration
	validFor time.Duration
}

// grant reserves a slice of the failure domain's share that starts within limit, if this host holds the cap.
func (b *Budget) grant(c Cap, amount float64, limit time.Duration) (sliceWindow, *RefusedError) {
	domain := b.opts.View.Self().FailureDomain
	b.mu.Lock()
	defer b.mu.Unlock()
	// All times below derive from this one reading of the clock. A pause after it can only shorten the slice, because the
	// receiver computes the expiry from the time before its request.
	now := time.Now()
	h := b.holderState(c.Name)
	h.schedule.setShare(c.share(domain), now)
	// A host that is no longer the owner does not renew its support, so that its successor can take over (see watchOwner).
	owner, _ := b.holder(c.Name, domain)
	h.lastUsed = now
	renew := h.validUntil.Sub(now) < renewMargin && owner.Host == b.opts.View.Self().Host
	if renew && !h.renewing && b.ctx.Err() == nil {
		h.renewing = true
		go b.renew(c)
	}
	if !now.Before(h.validUntil) {
		return sliceWindow{}, &RefusedError{
			Cap: c.Name, RetryAfter: notReadyRetry, Reason: "the holder lacks support of a majority of its failure domain", NotReady: true,
		}
	}
	if amount <= 0 || amount > c.maxSliceAmount(domain)*(1+1e-9) {
		return sliceWindow{}, &RefusedError{Cap: c.Name, RetryAfter: raiseDelay, Reason: "the amount exceeds the largest slice"}
	}
	start, retry := h.schedule.reserve(c.Unit, amount, now, limit)
	if retry > 0 {
		return sliceWindow{}, &RefusedError{Cap: c.Name, RetryAfter: retry, Reason: "the share of the failure domain is exhausted"}
	}
	invariant.Check(!start.Before(now) && !start.After(now.Add(grantHorizon)), "budget-horizon", "slice of cap %s starts %s ahead",
		c.Name, start.Sub(now))
	return sliceWindow{start.Sub(now), sliceTTL}, nil
}

// holderState returns the state for a cap and creates it on first use. b.mu must be held.
func (b *Budget) holderState(capName string) *holderState {
	h := b.holderStates[capName]
	if h == nil {
		h = &holderState{}
		b.holderStates[capName] = h
	}
	return h
}
