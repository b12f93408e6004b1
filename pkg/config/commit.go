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

// attempt is one call of Commit.
type attempt struct {
	requestID string
	mutations []*configv1.Mutation
	hash      uint64
	// pending says that a transaction on head row version pendingRow may still take effect.
	pending    bool
	pendingRow uint64
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
	if err := (&problems{}).envelopeOf(requestID, mutations); err != nil {
		return 0, err
	}
	select {
	case m.committing <- struct{}{}:
		defer func() { <-m.committing }()
	case <-ctx.Done():
		return 0, errors.Mark(steperr.Wrap(ctx.Err(), "wait for earlier commits", ""), store.ErrUnavailable)
	}
	a := &attempt{requestID: requestID, mutations: mutations, hash: hashMutations(mutations)}
	return m.commitUntilResolved(ctx, a)
}

func (p *problems) envelopeOf(requestID string, mutations []*configv1.Mutation) error {
	p.checkEnvelope(&configv1.Change{RequestId: requestID, Mutations: mutations})
	return p.err()
}

// commitUntilResolved tries until there is a definite outcome. It goes on after a lost race, because the objects may be
// unchanged, and after an unknown outcome. It stops on an outage only if nothing can have been written.
func (m *Manager) commitUntilResolved(ctx context.Context, a *attempt) (uint64, error) {
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		version, err := m.commitOnce(ctx, a)
		switch {
		case err == nil:
			m.count("commits")
			return version, nil
		case errors.Is(err, store.ErrConflict):
			m.count("commit_conflicts")
		case errors.Is(err, store.ErrUnknownOutcome):
			m.count("commit_unknown")
		case a.pending:
			// Any other failure leaves it open whether the earlier transaction takes effect.
		default:
			return 0, err
		}
		if !m.sleep(ctx, backoff) {
			return 0, a.giveUp(err)
		}
	}
}

// giveUp returns the error for a commit that has run out of time.
func (a *attempt) giveUp(last error) error {
	if a.pending {
		return errors.Mark(steperr.Wrap(last, "read back the outcome", "platform"), store.ErrUnknownOutcome)
	}
	return errors.Mark(steperr.Wrap(last, "commit change", "platform"), store.ErrUnavailable)
}

// commitOnce reads the head, reads back the request ID, and only then commits on condition of that head. The order is
// what makes it safe: a transaction of an earlier attempt either has taken effect and left its request record, or the
// head row has moved and it never will, or it competes with this one for the same head row and only one succeeds.
func (m *Manager) commitOnce(ctx context.Context, a *attempt) (uint64, error) {
	h, err := m.readHead(ctx)
	if err != nil {
		return 0, err
	}
	record, err := m.readRequest(ctx, a.requestID)
	if err != nil {
		return 0, err
	}
	if record != nil {
		return m.firstOutcome(ctx, a, record)
	}
	if a.pending && h.row != a.pendingRow {
		a.pending = false
	}
	if err := m.catchUp(ctx, h); err != nil {
		return 0, err
	}
	tip := m.history.tipSnapshot()
	if tip.Version != h.GetVersion() {
		// Another change arrived since the head was read.
		return 0, steperr.Wrap(store.ErrConflict, "commit change", "platform")
	}
	if err := checkBases(tip, a.mutations); err != nil {
		return 0, err
	}
	return m.write(ctx, a, h, tip)
}

// firstOutcome answers a request ID that is already committed. It succeeds only once this host has read the change: if the
// platform fails before any host has, the change would be reported as accepted and come into force nowhere.
func (m *Manager) firstOutcome(ctx context.Context, a *attempt, record *configv1.RequestRecord) (uint64, error) {
	if record.GetContentHash() != a.hash {
		a.pending = false
		return 0, ErrRequestIDReused
	}
	if record.GetVersion() > m.history.version() {
		a.pending = true
		h, err := m.readHead(ctx)
		if err != nil {
			return 0, err
		}
		if err := m.readAndPush(ctx, h); err != nil {
			return 0, err
		}
	}
	a.pending = false
	return record.GetVersion(), nil
}

func (m *Manager) write(ctx context.Context, a *attempt, h head, tip *Snapshot) (uint64, error) {
	change := newChange(tip, a)
	if err := Validate(tip, change); err != nil {
		return 0, err
	}
	txn, err := commitTxn(h, change, a.hash)
	if err != nil {
		return 0, err
	}
	err = m.platform.Commit(ctx, txn)
	if errors.Is(err, store.ErrUnknownOutcome) {
		a.pending, a.pendingRow = true, h.row
	}
	if err != nil {
		return 0, steperr.Wrap(err, "commit change", "platform")
	}
	a.pending = false
	m.applyCommitted(change, h)
	return change.GetVersion(), nil
}

// applyCommitted puts an own change into force and passes it on without waiting for a poll.
func (m *Manager) applyCommitted(change *configv1.Change, h head) {
	err := m.history.advance([]*configv1.Change{change})
	invariant.Check(err == nil, "config-commit-applies", "version %d: %v", change.GetVersion(), err)
	m.pushEverywhere([]*configv1.Change{change})
	if change.GetVersion() >= h.GetCheckpointVersion()+m.options.CheckpointEvery {
		m.spawn(m.checkpoint)
	}
}

// newChange builds the change that follows tip.
func newChange(tip *Snapshot, a *attempt) *configv1.Change {
	now := time.Now().UnixMilli()
	change := &configv1.Change{Version: tip.Version + 1, RequestId: a.requestID, CommittedUnixMs: now}
	for _, mutation := range a.mutations {
		mutation = proto.CloneOf(mutation)
		setStart(tip, mutation.GetPut(), now)
		change.Mutations = append(change.Mutations, mutation)
	}
	return change
}

// setStart gives a new drain or move its start, and a changed one the start that it had.
func setStart(tip *Snapshot, o *configv1.Object, now int64) {
	before := tip.Object(KeyOf(o))
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
