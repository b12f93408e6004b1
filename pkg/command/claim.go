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
	// maxBatch bounds the claims in one transaction.
	maxBatch = 64
	// commitInterval is the least time between the starts of two transactions of one host: 23 hosts then make at most 460
	// writes/s, of the several hundred that the table sustains for all its clients.
	commitInterval = 50 * time.Millisecond
	// platformTimeout limits one call to the platform.
	platformTimeout = 2 * time.Second
	// maxCommitAttempts bounds the transactions that one batch takes part in.
	maxCommitAttempts = 8
	maxParallelReads  = 16
	// maxInFlight bounds the transactions of one host that run at the same time.
	maxInFlight = 4
)

var errUnresolved = errors.New("the claim could not be resolved")

// rowKey returns the key of the row that claims a caller-supplied key.
func rowKey(service, key string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + key))
	return rowPrefix + base64.RawURLEncoding.EncodeToString(sum[:])
}

// claim is a wish to own a key. holder or err is set before done is closed.
type claim struct {
	row     string
	record  *peerv1.CommandRecord
	encoded []byte
	done    chan struct{}
	// stored is the content of the row once it is known to exist: this claim's or another's.
	stored *peerv1.CommandRecord
	err    error
	// abandoned is set when nobody waits any more.
	abandoned atomic.Bool
}

// won reports whether the row carries this claim.
func (c *claim) won() bool { return c.stored.GetClaimId() == c.record.GetClaimId() }

// claimer writes claims of one host into the platform's table, many in one transaction.
type claimer struct {
	table store.Table
	tasks conc.WaitGroup
	// inFlight has an element per running transaction.
	inFlight chan struct{}

	mu         sync.Mutex
	pending    []*claim
	running    bool
	nextCommit time.Time
}

func newClaimer(table store.Table) *claimer {
	return &claimer{table: table, inFlight: make(chan struct{}, maxInFlight)}
}

// claim waits until the row of c has a known holder. On an error the claim may still take effect later; repeating it with
// the same claim ID is safe.
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

// run commits pending claims until there are none. A transaction does not wait for the one before it, because the
// platform may be further away than commitInterval.
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

// takeBatch removes the claims of the next transaction from the queue; a row can be in it only once.
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

// commitBatch commits a batch. A claim whose row exists leaves the batch, so that a conflict does not fail the others.
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

// resolveExisting resolves the claims whose row exists and returns the others.
func (w *claimer) resolveExisting(batch []*claim) []*claim {
	reads := pool.New().WithMaxGoroutines(maxParallelReads)
	for _, c := range batch {
		reads.Go(func() { w.resolveFromRow(c) })
	}
	reads.Wait()
	return outstanding(batch)
}

func (w *claimer) resolveFromRow(c *claim) {
	stored, err := readClaim(w.table, c.row)
	if err == nil || !errors.Is(err, store.ErrNotFound) {
		c.resolve(stored, err)
	}
}

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
