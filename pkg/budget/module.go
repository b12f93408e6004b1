package budget

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// ModuleID is the module's name in the kernel.
const ModuleID = "budget"

// maxAdmitAttempts limits the attempts to take budget for one request when a slice expires before its use or the holder is not
// ready.
const maxAdmitAttempts = 3

func init() {
	kernel.Register(kernel.Info{
		ID: ModuleID, After: []string{peer.ModuleID, membership.ModuleID, config.ModuleID},
		New: func() kernel.Module { return &Module{} },
	})
}

// Module is the kernel module that owns the daemon's Budget and Pacer.
type Module struct {
	Budget *Budget
	Pacer  *Pacer

	store   *config.Store
	members membership.View
	region  string
	caps    atomic.Pointer[capTable]

	mu sync.Mutex
	// refusedUntil is the time, by cap, until which requests are refused without a call to the holder.
	refusedUntil map[string]time.Time
}

// capTable holds the caps of one configuration snapshot.
type capTable struct {
	snapshot *config.Snapshot
	caps     map[string]Cap
	// links holds the cap names of the links that leave this host's region, by destination region.
	links map[string]string
}

var _ kernel.Module = (*Module)(nil)

// Provision creates the Budget and the Pacer.
func (m *Module) Provision(app *kernel.App) error {
	var (
		node    *peer.Module
		members *membership.Module
		conf    *config.Module
	)
	err := kernel.Bind(app,
		kernel.To(&node, peer.ModuleID),
		kernel.To(&members, membership.ModuleID),
		kernel.To(&conf, config.ModuleID),
	)
	if err != nil {
		return err
	}
	m.store, m.members, m.region = conf.Store, members.Tracker, app.Settings.Region
	m.Budget = New(Options{View: members.Tracker, Caller: node.Node, Registrar: node.Node, Cap: m.cap, MinHosts: app.Settings.MinDomainHosts})
	m.refusedUntil = map[string]time.Time{}
	m.Pacer = NewPacer(m.Budget, m.link)
	return nil
}

// Validate does nothing: the module has no settings of its own.
func (m *Module) Validate() error { return nil }

// Start does nothing: the Budget starts its goroutines on demand.
func (m *Module) Start(context.Context) error { return nil }

// Cleanup closes the Budget.
func (m *Module) Cleanup(context.Context) error {
	if m.Budget != nil {
		m.Budget.Close()
	}
	return nil
}

// Admit takes budget for one request of a service that is shifted from this region to another one. It returns a
// *permit.RefusedError if the cap on that shift has no budget left. A shift without a cap is always admitted.
func (m *Module) Admit(ctx context.Context, service, toRegion string) error {
	name := ShiftCapName(service, m.region, toRegion)
	if _, capped := m.cap(name); !capped {
		return nil
	}
	if left := m.backoffRemaining(name); left > 0 {
		return toPermitError(&RefusedError{Cap: name, RetryAfter: left, Reason: "an earlier request was refused"})
	}
	var err error
	for range maxAdmitAttempts {
		// No Check is needed here: Take checks the lease before it returns.
		if _, err = m.Budget.Take(ctx, name, 1); err == nil {
			return nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) && refused.NotReady {
			if err := sleepFor(ctx, refused.RetryAfter); err != nil {
				return err
			}
			continue
		}
		if !errors.Is(err, ErrExpired) {
			break
		}
	}
	m.recordRefusal(name, err)
	return toPermitError(err)
}

// backoffRemaining returns the time until a refused cap may be requested again; it is 0 or less if it may be requested now.
func (m *Module) backoffRemaining(name string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Until(m.refusedUntil[name])
}

// recordRefusal sets the time until which a cap is refused locally, if err is a *RefusedError.
func (m *Module) recordRefusal(name string, err error) {
	var refused *RefusedError
	if !errors.As(err, &refused) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusedUntil[name] = time.Now().Add(refused.RetryAfter)
}

// toPermitError converts a *RefusedError to a *permit.RefusedError for overload, and returns other errors unchanged.
func toPermitError(err error) error {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return &permit.RefusedError{
			Reason: peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD, RetryAfter: refused.RetryAfter,
		}
	}
	return err
}

func (m *Module) cap(name string) (Cap, bool) {
	c, ok := m.table().caps[name]
	return c, ok
}

// link returns the name of the cap on the link to a host. It returns false if the host is in this region or unknown, or if
// the link has no cap.
func (m *Module) link(host string) (string, bool) {
	member, ok := m.members.Lookup(host)
	if !ok || member.Region == m.region {
		return "", false
	}
	name, ok := m.table().links[member.Region]
	return name, ok
}

// table returns the caps of the current configuration snapshot. It rebuilds the table when the snapshot has changed.
func (m *Module) table() *capTable {
	snap := m.store.Current()
	t := m.caps.Load()
	if t == nil || t.snapshot != snap {
		t = newCapTable(snap, m.region)
		m.caps.Store(t)
	}
	return t
}

func newCapTable(snap *config.Snapshot, region string) *capTable {
	t := &capTable{snapshot: snap, caps: CapsFromSnapshot(snap), links: map[string]string{}}
	for _, o := range snap.List(config.KindLink) {
		if l := o.GetLink(); l.GetFromRegion() == region {
			t.links[l.GetToRegion()] = LinkCapName(l.GetName())
		}
	}
	return t
}
