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
	// recordRetention is how long a record is kept past the deadline of its command. It is not shorter than ticketFirstUsePeriod: a
	// ticket whose record is gone can then not be used for the first time any more.
	recordRetention = ticketFirstUsePeriod
	// recordOverheadBytes is what a record takes besides its key and response.
	recordOverheadBytes = 512
)

// state says what the host knows of a command.
type state int

const (
	// stateNotRun means that no target can have executed the command so far; it may be run.
	stateNotRun state = iota
	stateDone
	stateUnknown
	// stateNotOwned means that another host owns the key; the record is dropped.
	stateNotOwned
)

// recordKey names a command; service is empty for tickets.
type recordKey struct{ service, key string }

// record is what this incarnation knows of one command.
type record struct {
	key  recordKey
	hash uint64
	// claimID identifies the claim of a caller-supplied key; claimed is set once the platform's row is known to carry it.
	claimID string
	claimed bool
	state   state
	// inProgress is the execution in progress, or nil; result is that of the last one.
	inProgress *execution
	result     Result
	expires    time.Time
	bytes      int
	// sent is set before the command may reach a target.
	sent bool
}

// execution is one try to execute a command; result is set before done is closed.
type execution struct {
	done   chan struct{}
	result Result
}

// action says what one send of a command has to do.
type action int

const (
	// actionRun: run the command and call finish.
	actionRun action = iota
	// actionWait: wait for the execution in progress.
	actionWait
	// actionReturnRecorded: return the recorded result.
	actionReturnRecorded
	actionRefuseMismatch
	actionRefuseFull
	actionRefuseStale
)

// records holds the records of one incarnation, bounded in number and size.
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

// begin finds out what a send has to do. A key without a record is refused with roleStale if fresh is false.
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

// reserve takes the most that the record may need, so that an executed command can always be recorded.
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

// finish records the result of an execution and hands it to all that wait for it.
func (s *records) finish(r *record, result Result, st state) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := r.inProgress
	if e == nil {
		invariant.Check(false, "command-finished-once", "key %q was finished twice", r.key.key)
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

// recordView is what find returns of a record.
type recordView struct {
	hash   uint64
	state  state
	result Result
	// inProgress is the execution in progress, or nil.
	inProgress *execution
}

// lookup returns what is recorded of a key.
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

// evictExpired drops expired records. The caller holds the lock.
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

// stateOf returns what the result of sending a command to targets says.
func stateOf(result Result) state {
	switch {
	case result.Response != nil:
		return stateDone
	case result.Refusal.Outcome == reply.NotRun:
		return stateNotRun
	}
	return stateUnknown
}

// expiry is an entry of the queue of records by the time at which they may be dropped.
type expiry struct {
	record *record
	at     time.Time
}

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
