package command

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// table is an in-memory store.Table without faults. It counts calls and delays reads and commits by latency.
type table struct {
	mu             sync.Mutex
	rows           map[string]store.Row
	commits, reads int
	latency        time.Duration
}

func (t *table) Get(_ context.Context, key string) (store.Row, error) {
	time.Sleep(t.latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if row, ok := t.rows[key]; ok {
		return row, nil
	}
	return store.Row{}, store.ErrNotFound
}

func (t *table) Scan(_ context.Context, prefix, after string, limit int) (rows []store.Row, _ error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b store.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (t *table) Commit(_ context.Context, txn store.Txn) error {
	time.Sleep(t.latency)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	for _, c := range txn.Conditions {
		if t.rows[c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		t.rows[w.Key] = store.Row{Key: w.Key, Value: w.Value, Version: 1}
		if w.Delete {
			delete(t.rows, w.Key)
		}
	}
	return nil
}

// noPeers is a membership.View and a peer.Caller without any reachable peer.
type noPeers struct{}

func (noPeers) Self() membership.Member                 { return membership.Member{} }
func (noPeers) Domain(string) []membership.Member       { return []membership.Member{{Host: "h"}} }
func (noPeers) All() []membership.Member                { return nil }
func (noPeers) Lookup(string) (membership.Member, bool) { return membership.Member{}, false }
func (noPeers) Changed() <-chan struct{}                { return nil }
func (noPeers) Call(context.Context, peer.Address, string, proto.Message, proto.Message) error {
	return fmt.Errorf("no peers")
}

// countingSender is a Sender that counts executions and answers each with a body of size bytes.
type countingSender struct {
	runs int
	size int
}

func (c *countingSender) Run(context.Context, int) Result {
	c.runs++
	return Result{Response: &Response{Status: http.StatusOK, Body: make([]byte, c.size)}}
}

func (c *countingSender) Relay(context.Context, peer.Address, int) (Result, RelayStatus) {
	return Result{}, RelayNotSent
}

func newExecutor(limits Limits) (*Executor, *table) {
	t := &table{rows: map[string]store.Row{}}
	self := peer.Identity{Host: "h", Incarnation: 5}
	return New(Options{Self: self, Table: t, Members: noPeers{}, Caller: noPeers{}, Limits: limits}), t
}

func cmd(key string) Command {
	return Command{Service: "s", Key: key, ContentHash: 1, Deadline: time.Now().Add(time.Second)}
}

func outcomeOf(r Result) reply.Outcome {
	if r.Refusal == nil {
		return ""
	}
	return r.Refusal.Outcome
}

// Guards against executing a ticket that was altered, issued by another process or encoded in a second way. The latter would be
// a second key for the same command.
func TestForgedTicketsAreRefused(t *testing.T) {
	is := is.New(t)
	e, _ := newExecutor(Limits{})
	other, _ := newExecutor(Limits{}) // same host and incarnation, different HMAC key
	good := e.Ticket()
	c := &countingSender{}
	for i := len(TicketPrefix); i < len(good); i++ {
		for _, letter := range []byte("AQgw_") {
			forged := []byte(good)
			forged[i] = letter
			if string(forged) != good {
				is.True(e.Execute(t.Context(), cmd(string(forged)), c).Response == nil)
			}
		}
	}
	for _, key := range []string{other.Ticket(), good + "=", good + "\n", TicketPrefix} {
		is.True(e.Execute(t.Context(), cmd(key), c).Response == nil)
	}
	is.Equal(c.runs, 0)
	is.True(e.Execute(t.Context(), cmd(good), c).Response != nil)
	is.Equal(c.runs, 1)
}

// Guards against executing a ticket a second time after its record has expired, and against a first use after the end of the
// first-use period.
func TestTicketsExpire(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		e, _ := newExecutor(Limits{})
		c := &countingSender{}
		used, unused := e.Ticket(), e.Ticket()
		is.Equal(outcomeOf(e.Execute(t.Context(), cmd(used), c)), reply.Outcome(""))
		for range 1500 {
			time.Sleep(time.Second)
			e.Execute(t.Context(), cmd(used), c)
			is.Equal(c.runs, 1)
		}
		is.Equal(outcomeOf(e.Execute(t.Context(), cmd(used), c)), reply.Unknown)
		is.Equal(outcomeOf(e.Execute(t.Context(), cmd(unused), c)), reply.Unknown)
		is.Equal(c.runs, 1)
		is.Equal(len(e.records.byKey), 0)
		is.Equal(e.records.bytes, 0)
	})
}

// Guards against records that exceed the limits on their number or size, and against dropping a record early to make room for
// another, after which its command could be executed again.
func TestRecordsAreBounded(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		for _, limits := range []Limits{{MaxRecords: 10}, {MaxBytes: 30000, MaxResponseBytes: 10000}} {
			e, table := newExecutor(limits)
			c := &countingSender{size: 2000}
			var kept []string
			for range 20 {
				ticket := e.Ticket()
				result := e.Execute(t.Context(), cmd(ticket), c)
				if result.Response != nil {
					kept = append(kept, ticket)
					continue
				}
				is.Equal(outcomeOf(result), reply.NotRun)
				is.Equal(result.Refusal.Reason, reply.ReasonRecordsFull)
			}
			is.True(len(kept) >= 7 && len(kept) <= 10)
			is.Equal(c.runs, len(kept))
			for _, ticket := range kept {
				is.True(e.Execute(t.Context(), cmd(ticket), c).Response != nil)
			}
			is.Equal(c.runs, len(kept))
			is.Equal(outcomeOf(e.Execute(t.Context(), cmd("own"), c)), reply.NotRun) // no row, so no host executed it
			table.rows[rowKey("s", "own")] = claimedRow(1, "elsewhere", time.Now())
			is.Equal(outcomeOf(e.Execute(t.Context(), cmd("own"), c)), reply.Unknown)
		}
	})
}

func claimedRow(hash uint64, host string, at time.Time) store.Row {
	data, _ := proto.Marshal(&peerv1.CommandRecord{ContentHash: hash, OwnerHost: host, ClaimId: "x", ClaimedUnixMs: at.UnixMilli()})
	return store.Row{Value: data, Version: 1}
}

// Guards against executing a key with two different contents, for tickets, new and claimed caller-supplied keys, and against
// answering such a send with not-run although the first content may have been executed.
func TestContentMismatch(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		e, table := newExecutor(Limits{})
		defer e.Close()
		c := &countingSender{}
		table.rows[rowKey("s", "taken")] = claimedRow(1, "elsewhere", time.Now())
		for _, key := range []string{e.Ticket(), "own", "taken"} {
			e.Execute(t.Context(), cmd(key), c)
			runs := c.runs
			changed := cmd(key)
			changed.ContentHash = 2
			got := e.Execute(t.Context(), changed, c)
			is.Equal(got.Refusal.Status, http.StatusConflict)
			is.Equal(got.Refusal.Outcome, reply.Unknown)
			is.Equal(c.runs, runs)
		}
	})
}

// Guards against committing each claim in a transaction of its own, and against failing a claim because another claim in its
// batch conflicts.
func TestGroupCommit(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		e, table := newExecutor(Limits{})
		defer e.Close()
		table.latency = 10 * time.Millisecond
		table.rows[rowKey("s", "k7")] = claimedRow(1, "elsewhere", time.Now())
		var won, refused int
		var mu sync.Mutex
		for i := range 60 {
			go func() {
				result := e.Execute(t.Context(), cmd(fmt.Sprintf("k%d", i)), &countingSender{})
				mu.Lock()
				defer mu.Unlock()
				if result.Response != nil {
					won++
				} else {
					refused++
				}
			}()
		}
		time.Sleep(500 * time.Millisecond)
		synctest.Wait()
		is.Equal(won, 59)
		is.Equal(refused, 1)
		is.True(table.commits <= 3) // one for the first claims, two for the batch with the conflict
	})
}

// Guards against claims that are never deleted, and against deleting claims before the end of their retention.
func TestSweep(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		e, table := newExecutor(Limits{})
		now := time.Now()
		for i := range 50 {
			key := fmt.Sprintf("%s%02d", rowPrefix, i)
			row := claimedRow(1, "h", now.Add(-time.Duration(i)*time.Hour))
			row.Key = key
			table.rows[key] = row
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Hour+time.Minute)
		defer cancel()
		e.SweepClaims(ctx)
		is.Equal(len(table.rows), 24) // the sweep runs after an hour; claims made 0 to 23 hours before the start remain
	})
}
