package config

import (
	"context"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Keys of the rows in the platform's table and of the checkpoints in the object store.
const (
	headKey          = "config/head"
	changePrefix     = "config/change/"
	requestPrefix    = "config/request/"
	checkpointPrefix = "config/checkpoint/"
)

// scanLimit is the largest number of change rows that one scan reads.
const scanLimit = 64

// changeKey returns the key of a change row. The version is padded with zeros, so that keys sort by version.
func changeKey(version uint64) string { return fmt.Sprintf("%s%020d", changePrefix, version) }

func checkpointName(version uint64) string { return fmt.Sprintf("%s%020d", checkpointPrefix, version) }

func requestKey(id string) string { return requestPrefix + id }

func versionOfKey(key string) (uint64, error) {
	return strconv.ParseUint(strings.TrimPrefix(key, changePrefix), 10, 64)
}

// head is the decoded head row and its row version, on which transactions are conditional.
type head struct {
	*configv1.Head
	row uint64
}

// readHead reads the head row. Before the first change there is no row, and both versions are 0.
func (m *Manager) readHead(ctx context.Context) (head, error) {
	row, err := m.platform.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return head{Head: &configv1.Head{}}, nil
	}
	if err != nil {
		return head{}, steperr.Wrap(err, "read configuration head", "platform")
	}
	h := &configv1.Head{}
	if err := proto.Unmarshal(row.Value, h); err != nil {
		return head{}, steperr.Wrap(err, "decode configuration head", "platform")
	}
	return head{h, row.Version}, nil
}

// readRequest returns the record of a committed request ID, or nil if there is none.
func (m *Manager) readRequest(ctx context.Context, id string) (*configv1.RequestRecord, error) {
	row, err := m.platform.Get(ctx, requestKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, steperr.Wrap(err, "read request record", "platform")
	}
	record := &configv1.RequestRecord{}
	if err := proto.Unmarshal(row.Value, record); err != nil {
		return nil, steperr.Wrap(err, "decode request record", "platform")
	}
	return record, nil
}

// commitTxn returns the transaction that writes a change, its request record and the new head row, on condition that the head
// row is unchanged since h was read and the other two rows do not exist.
func commitTxn(h head, change *configv1.Change, contentHash uint64) (store.Txn, error) {
	next := &configv1.Head{Version: change.GetVersion(), CheckpointVersion: h.GetCheckpointVersion()}
	record := &configv1.RequestRecord{Version: change.GetVersion(), ContentHash: contentHash}
	var txn store.Txn
	for _, row := range []struct {
		key     string
		version uint64
		message proto.Message
	}{
		{headKey, h.row, next},
		{requestKey(change.GetRequestId()), 0, record},
		{changeKey(change.GetVersion()), 0, change},
	} {
		value, err := proto.Marshal(row.message)
		if err != nil {
			return store.Txn{}, steperr.Wrap(err, "encode change", "")
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: row.key, Version: row.version})
		txn.Writes = append(txn.Writes, store.Write{Key: row.key, Value: value})
	}
	return txn, nil
}

// hashMutations returns a hash of the content of a change. Base versions and object versions are left out, because a client that
// repeats a change may have read the objects again, with the versions set by its own first commit.
func hashMutations(mutations []*configv1.Mutation) uint64 {
	digest := xxhash.New()
	for _, m := range mutations {
		m = proto.CloneOf(m)
		m.BaseVersion = 0
		if put := m.GetPut(); put != nil {
			put.Version = 0
		}
		encoded, _ := proto.MarshalOptions{Deterministic: true}.Marshal(m)
		_, _ = fmt.Fprintf(digest, "%d:", len(encoded))
		_, _ = digest.Write(encoded)
	}
	return digest.Sum64()
}
