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
	// commitTimeout is the timeout of one call of Commit, including its retries.
	commitTimeout = 10 * time.Second
	// minBackoff and maxBackoff bound the exponential backoff between attempts.
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// commitRequest is the state of one call of Commit.
type commitRequest struct {
	requestID string
	mutations []*configv1.Mutation
	hash      uint64
	// unresolved is set while a transaction of an earlier attempt may still take effect. That transaction is conditional on
	// version unresolvedHeadRow of the head row.
	unresolved        bool
	unresolvedHeadRow uint64
}

// Commit commits mutations as one change and returns its version. It is idempotent: a call with the request ID and the content
// of a committed change returns the version of that change. The error is ErrReadOnly, *ValidationError, *VersionConflict or
// ErrRequestIDReused; store.ErrUnavailable if nothing was written; or store.ErrUnknownOutcome if the change may have been
// written, in which case the client repeats the call with the same request ID to get the outcome.
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
	req := &commitRequest{requestID: requestID, mutations: mutations, hash: hashMutations(mutations)}
	return m.commitUntilResolved(ctx, req)
}

// checkRequest checks the request ID and the mutations without reference to a snapshot.
func (p *problems) checkRequest(requestID string, mutations []*configv1.Mutation) error {
	p.checkStructure(&configv1.Change{RequestId: requestID, Mutations: mutations})
	return p.err()
}

// commitUntilResolved repeats tryCommit with exponential backoff until the outcome is definite. It retries after a conflict on
// the head row, because the other change may concern other objects, and after an unknown outcome. It returns any other error
// at once, for example that of an outage, unless a transaction of an earlier attempt may still take effect.
func (m *Manager) commitUntilResolved(ctx context.Context, req *commitRequest) (uint64, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		version, err := m.tryCommit(ctx, req)
		switch {
		case err == nil:
			m.count("commits")
			return version, nil
		case errors.Is(err, store.ErrConflict):
			m.count("commit_conflicts")
		case errors.Is(err, store.ErrUnknownOutcome):
			m.count("commit_unknown")
		case req.unresolved:
			// The error concerns this attempt only; the transaction of an earlier attempt may still take effect.
		default:
			return 0, err
		}
		if !m.sleepWithJitter(ctx, backoff) {
			return 0, req.timeoutError(err)
		}
	}
}

// timeoutError returns the error of a commit that has reached its deadline: store.ErrUnknownOutcome if a transaction may still
// take effect, otherwise store.ErrUnavailable.
func (req *commitRequest) timeoutError(last error) error {
	if req.unresolved {
		return errors.Mark(steperr.Wrap(last, "read back the outcome", "platform"), store.ErrUnknownOutcome)
	}
	return errors.Mark(steperr.Wrap(last, "commit change", "platform"), store.ErrUnavailable)
}

// tryCommit makes one attempt. It reads the head row, then the request record, and only then commits the change on condition
// that the head row is unchanged. This order prevents a second commit of the same request. A transaction of an earlier attempt
// either has taken effect, and its request record is found; or the head row has changed since, and it can no longer take
// effect; or it is conditional on the same version of the head row as the new transaction, and only one of them succeeds.
func (m *Manager) tryCommit(ctx context.Context, req *commitRequest) (uint64, error) {
	h, err := m.readHead(ctx)
	if err != nil {
		return 0, err
	}
	record, err := m.readRequest(ctx, req.requestID)
	if err != nil {
		return 0, err
	}
	if record != nil {
		return m.resolveRepeat(ctx, req, record)
	}
	if req.unresolved && h.row != req.unresolvedHeadRow {
		req.unresolved = false
	}
	if err := m.readUpTo(ctx, h); err != nil {
		return 0, err
	}
	latest := m.history.latestSnapshot()
	if latest.Version != h.GetVersion() {
		// This host has applied another change since the head was read.
		return 0, steperr.Wrap(store.ErrConflict, "commit change", "platform")
	}
	if err := checkBaseVersions(latest, req.mutations); err != nil {
		return 0, err
	}
	return m.commitChange(ctx, req, h, latest)
}

// resolveRepeat returns the version of a request that is already committed, after this host has read the change. Without that
// read, Commit would report a change that comes into force on no host if the platform fails before any host has read it.
func (m *Manager) resolveRepeat(ctx context.Context, req *commitRequest, record *configv1.RequestRecord) (uint64, error) {
	if record.GetContentHash() != req.hash {
		req.unresolved = false
		return 0, ErrRequestIDReused
	}
	if record.GetVersion() > m.history.version() {
		req.unresolved = true
		h, err := m.readHead(ctx)
		if err != nil {
			return 0, err
		}
		if err := m.readAndPush(ctx, h); err != nil {
			return 0, err
		}
	}
	req.unresolved = false
	return record.GetVersion(), nil
}

// commitChange validates the change that req makes to latest, commits it on condition that the head row is unchanged since h was
// read, and applies it.
func (m *Manager) commitChange(ctx context.Context, req *commitRequest, h head, latest *Snapshot) (uint64, error) {
	change := newChange(latest, req)
	if err := Validate(latest, change); err != nil {
		return 0, err
	}
	txn, err := commitTxn(h, change, req.hash)
	if err != nil {
		return 0, err
	}
	err = m.platform.Commit(ctx, txn)
	if errors.Is(err, store.ErrUnknownOutcome) {
		req.unresolved, req.unresolvedHeadRow = true, h.row
	}
	if err != nil {
		return 0, steperr.Wrap(err, "commit change", "platform")
	}
	req.unresolved = false
	m.applyCommitted(change, h)
	return change.GetVersion(), nil
}

// applyCommitted applies a change that this host has committed and pushes it to the other hosts, so that they need not wait for a
// poll. It starts a checkpoint if the last one is CheckpointEvery or more versions old.
func (m *Manager) applyCommitted(change *configv1.Change, h head) {
	err := m.history.apply([]*configv1.Change{change})
	invariant.Check(err == nil, "config-commit-applies", "committed version %d cannot be applied: %v", change.GetVersion(), err)
	m.pushToAllDomains([]*configv1.Change{change})
	if change.GetVersion() >= h.GetCheckpointVersion()+m.options.CheckpointEvery {
		m.spawn(m.checkpoint)
	}
}

// newChange returns the change with the mutations of req that follows base.
func newChange(base *Snapshot, req *commitRequest) *configv1.Change {
	now := time.Now().UnixMilli()
	change := &configv1.Change{Version: base.Version + 1, RequestId: req.requestID, CommittedUnixMs: now}
	for _, mutation := range req.mutations {
		mutation = proto.CloneOf(mutation)
		setStartTime(base, mutation.GetPut(), now)
		change.Mutations = append(change.Mutations, mutation)
	}
	return change
}

// setStartTime sets the start time of a drain or move: to now, in Unix milliseconds, if the object is new, otherwise to the start
// time of the existing object.
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
