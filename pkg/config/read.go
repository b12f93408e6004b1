package config

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// readUpTo reads and applies the changes up to the version of h from the platform. It continues from the checkpoint of h if that
// replaces many changes or if a change cannot be used.
func (m *Manager) readUpTo(ctx context.Context, h head) error {
	for m.history.version() < h.GetVersion() {
		if m.prefersCheckpoint(h) && m.readCheckpoint(ctx, h.GetCheckpointVersion()) == nil {
			continue
		}
		if err := m.readChanges(ctx); err != nil {
			return m.skipToCheckpoint(ctx, h, err)
		}
	}
	return nil
}

// prefersCheckpoint reports whether the checkpoint of h is more than RecentChanges versions ahead, so that reading it is
// preferred to reading the changes before it.
func (m *Manager) prefersCheckpoint(h head) bool {
	return h.GetCheckpointVersion() > m.history.version()+uint64(m.options.RecentChanges)
}

// skipToCheckpoint continues readUpTo from a newer checkpoint after changes could not be read or applied because of cause. It
// returns cause if there is no newer checkpoint, in an outage, or after ctx has ended.
func (m *Manager) skipToCheckpoint(ctx context.Context, h head, cause error) error {
	if ctx.Err() != nil || isOutage(cause) || h.GetCheckpointVersion() <= m.history.version() {
		return cause
	}
	if err := m.readCheckpoint(ctx, h.GetCheckpointVersion()); err != nil {
		return err
	}
	return m.readUpTo(ctx, h)
}

// readChanges reads and applies up to scanLimit change rows. If a row cannot be decoded, it applies the changes before that row
// and returns an error.
func (m *Manager) readChanges(ctx context.Context) error {
	from := m.history.version()
	rows, err := m.platform.Scan(ctx, changePrefix, changeKey(from), scanLimit)
	if err != nil {
		return steperr.Wrap(err, "read changes", "platform")
	}
	if len(rows) == 0 {
		return steperr.Wrap(errGap, "read changes", "platform")
	}
	changes := make([]*configv1.Change, 0, len(rows))
	for _, row := range rows {
		change, err := decodeChange(row.Value)
		if err != nil {
			err = steperr.Wrap(err, "decode change "+row.Key, "platform")
			m.history.setProblem(err)
			return errors.CombineErrors(m.history.apply(changes), err)
		}
		changes = append(changes, change)
	}
	return steperr.Wrap(m.history.apply(changes), "apply changes", "platform")
}

// readCheckpoint reads and applies the checkpoint of a version.
func (m *Manager) readCheckpoint(ctx context.Context, version uint64) error {
	data, err := m.platform.GetObject(ctx, checkpointName(version))
	if err != nil {
		return steperr.Wrap(err, "read checkpoint", "platform")
	}
	checkpoint := &configv1.Checkpoint{}
	if err := unmarshal(data, checkpoint); err != nil {
		err = steperr.Wrap(err, "decode checkpoint", "platform")
		m.history.setProblem(err)
		return err
	}
	m.history.applyCheckpoint(checkpoint)
	if m.history.version() < version {
		return steperr.New("read checkpoint", "platform", "checkpoint object holds version %d instead of %d",
			checkpoint.GetVersion(), version)
	}
	return nil
}

// readAndPush reads the changes up to the version of h and pushes the new ones to this failure domain, including those read
// before an error.
func (m *Manager) readAndPush(ctx context.Context, h head) error {
	from := m.history.version()
	err := m.readUpTo(ctx, h)
	if m.history.version() > from {
		changes, _ := m.history.changesAfter(from, scanLimit)
		m.pushToOwnDomain(slices.Clone(changes), "")
	}
	return err
}

func unmarshal(data []byte, into proto.Message) error { return proto.Unmarshal(data, into) }
