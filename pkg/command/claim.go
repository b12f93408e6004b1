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
	// callTimeout limits one call to the platform.
	callTimeout = 2 * time.Second
	// maxRounds bounds the transactions that one batch takes part in.
	maxRounds   = 8
	readWorkers = 16
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
	row   string
	value *peerv1.CommandRecord
	data  []byte
	done  chan struct{}
	// holder is the content of the row once it is known to exist: this claim's or another's.
	holder *peerv1.CommandRecord
	err    error
	// abandoned is set when nobody waits any more.
	abandoned atomic.Bool
}

// won reports whether the row carries this claim.
func (c *claim) won() bool { return c.holder.GetClaimId() == c.value.GetClaimId() }

// claimer writes claims of one host into the platform's table, many in one transaction.
type claimer struct {
	table store.Table
	group conc.WaitGroup
	// inFlight has an element per running transaction.
	inFlight chan struct{}

	mu      sync.Mutex
	pending []*claim
	active  bool
	next    time.Time
}

func newClaimer(table store.Table) *claimer {
	return &claimer{table: table, inFlight: make(chan struct{}, maxInFlight)}
}

// claim waits until the row of c has a known holder. On an error the claim may still take effect later; repeating it with
// the same claim ID is safe.
func (w *claimer) claim(ctx context.Context, c *claim) error {
	data, err := proto.Marshal(c.value)
	if err != nil {
		return steperr.Wrap(err, "encode claim", "")
	}
	c.data, c.done = data, make(chan struct{})
	w.add(c)
	select {
	case <-c.done:
		return steperr.Wrap(c.err, "claim key", "platform")
	case <-ctx.Done():
		c.abandoned.Store(true)
		return steperr.Wrap(ctx.Err(), "claim key", "platform")
	}
}

func (w *claimer) add(c *claim) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pending = append(w.pending, c)
	if !w.active {
		w.active = true
		w.group.Go(w.run)
	}
}

// run commits pending claims until there are none. A transaction does not wait for the one before it, because the
// platform may be further away than commitInterval.
func (w *claimer) run() {
	for {
		w.mu.Lock()
		wait := time.Until(w.next)
		w.mu.Unlock()
		time.Sleep(wait)
		w.inFlight <- struct{}{}
		batch := w.take()
		if len(batch) == 0 {
			<-w.inFlight
			return
		}
		w.group.Go(func() {
			defer func() { <-w.inFlight }()
			w.settle(batch)
		})
	}
}

// take removes the claims of the next transaction from the queue; a row can be in it only once.
func (w *claimer) take() []*claim {
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
	if w.active = len(batch) > 0; w.active {
		w.next = time.Now().Add(commitInterval)
	}
	return batch
}

// settle commits a batch. A claim whose row exists leaves the batch, so that a conflict does not fail the others.
func (w *claimer) settle(batch []*claim) {
	for range maxRounds {
		if batch = waitedFor(batch); len(batch) == 0 {
			return
		}
		err := w.commit(batch)
		switch {
		case err == nil:
			for _, c := range batch {
				c.resolve(c.value, nil)
			}
			return
		case errors.Is(err, store.ErrUnavailable):
			failAll(batch, err)
			return
		}
		batch = w.readBack(batch)
	}
	failAll(batch, errUnresolved)
}

func (w *claimer) commit(batch []*claim) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	var txn store.Txn
	for _, c := range batch {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: c.row})
		txn.Writes = append(txn.Writes, store.Write{Key: c.row, Value: c.data})
	}
	return w.table.Commit(ctx, txn)
}

// readBack resolves the claims whose row exists and returns the others.
func (w *claimer) readBack(batch []*claim) []*claim {
	reads := pool.New().WithMaxGoroutines(readWorkers)
	for _, c := range batch {
		reads.Go(func() { w.read(c) })
	}
	reads.Wait()
	return waitedFor(batch)
}

func (w *claimer) read(c *claim) {
	holder, err := readRow(w.table, c.row)
	if err == nil || !errors.Is(err, store.ErrNotFound) {
		c.resolve(holder, err)
	}
}

func readRow(table store.Table, key string) (*peerv1.CommandRecord, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	row, err := table.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	holder := &peerv1.CommandRecord{}
	return holder, steperr.Wrap(proto.Unmarshal(row.Value, holder), "decode claim", "platform")
}

func (c *claim) resolve(holder *peerv1.CommandRecord, err error) {
	c.holder, c.err = holder, err
	close(c.done)
}

func failAll(batch []*claim, err error) {
	for _, c := range batch {
		c.resolve(nil, err)
	}
}

// waitedFor returns the claims that are neither resolved nor abandoned.
func waitedFor(batch []*claim) []*claim {
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
