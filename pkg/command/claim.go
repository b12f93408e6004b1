package command

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	rowPrefix = "command/"
	// maxBatch is the largest number of claims in one transaction.
	maxBatch = 64
	// commitInterval is the minimum time between the starts of two transactions of one host. 23 hosts make at most 460
	// transactions/s in total, of the several hundred that the table sustains for all its clients.
	commitInterval = 50 * time.Millisecond
	// platformTimeout is the timeout of one call to the platform's table.
	platformTimeout = 2 * time.Second
	// maxCommitAttempts is the number of transactions that are tried for one batch before its remaining claims fail.
	maxCommitAttempts = 8
	maxParallelReads  = 16
	// maxInFlight is the largest number of concurrent transactions of one host.
	maxInFlight = 4
)

var errUnresolved = errors.New("the claim could not be resolved")

// rowKey returns the key of the table row that holds the claim of a caller-supplied key. Service and key are hashed, so that
// row keys have a fixed length and alphabet.
func rowKey(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return rowPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
}

// claim is a request by this host to own a caller-supplied key. The host whose claim creates the key's row first owns the key.
// Either stored or err is set before done is closed.
type claim struct {
	row     string
	record  *peerv1.CommandRecord
	encoded []byte
	done    chan struct{}
	// stored is the record in the row: the record of this claim if it was first, else that of the owner's claim.
	stored *peerv1.CommandRecord
	err    error
	// abandoned is set when the waiting request has been cancelled or has reached its deadline.
	abandoned atomic.Bool
}

// won reports whether the row holds this claim, so that this host owns the key.
func (c *claim) won() bool { return c.stored.GetClaimId() == c.record.GetClaimId() }

// claimer writes the claims of one host into the platform's table, many claims in one transaction (group commit).
type claimer struct {
	table store.Table
	tasks conc.WaitGroup
	// inFlight is a semaphore that holds one element per transaction in progress.
	inFlight chan struct{}

	mu      sync.Mutex
	pending []*claim
	// running is true while the goroutine that runs run exists.
	running bool
	// nextCommit is the earliest start of the next transaction.
	nextCommit time.Time
}

func newClaimer(table store.Table) *claimer {
	return &claimer{table: table, inFlight: make(chan struct{}, maxInFlight)}
}

// claim queues c for the next transaction and waits until it is known which claim the row holds. After an error the
// transaction may still take effect; c may be repeated with the same claim ID, because won compares claim IDs.
func (w *claimer) claim(ctx context.Context, c *claim) error {
	data, err := proto.Marshal(c.record)
	if err != nil {
		return steperr.Wrap(err, "encode claim", "")
	}
	c.encoded, c.done = data, make(chan struct{})
	w.enqueue(c)
	select {
	case <-c.done:
		return steperr.Wrap(c.err, "claim key", "platform")
	case <-ctx.Done():
		c.abandoned.Store(true)
		return steperr.Wrap(ctx.Err(), "claim key", "platform")
	}
}

func (w *claimer) enqueue(c *claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, c)
	if !w.running {
		w.running = true
		w.tasks.Go(w.run)
	}
}

// run starts a transaction every commitInterval until no claims are pending. Transactions overlap, up to maxInFlight,
// because a round trip to the platform can take longer than commitInterval.
func (w *claimer) run() {
	for {
		w.mu.Lock()
		wait := time.Until(w.nextCommit)
		w.mu.Unlock()
		time.Sleep(wait)
		w.inFlight <- struct{}{}
		batch := w.takeBatch()
		if len(batch) == 0 {
			<-w.inFlight
			return
		}
		w.tasks.Go(func() {
			defer func() { <-w.inFlight }()
			w.commitBatch(batch)
		})
	}
}

// takeBatch removes up to maxBatch claims from the queue for the next transaction. A second claim of the same row stays in the
// queue, because a transaction can create a row only once. An empty batch ends run.
func (w *claimer) takeBatch() []*claim {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*claim
	rows := map[string]bool{}
	for _, c := range w.pending {
		if len(batch) == maxBatch || rows[c.row] {
			rest = append(rest, c)
			continue
		}
		rows[c.row] = true
		batch = append(batch, c)
	}
	w.pending = rest
	if w.running = len(batch) > 0; w.running {
		w.nextCommit = time.Now().Add(commitInterval)
	}
	return batch
}

// commitBatch commits a batch and resolves its claims. After a conflict or an unknown outcome it reads the rows back, resolves
// the claims whose rows exist and commits the rest again, so that one conflict does not fail the whole batch.
func (w *claimer) commitBatch(batch []*claim) {
	for range maxCommitAttempts {
		if batch = outstanding(batch); len(batch) == 0 {
			return
		}
		err := w.commit(batch)
		switch {
		case err == nil:
			for _, c := range batch {
				c.resolve(c.record, nil)
			}
			return
		case errors.Is(err, store.ErrUnavailable):
			failAll(batch, err)
			return
		}
		batch = w.resolveExisting(batch)
	}
	failAll(batch, errUnresolved)
}

func (w *claimer) commit(batch []*claim) error {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	var txn store.Txn
	for _, c := range batch {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: c.row})
		txn.Writes = append(txn.Writes, store.Write{Key: c.row, Value: c.encoded})
	}
	return w.table.Commit(ctx, txn)
}

// resolveExisting reads the rows of a batch, resolves the claims whose row exists and returns those still outstanding.
func (w *claimer) resolveExisting(batch []*claim) []*claim {
	reads := pool.New().WithMaxGoroutines(maxParallelReads)
	for _, c := range batch {
		reads.Go(func() { w.resolveFromRow(c) })
	}
	reads.Wait()
	return outstanding(batch)
}

// resolveFromRow resolves c with the record in its row or with a read error. It leaves c outstanding if there is no row.
func (w *claimer) resolveFromRow(c *claim) {
	stored, err := readClaim(w.table, c.row)
	if err == nil || !errors.Is(err, store.ErrNotFound) {
		c.resolve(stored, err)
	}
}

// readClaim returns the claim in a row, or store.ErrNotFound if there is no such row.
func readClaim(table store.Table, key string) (*peerv1.CommandRecord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	row, err := table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	stored := &peerv1.CommandRecord{}
	return stored, steperr.Wrap(proto.Unmarshal(row.Value, stored), "decode claim", "platform")
}

func (c *claim) resolve(stored *peerv1.CommandRecord, err error) {
	c.stored, c.err = stored, err
	close(c.done)
}

func failAll(batch []*claim, err error) {
	for _, c := range batch {
		c.resolve(nil, err)
	}
}

// outstanding returns the claims that are neither resolved nor abandoned.
func outstanding(batch []*claim) []*claim {
	var rest []*claim
	for _, c := range batch {
		select {
		case <-c.done:
		default:
			if !c.abandoned.Load() {
				rest = append(rest, c)
			}
		}
	}
	return rest
}
