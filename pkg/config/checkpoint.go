package config

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// checkpointAttempts is the number of attempts to record a checkpoint in the head row. After the last one, recording is left to
// the checkpoint of a later commit.
const checkpointAttempts = 5

// pruneBatch is the largest number of change rows that one transaction deletes.
const pruneBatch = 64

// objectDeleter is implemented by platforms whose object store supports deletion. On other platforms old checkpoints are kept.
type objectDeleter interface {
	DeleteObject(ctx context.Context, name string) error
}

// checkpoint writes the snapshot in force to the object store, records it in the head row and deletes old change rows. A
// failure after any step is harmless, because the checkpoint of a later commit repeats all steps.
func (m *Manager) checkpoint(ctx context.Context) {
	if !m.checkpointing.CompareAndSwap(false, true) {
		return
	}
	defer m.checkpointing.Store(false)
	snapshot := m.store.Current()
	data, err := proto.Marshal(checkpointOf(snapshot))
	if err != nil {
		m.logFailure("encode checkpoint", err)
		return
	}
	if err := m.putCheckpoint(ctx, snapshot.Version, data); err != nil {
		m.logFailure("write checkpoint", err)
		return
	}
	m.count("checkpoints")
	if err := m.prune(ctx, snapshot.Version); err != nil {
		m.logFailure("prune changes", err)
	}
}

// putCheckpoint writes the encoded checkpoint of a version to the object store and records it in the head row, unless a newer
// one is recorded. It then deletes the older of the two checkpoints.
func (m *Manager) putCheckpoint(ctx context.Context, version uint64, data []byte) error {
	if err := m.platform.PutObject(ctx, checkpointName(version), data); err != nil {
		return steperr.Wrap(err, "put checkpoint", "platform")
	}
	for range checkpointAttempts {
		h, err := m.readHead(ctx)
		if err != nil {
			return err
		}
		if h.GetCheckpointVersion() >= version {
			m.deleteSupersededCheckpoint(ctx, version, h.GetCheckpointVersion())
			return nil
		}
		err = m.recordCheckpoint(ctx, h, version)
		if err == nil {
			m.deleteSupersededCheckpoint(ctx, h.GetCheckpointVersion(), version)
			return nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return err
		}
		if !m.sleepWithJitter(ctx, minBackoff) {
			return ctx.Err()
		}
	}
	return steperr.New("enter checkpoint", "platform", "the head row changed during each of %d attempts", checkpointAttempts)
}

// recordCheckpoint sets the checkpoint version in the head row, on condition that the row is unchanged since h was read.
func (m *Manager) recordCheckpoint(ctx context.Context, h head, version uint64) error {
	value, err := proto.Marshal(&configv1.Head{Version: h.GetVersion(), CheckpointVersion: version})
	if err != nil {
		return steperr.Wrap(err, "encode head", "")
	}
	err = m.platform.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: headKey, Version: h.row}},
		Writes:     []store.Write{{Key: headKey, Value: value}},
	})
	return steperr.Wrap(err, "enter checkpoint", "platform")
}

// deleteSupersededCheckpoint deletes the checkpoint of a version unless the head row names that version. A host that fails to
// read the deleted checkpoint reads the head row again at its next poll.
func (m *Manager) deleteSupersededCheckpoint(ctx context.Context, version, named uint64) {
	deleter, ok := m.platform.(objectDeleter)
	if !ok || version == 0 || version == named {
		return
	}
	if err := deleter.DeleteObject(ctx, checkpointName(version)); err != nil {
		m.logFailure("delete checkpoint", err)
	}
}

// prune deletes the change rows, with their request records, that are KeepChanges or more versions older than a checkpoint.
func (m *Manager) prune(ctx context.Context, checkpoint uint64) error {
	if checkpoint <= m.options.KeepChanges {
		return nil
	}
	last := checkpoint - m.options.KeepChanges
	for {
		rows, err := m.platform.Scan(ctx, changePrefix, "", pruneBatch)
		if err != nil {
			return steperr.Wrap(err, "read changes", "platform")
		}
		txn := pruneTxn(rows, last)
		if len(txn.Writes) == 0 {
			return nil
		}
		if err := m.platform.Commit(ctx, txn); err != nil {
			return steperr.Wrap(err, "delete changes", "platform")
		}
	}
}

// pruneTxn returns the transaction that deletes the changes in rows up to version last, with their request records.
func pruneTxn(rows []store.Row, last uint64) store.Txn {
	var txn store.Txn
	for _, row := range rows {
		version, err := versionOfKey(row.Key)
		if err != nil {
			continue // a row of another writer
		}
		if version > last {
			break
		}
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
		if change, err := decodeChange(row.Value); err == nil {
			txn.Writes = append(txn.Writes, store.Write{Key: requestKey(change.GetRequestId()), Delete: true})
		}
	}
	return txn
}
