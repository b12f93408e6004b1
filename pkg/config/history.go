package config

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// history holds the newest configuration that this host has read and the most recent changes that led to it.
type history struct {
	store     *Store
	maxRecent int

	mu sync.Mutex
	// latest is the newest configuration that was read. While it is invalid, an older snapshot stays in force.
	latest *Snapshot
	// recent holds the newest changes in order and without gaps; the last one led to latest.
	recent []*configv1.Change
	// problem is the reason why latest is not in force or a change could not be read; otherwise it is nil.
	problem error
}

func newHistory(store *Store, maxRecent int) *history {
	return &history{store: store, maxRecent: maxRecent, latest: store.Current()}
}

func (h *history) latestSnapshot() *Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.latest
}

func (h *history) version() uint64 { return h.latestSnapshot().Version }

func (h *history) lastProblem() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.problem
}

func (h *history) setProblem(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problem = err
}

// apply applies changes in order and skips those that are already applied. It returns errGap if a change does not follow the
// newest applied one.
func (h *history) apply(changes []*configv1.Change) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, change := range changes {
		if change.GetVersion() <= h.latest.Version {
			h.checkSameRequest(change)
			continue
		}
		if change.GetVersion() != h.latest.Version+1 {
			return errGap
		}
		if err := h.applyNext(change); err != nil {
			h.problem = err
			return err
		}
	}
	return nil
}

// applyNext applies the change that follows latest. It returns an error and does not apply the change if its structure is
// invalid. A change that makes the configuration invalid is applied to latest but does not come into force.
func (h *history) applyNext(change *configv1.Change) error {
	var p problems
	p.checkStructure(change)
	if err := p.err(); err != nil {
		return errors.Wrapf(err, "change %d", change.GetVersion())
	}
	next, err := h.latest.With(change)
	if err != nil {
		return err
	}
	problem := validateNext(h.latest, next, change)
	h.latest = next
	h.recent = append(h.recent, change)
	if len(h.recent) > h.maxRecent {
		h.recent = append([]*configv1.Change(nil), h.recent[len(h.recent)-h.maxRecent/2:]...)
	}
	h.activateLatest(problem)
	return nil
}

// applyCheckpoint replaces latest by a checkpoint if the checkpoint is newer. It drops the changes in recent, which do not lead
// to the checkpoint.
func (h *history) applyCheckpoint(checkpoint *configv1.Checkpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if checkpoint.GetVersion() <= h.latest.Version {
		return
	}
	h.latest = NewSnapshot(checkpoint.GetVersion(), checkpoint.GetObjects())
	h.recent = nil
	h.activateLatest(ValidateSnapshot(h.latest))
}

// activateLatest puts latest into force if problem is nil. Otherwise the snapshot in force stays until a later change makes
// latest valid again.
func (h *history) activateLatest(problem error) {
	if problem != nil {
		h.problem = errors.Wrapf(problem, "version %d", h.latest.Version)
		return
	}
	h.problem = nil
	h.store.Set(h.latest)
}

// checkSameRequest asserts that the change of a version that is already applied has the same request ID as a change that is
// received again.
func (h *history) checkSameRequest(change *configv1.Change) {
	age := h.latest.Version - change.GetVersion()
	if age >= uint64(len(h.recent)) {
		return
	}
	known := h.recent[uint64(len(h.recent))-1-age]
	invariant.Check(known.GetRequestId() == change.GetRequestId(), "config-one-change-per-version",
		"version %d has request ID %q on this host and %q in the received change",
		change.GetVersion(), known.GetRequestId(), change.GetRequestId())
}

// changesAfter returns the changes after a version. It returns a checkpoint instead if there are more than limit or if some are
// no longer in memory, and nil for both if there are none.
func (h *history) changesAfter(version uint64, limit int) ([]*configv1.Change, *configv1.Checkpoint) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version >= h.latest.Version {
		return nil, nil
	}
	missing := h.latest.Version - version
	if missing > uint64(min(len(h.recent), limit)) {
		return nil, checkpointOf(h.latest)
	}
	return h.recent[uint64(len(h.recent))-missing:], nil
}

func checkpointOf(s *Snapshot) *configv1.Checkpoint {
	return &configv1.Checkpoint{Version: s.Version, Objects: s.List("")}
}
