package command

import (
	"container/heap"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

const (
	// recordRetention is how long a record is kept after the deadline of its command. It must not be shorter than
	// ticketFirstUsePeriod: otherwise a ticket whose record has expired could be executed a second time.
	recordRetention = ticketFirstUsePeriod
	// recordOverheadBytes is the memory that a record takes in addition to its key and response.
	recordOverheadBytes = 512
)

// state is the state of a command as recorded by this host.
type state int

const (
	// stateNotRun means that no target has executed the command, so a later send may execute it.
	stateNotRun state = iota
	// stateDone means that a target's response is recorded.
	stateDone
	// stateUnknown means that a target may have executed the command.
	stateUnknown
	// stateNotOwned means that another host owns the key. The record is deleted.
	stateNotOwned
)

// recordKey identifies a command. The service is empty for tickets, which are unique by themselves.
type recordKey struct{ service, key string }

// record is this incarnation's record of one command.
type record struct {
	key  recordKey
	hash uint64
	// claimID identifies this host's claim of a caller-supplied key. claimed is set once the row in the platform's table is
	// known to hold that claim.
	claimID string
	claimed bool
	state   state
	// inProgress is the execution in progress, or nil. result is the result of the last finished execution.
	inProgress *execution
	result     Result
	expires    time.Time
	// bytes is the share of the record in records.bytes.
	bytes int
	// sent is set before the command is passed to the sender for the first time.
	sent bool
}

// execution is one attempt to execute a command. result is set before done is closed.
type execution struct {
	done   chan struct{}
	result Result
}

// action tells how a send of a command is handled.
type action int

const (
	// actionRun means that the send executes the command and then calls finish.
	actionRun action = iota
	// actionWait means that the send waits for the execution in progress.
	actionWait
	// actionReturnRecorded means that the send returns the recorded result.
	actionReturnRecorded
	// actionRefuseMismatch means that the key was first used with other content.
	actionRefuseMismatch
	// actionRefuseFull means that there is no room for another record.
	actionRefuseFull
	// actionRefuseStale means that the key has no record and is too old for a first use.
	actionRefuseStale
)

// records holds the command records of one incarnation, limited in number and size. It drops no record before it expires.
type records struct {
	limits Limits

	mu       sync.Mutex
	byKey    map[recordKey]*record
	expiries expiryQueue
	bytes    int
}

func newRecords(limits Limits) *records {
	return &records{limits: limits, byKey: map[recordKey]*record{}}
}

// begin decides how a send is handled. For actionRun it returns the record and its new execution, for actionWait the execution
// in progress. Without acceptFirstUse a key that has no record is refused with actionRefuseStale.
func (s *records) begin(key recordKey, cmd Command, acceptFirstUse bool) (*record, *execution, action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(time.Now())
	r := s.byKey[key]
	switch {
	case r == nil && !acceptFirstUse:
		return nil, nil, actionRefuseStale
	case r != nil && r.hash != cmd.ContentHash:
		return r, nil, actionRefuseMismatch
	case r != nil && r.inProgress != nil:
		return r, r.inProgress, actionWait
	case r != nil && r.state != stateNotRun:
		return r, nil, actionReturnRecorded
	}
	if !s.reserve(r, key) {
		return nil, nil, actionRefuseFull
	}
	if r == nil {
		r = &record{key: key, hash: cmd.ContentHash, claimID: uuid.NewString()}
		s.byKey[key] = r
		heap.Push(&s.expiries, expiry{r, cmd.Deadline.Add(recordRetention)})
	}
	r.bytes = s.reservedBytes(key)
	r.expires = laterOf(r.expires, cmd.Deadline.Add(recordRetention))
	r.inProgress = &execution{done: make(chan struct{})}
	return r, r.inProgress, actionRun
}

// reserve reserves memory for the record of key with the largest possible response, so that the result of an executed command
// can always be recorded. r is the existing record or nil. It reports whether the limits allow the record.
func (s *records) reserve(r *record, key recordKey) bool {
	count, bytes := len(s.byKey), s.bytes+s.reservedBytes(key)
	if r == nil {
		count++
	} else {
		bytes -= r.bytes
	}
	if count > s.limits.MaxRecords || bytes > s.limits.MaxBytes {
		return false
	}
	s.bytes = bytes
	return true
}

func (s *records) reservedBytes(key recordKey) int {
	return recordOverheadBytes + len(key.service) + len(key.key) + s.limits.MaxResponseBytes
}

// finish records the result of the execution in progress and wakes all sends that wait for it.
func (s *records) finish(r *record, result Result, st state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := r.inProgress
	if e == nil {
		invariant.Check(false, "command-finished-once", "execution of key %q was finished twice", r.key.key)
		return
	}
	invariant.Check(!r.sent || st != stateNotOwned, "command-run-by-owner",
		"key %q was run by a host that does not own it", r.key.key)
	r.inProgress, r.state, r.result = nil, st, result
	e.result = result
	close(e.done)
	s.bytes -= r.bytes
	if st == stateNotOwned {
		r.bytes = 0
		delete(s.byKey, r.key)
		return
	}
	r.bytes = s.reservedBytes(r.key) - s.limits.MaxResponseBytes + responseBytes(result.Response)
	s.bytes += r.bytes
}

// recordView is a copy of the fields of a record that outcome requests need.
type recordView struct {
	hash   uint64
	state  state
	result Result
	// inProgress is the execution in progress, or nil.
	inProgress *execution
}

// lookup returns a copy of the record of a key.
func (s *records) lookup(key recordKey) (k recordView, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictExpired(time.Now())
	r := s.byKey[key]
	if r == nil {
		return k, false
	}
	return recordView{hash: r.hash, state: r.state, result: r.result, inProgress: r.inProgress}, true
}

// evictExpired deletes expired records that have no execution in progress. The caller holds the lock. The expiry of a record
// can move while its queue entry keeps the old time, so a record that is still needed is queued again.
func (s *records) evictExpired(now time.Time) {
	for len(s.expiries) > 0 && s.expiries[0].at.Before(now) {
		e := heap.Pop(&s.expiries).(expiry)
		switch {
		case s.byKey[e.record.key] != e.record:
		case e.record.inProgress != nil || e.record.expires.After(now):
			heap.Push(&s.expiries, expiry{e.record, laterOf(e.record.expires, now.Add(time.Second))})
		default:
			s.bytes -= e.record.bytes
			delete(s.byKey, e.record.key)
		}
	}
}

func responseBytes(resp *Response) int {
	if resp == nil {
		return 0
	}
	n := len(resp.Body)
	for name, values := range resp.Header {
		for _, value := range values {
			n += len(name) + len(value)
		}
	}
	return n
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// stateOf returns the state of a command after Sender.Run returned result.
func stateOf(result Result) state {
	switch {
	case result.Response != nil:
		return stateDone
	case result.Refusal.Outcome == reply.NotRun:
		return stateNotRun
	}
	return stateUnknown
}

// expiry is an entry of expiryQueue: a record and the time at which to check whether it has expired.
type expiry struct {
	record *record
	at     time.Time
}

// expiryQueue is a heap (container/heap) of records, earliest time first.
type expiryQueue []expiry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q expiryQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *expiryQueue) Push(x any)        { *q = append(*q, x.(expiry)) }
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
