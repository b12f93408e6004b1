package poison

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// Records in the platform's table.
//
// All hosts may be lost at once, and their records with them. When a request makes a target end, the hosts that saw its crashes and the
// relays write its record to the platform's table, and again when a target answers it. A host reads these rows before it serves callers.
// If that fails, it starts without them, and a relay reads them later and sends them to the hosts of its failure domain.

const (
	rowPrefix = "poison/"
	// maxRows limits the rows that are read. One page of the users' platform has 500.
	maxRows = 500
	// maxRowsPerWrite limits the rows of one transaction. The users' platform takes 100.
	maxRowsPerWrite = 50
	// startTimeout limits how long the start of a host waits for the rows.
	startTimeout = 500 * time.Millisecond
	// loadDelay is the time from the start of a host until its view shows whether it is a relay.
	loadDelay = time.Second
	// storeTimeout limits a call of the platform. A failed one is repeated after storeRetryInterval.
	storeTimeout       = 3 * time.Second
	storeRetryInterval = 2 * time.Second
)

// persist adds a record to those to be written. r.mu must be held.
func (r *Registry) persist(fingerprint uint64) {
	if r.opts.Table == nil {
		return
	}
	r.unwritten[fingerprint] = true
	select {
	case r.wakeWriter <- struct{}{}:
	default:
	}
}

// writeLoop writes records to the platform's table: a target that ends is a crash of each request that it runs, so all records that wait
// are written in one transaction.
func (r *Registry) writeLoop(ctx context.Context) {
	for {
		fingerprints := r.takeUnwritten()
		if len(fingerprints) == 0 {
			select {
			case <-r.wakeWriter:
				continue
			case <-ctx.Done():
				return
			}
		}
		if err := r.write(ctx, fingerprints); err != nil {
			log.Warn().Str("step", "poison").Int("records", len(fingerprints)).Err(err).Msg("records of suspect requests were not written")
			r.returnUnwritten(fingerprints)
			if !sleep.For(ctx, storeRetryInterval) {
				return
			}
		}
	}
}

// takeUnwritten removes and returns up to maxRowsPerWrite fingerprints of records to be written.
func (r *Registry) takeUnwritten() []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var fingerprints []uint64
	for fingerprint := range r.unwritten {
		if len(fingerprints) == maxRowsPerWrite {
			break
		}
		delete(r.unwritten, fingerprint)
		fingerprints = append(fingerprints, fingerprint)
	}
	return fingerprints
}

func (r *Registry) returnUnwritten(fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fingerprint := range fingerprints {
		r.unwritten[fingerprint] = true
	}
}

// write writes records in one transaction. An unknown outcome is an error: writing them again does no harm.
func (r *Registry) write(ctx context.Context, fingerprints []uint64) error {
	txn, err := r.rowsToWrite(fingerprints)
	if err != nil || len(txn.Writes) == 0 {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return steperr.Wrap(r.opts.Table.Commit(ctx, txn), "write records of suspect requests", "platform")
}

// rowsToWrite returns the transaction that writes the rows of records. The row of a request that was answered after its crashes is
// deleted.
func (r *Registry) rowsToWrite(fingerprints []uint64) (store.Txn, error) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var txn store.Txn
	for _, fingerprint := range fingerprints {
		key := rowPrefix + strconv.FormatUint(fingerprint, 36)
		known := r.records[fingerprint]
		if known != nil {
			known.persisted = len(known.crashes) > 0
		}
		if known == nil || !known.persisted {
			txn.Writes = append(txn.Writes, store.Write{Key: key, Delete: true})
			continue
		}
		value, err := proto.Marshal(&peerv1.PoisonRow{Record: known.encode(fingerprint, now), WrittenUnixMs: now.UnixMilli()})
		if err != nil {
			return txn, errors.Wrap(err, "encode record of a suspect request")
		}
		txn.Writes = append(txn.Writes, store.Write{Key: key, Value: value})
	}
	return txn, nil
}

// loadRows reads the records in the platform's table if this host is a relay, and deletes those that have expired.
func (r *Registry) loadRows(ctx context.Context) {
	for sleep.For(ctx, loadDelay) && r.isRelay() {
		err := r.load(ctx, toDomain)
		if err == nil {
			return
		}
		log.Warn().Str("step", "poison").Err(err).Msg("records of poison requests were not read")
		if !sleep.For(ctx, storeRetryInterval) {
			return
		}
	}
}

// loadAtStart reads the records in the platform's table, and reports whether that succeeded within startTimeout.
func (r *Registry) loadAtStart(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := r.load(ctx, 0)
	if err != nil {
		log.Warn().Str("step", "poison").Err(err).Msg("host starts without the records of poison requests")
	}
	return err == nil
}

// load reads the records in the platform's table and sends them to some receivers.
func (r *Registry) load(ctx context.Context, to receivers) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	rows, err := r.opts.Table.Scan(ctx, rowPrefix, "", maxRows)
	if err != nil {
		return steperr.Wrap(err, "read records of poison requests", "platform")
	}
	now := time.Now()
	var records []*peerv1.PoisonRecord
	var expired store.Txn
	for _, row := range rows {
		m := &peerv1.PoisonRow{}
		// The clocks of hosts differ by seconds, so a record may seem to be from the future.
		err := proto.Unmarshal(row.Value, m)
		age := max(0, now.Sub(time.UnixMilli(m.GetWrittenUnixMs())))
		if err != nil || age > poisonTTL {
			expired.Conditions = append(expired.Conditions, store.Condition{Key: row.Key, Version: row.Version})
			expired.Writes = append(expired.Writes, store.Write{Key: row.Key, Delete: true})
			continue
		}
		addAge(m.GetRecord(), age)
		records = append(records, m.GetRecord())
	}
	r.receive(records, to)
	r.markPersisted(records)
	if len(expired.Writes) == 0 {
		return nil
	}
	err = r.opts.Table.Commit(ctx, expired)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknownOutcome) {
		return nil // the relay of another failure domain deletes them too
	}
	return steperr.Wrap(err, "delete expired records of poison requests", "platform")
}

// markPersisted marks the records that were read from the platform's table.
func (r *Registry) markPersisted(records []*peerv1.PoisonRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range records {
		if known := r.records[m.GetFingerprint()]; known != nil {
			known.persisted = true
		}
	}
}

// addAge adds the time since a record was written to the times in it.
func addAge(m *peerv1.PoisonRecord, age time.Duration) {
	if m.GetAnsweredAgoMs() >= 0 {
		m.AnsweredAgoMs += age.Milliseconds()
	}
	for _, c := range m.GetCrashes() {
		c.StartedAgoMs += age.Milliseconds()
		c.EndedAgoMs += age.Milliseconds()
	}
}
