package config

import (
	"context"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// checkpointAttempts is the number of attempts to enter a checkpoint into the head; the next commit tries again.
const checkpointAttempts = 5

// pruneBatch is the number of change rows that one transaction deletes.
const pruneBatch = 64

// objectDeleter is implemented by platforms whose object store can delete. Without it, old checkpoints stay.
type objectDeleter interface {
	DeleteObject(ctx context.Context, name string) error
}

// checkpoint stores the snapshot in force, enters it into the head and prunes old changes. Each step is safe to lose: the
// next commit starts over.
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
	return steperr.New("enter checkpoint", "platform", "lost %d races with commits", checkpointAttempts)
}

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

// deleteSupersededCheckpoint removes a checkpoint that the head does not name. A host that is about to read it reads the head again
// at the next poll.
func (m *Manager) deleteSupersededCheckpoint(ctx context.Context, version, named uint64) {
	deleter, ok := m.platform.(objectDeleter)
	if !ok || version == 0 || version == named {
		return
	}
	if err := deleter.DeleteObject(ctx, checkpointName(version)); err != nil {
		m.logFailure("delete checkpoint", err)
	}
}

// prune deletes the change rows and request records that are older than a checkpoint by more than KeepChanges.
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

func pruneTxn(rows []store.Row, last uint64) store.Txn {
	var txn store.Txn
	for _, row := range rows {
		version, err := versionOfKey(row.Key)
		if err != nil || version > last {
			break
		}
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
		if change, err := decodeChange(row.Value); err == nil {
			txn.Writes = append(txn.Writes, store.Write{Key: requestKey(change.GetRequestId()), Delete: true})
		}
	}
	return txn
}
