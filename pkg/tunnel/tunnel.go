// Package tunnel opens connections to targets. While this host is isolated, that is, reaches no target by itself, it opens them
// through another host of its dispatch domain, the gateway, which copies the bytes of the connection.
package tunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	// directTimeout limits a direct connection attempt. The rest of the caller's time remains for a gateway.
	directTimeout = time.Second
	// gatewayTimeout limits the attempt to open a connection through one gateway, gatewayDialTimeout the gateway's own attempt. The rest
	// is for the check whether the gateway is isolated.
	gatewayTimeout     = 600 * time.Millisecond
	gatewayDialTimeout = 250 * time.Millisecond
	// maxGateways limits the gateways that are tried for one connection.
	maxGateways = 6
)

var errNoGateway = errors.New("this host is isolated, and no other host of the dispatch domain reaches targets")

// Target is a target of the dispatch domain.
type Target struct {
	Address string
	// Place is the failure domain in which the target physically is.
	Place string
	// HealthPath is the path of its health check; empty means OPTIONS *.
	HealthPath string
}

// Options are the dependencies of a Dialer. Scope may be nil.
type Options struct {
	// Dial opens a direct connection; nil means NewDirect().
	Dial      upstream.DialFunc
	Forwarder peer.Forwarder
	Members   membership.View
	// Targets returns the targets of the dispatch domain. Place is the failure domain of this host.
	Targets func() []Target
	Place   string
	// Forbids reports whether the target at an address has told this host that it wants no more requests; it may be nil.
	Forbids func(address string) bool
	// SetIsolated is called when this host becomes isolated and when it reaches targets again; it may be nil.
	SetIsolated func(isolated bool)
	Scope       tally.Scope
}

// Dialer opens connections to targets, directly or through a gateway, and serves other hosts as a gateway.
type Dialer struct {
	opts      Options
	isolation *isolation
	metrics   metrics
	// serving is the number of connections that are open for other hosts.
	serving atomic.Int64
}

// New returns a Dialer. Call Close when no more connections are opened.
func New(opts Options) *Dialer {
	if opts.Dial == nil {
		opts.Dial = NewDirect()
	}
	if opts.Scope == nil {
		opts.Scope = tally.NoopScope
	}
	if opts.Forbids == nil {
		opts.Forbids = func(string) bool { return false }
	}
	if opts.SetIsolated == nil {
		opts.SetIsolated = func(bool) {}
	}
	m := newMetrics(opts.Scope)
	return &Dialer{opts: opts, metrics: m, isolation: newIsolation(opts, m)}
}

// Close ends the detection of the isolation.
func (d *Dialer) Close() { d.isolation.close() }

// Isolated reports whether this host reaches no target by itself.
func (d *Dialer) Isolated() bool { return d.isolation.active.Load() }

// Observe records whether a target has answered a request on a connection from this host. After unansweredTargets targets in a row that have
// not, it checks whether this host is isolated, until ctx ends: something on the way may accept connections and pass nothing on.
func (d *Dialer) Observe(ctx context.Context, address string, answered bool) {
	if answered {
		d.isolation.clearUnanswered()
		return
	}
	if !d.Isolated() && d.isolation.addUnanswered(address) >= unansweredTargets {
		d.isolation.check(ctx, address)
	}
}

// ReachesTargets reports whether connections to targets can be opened, directly or through a gateway.
func (d *Dialer) ReachesTargets() bool { return !d.Isolated() || len(d.gateways()) > 0 }

// DialContext opens a connection to a target. It returns an error marked with upstream.ErrNoPath if this host is isolated and finds no
// gateway in time. Any other error means that the target accepts no connection, or that ctx has ended.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if !d.Isolated() {
		conn, err := d.dialDirect(ctx, network, address)
		if err == nil || ctx.Err() != nil || !d.isolation.check(ctx, address) {
			return conn, err
		}
	}
	return d.dialThroughGateway(ctx, address)
}

func (d *Dialer) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, directTimeout)
	defer cancel()
	return d.opts.Dial(ctx, network, address)
}

// dialThroughGateway tries the gateways in turn until one has a conclusive answer.
func (d *Dialer) dialThroughGateway(ctx context.Context, address string) (net.Conn, error) {
	failed := error(nil)
	for _, gateway := range d.gateways() {
		conn, err := d.open(ctx, gateway.Address(), address)
		if err == nil {
			d.metrics.opened.Inc(1)
			return conn, nil
		}
		failed = steperr.Wrap(err, "open tunnel", gateway.Host)
		if errors.Is(err, errTargetUnreachable) {
			return nil, failed
		}
		if ctx.Err() != nil {
			break
		}
	}
	d.metrics.failed.Inc(1)
	return nil, errors.Mark(errors.CombineErrors(errNoGateway, failed), upstream.ErrNoPath)
}

// gateways returns up to maxGateways other hosts of the dispatch domain that reach targets, in random order.
func (d *Dialer) gateways() []membership.Member {
	self := d.opts.Members.Self()
	var list []membership.Member
	for _, m := range d.opts.Members.Domain(self.FailureDomain) {
		if m.Host != self.Host && m.IsUsable() {
			list = append(list, m)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), maxGateways)]
}
