package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// commitTimeout limits one call of Commit.
	commitTimeout = 10 * time.Second
	// minBackoff and maxBackoff bound the pauses between attempts.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// commitRequest is one call of Commit.
type commitRequest struct {
	requestID string
	mutations []*configv1.Mutation
	hash      uint64
	// unresolved says that a transaction on head row version pendingRow may still take effect.
	unresolved        bool
	unresolvedHeadRow uint64
}

// Commit commits mutations as one change and returns its version. A repeat with the same request ID and content returns
// the version of the first commit. Errors: *ValidationError, *VersionConflict, ErrRequestIDReused;
// store.ErrUnavailable if nothing was written; store.ErrUnknownOutcome if the outcome could not be read back yet,
// in which case the caller repeats the call with the same request ID.
func (m *Manager) Commit(ctx context.Context, requestID string, mutations []*configv1.Mutation) (uint64, error) {
	if m.options.ReadOnly {
		return 0, ErrReadOnly
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := (&problems{}).checkRequest(requestID, mutations); err != nil {
		return 0, err
	}
	select {
	case m.commitSlot <- struct{}{}:
		defer func() { <-m.commitSlot }()
	case <-ctx.Done():
		return 0, errors.Mark(steperr.Wrap(ctx.Err(), "wait for earlier commits", ""), store.ErrUnavailable)
	}
	a := &commitRequest{requestID: requestID, mutations: mutations, hash: hashMutations(mutations)}
	return m.commitUntilResolved(ctx, a)
}

func (p *problems) checkRequest(requestID string, mutations []*configv1.Mutation) error {
	p.checkStructure(&configv1.Change{RequestId: requestID, Mutations: mutations})
	return p.err()
}

// commitUntilResolved tries until there is a definite outcome. It goes on after a lost race, because the objects may be
// unchanged, and after an unknown outcome. It stops on an outage only if nothing can have been written.
func (m *Manager) commitUntilResolved(ctx context.Context, a *commitRequest) (uint64, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		version, err := m.tryCommit(ctx, a)
		switch {
		case err == nil:
			m.count("commits")
			return version, nil
		case errors.Is(err, store.ErrConflict):
			m.count("commit_conflicts")
		case errors.Is(err, store.ErrUnknownOutcome):
			m.count("commit_unknown")
		case a.unresolved:
			// Any other failure leaves it open whether the earlier transaction takes effect.
		default:
			return 0, err
		}
		if !m.sleepWithJitter(ctx, backoff) {
			return 0, a.timeoutError(err)
		}
	}
}

// timeoutError returns the error for a commit that has run out of time.
func (a *commitRequest) timeoutError(last error) error {
	if a.unresolved {
		return errors.Mark(steperr.Wrap(last, "read back the outcome", "platform"), store.ErrUnknownOutcome)
	}
	return errors.Mark(steperr.Wrap(last, "commit change", "platform"), store.ErrUnavailable)
}

// tryCommit reads the head, reads back the request ID, and only then commits on condition of that head. The order is
// what makes it safe: a transaction of an earlier attempt either has taken effect and left its request record, or the
// head row has moved and it never will, or it competes with this one for the same head row and only one succeeds.
func (m *Manager) tryCommit(ctx context.Context, a *commitRequest) (uint64, error) {
	h, err := m.readHead(ctx)
	if err != nil {
		return 0, err
	}
	record, err := m.readRequest(ctx, a.requestID)
	if err != nil {
		return 0, err
	}
	if record != nil {
		return m.resolveRepeat(ctx, a, record)
	}
	if a.unresolved && h.row != a.unresolvedHeadRow {
		a.unresolved = false
	}
	if err := m.readUpTo(ctx, h); err != nil {
		return 0, err
	}
	latest := m.history.latestSnapshot()
	if latest.Version != h.GetVersion() {
		// Another change arrived since the head was read.
		return 0, steperr.Wrap(store.ErrConflict, "commit change", "platform")
	}
	if err := checkBaseVersions(latest, a.mutations); err != nil {
		return 0, err
	}
	return m.commitChange(ctx, a, h, latest)
}

// resolveRepeat answers a request ID that is already committed. It succeeds only once this host has read the change: if the
// platform fails before any host has, the change would be reported as accepted and come into force nowhere.
func (m *Manager) resolveRepeat(ctx context.Context, a *commitRequest, record *configv1.RequestRecord) (uint64, error) {
	if record.GetContentHash() != a.hash {
		a.unresolved = false
		return 0, ErrRequestIDReused
	}
	if record.GetVersion() > m.history.version() {
		a.unresolved = true
		h, err := m.readHead(ctx)
		if err != nil {
			return 0, err
		}
		if err := m.readAndPush(ctx, h); err != nil {
			return 0, err
		}
	}
	a.unresolved = false
	return record.GetVersion(), nil
}

func (m *Manager) commitChange(ctx context.Context, a *commitRequest, h head, latest *Snapshot) (uint64, error) {
	change := newChange(latest, a)
	if err := Validate(latest, change); err != nil {
		return 0, err
	}
	txn, err := commitTxn(h, change, a.hash)
	if err != nil {
		return 0, err
	}
	err = m.platform.Commit(ctx, txn)
	if errors.Is(err, store.ErrUnknownOutcome) {
		a.unresolved, a.unresolvedHeadRow = true, h.row
	}
	if err != nil {
		return 0, steperr.Wrap(err, "commit change", "platform")
	}
	a.unresolved = false
	m.applyCommitted(change, h)
	return change.GetVersion(), nil
}

// applyCommitted puts an own change into force and passes it on without waiting for a poll.
func (m *Manager) applyCommitted(change *configv1.Change, h head) {
	err := m.history.apply([]*configv1.Change{change})
	invariant.Check(err == nil, "config-commit-applies", "version %d: %v", change.GetVersion(), err)
	m.pushToAllDomains([]*configv1.Change{change})
	if change.GetVersion() >= h.GetCheckpointVersion()+m.options.CheckpointEvery {
		m.spawn(m.checkpoint)
	}
}

// newChange builds the change that follows tip.
func newChange(base *Snapshot, a *commitRequest) *configv1.Change {
	now := time.Now().UnixMilli()
	change := &configv1.Change{Version: base.Version + 1, RequestId: a.requestID, CommittedUnixMs: now}
	for _, mutation := range a.mutations {
		mutation = proto.CloneOf(mutation)
		setStartTime(base, mutation.GetPut(), now)
		change.Mutations = append(change.Mutations, mutation)
	}
	return change
}

// setStartTime gives a new drain or move its start, and a changed one the start that it had.
func setStartTime(base *Snapshot, o *configv1.Object, now int64) {
	before := base.Object(KeyOf(o))
	if drain := o.GetDrain(); drain != nil {
		drain.StartedUnixMs = now
		if old := before.GetDrain(); old != nil {
			drain.StartedUnixMs = old.GetStartedUnixMs()
		}
	}
	if move := o.GetMove(); move != nil {
		move.StartedUnixMs = now
		if old := before.GetMove(); old != nil {
			move.StartedUnixMs = old.GetStartedUnixMs()
		}
	}
}
