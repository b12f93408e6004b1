package config

import (
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// history is what this host has read of the committed changes.
type history struct {
	store     *Store
	maxRecent int

	mu sync.Mutex
	// latest is the newest configuration that was read. It is ahead of the snapshot in force while the newest one is invalid.
	latest *Snapshot
	// recent holds the newest changes without gaps, up to tip.
	recent []*configv1.Change
	// problem says why tip is not in force, or why a change could not be read; nil if tip is in force.
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

// apply applies changes in order and skips those it already has. errGap means that changes before them are missing.
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

// applyNext applies the change that follows tip. A change that is not well-formed is not applied.
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

// applyCheckpoint continues from a checkpoint if it is newer than what was read.
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

// activateLatest puts tip into force if it has no problem. Otherwise the snapshot in force stays until a later change repairs
// tip.
func (h *history) activateLatest(problem error) {
	if problem != nil {
		h.problem = errors.Wrapf(problem, "version %d", h.latest.Version)
		return
	}
	h.problem = nil
	h.store.Set(h.latest)
}

// checkSameRequest asserts that a version names one change only.
func (h *history) checkSameRequest(change *configv1.Change) {
	back := h.latest.Version - change.GetVersion()
	if back >= uint64(len(h.recent)) {
		return
	}
	known := h.recent[uint64(len(h.recent))-1-back]
	invariant.Check(known.GetRequestId() == change.GetRequestId(), "config-one-change-per-version",
		"version %d is request %q here and %q elsewhere", change.GetVersion(), known.GetRequestId(), change.GetRequestId())
}

// changesAfter returns up to limit changes after a version, or a checkpoint if the changes do not reach back far enough.
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
