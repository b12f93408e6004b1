package prefix

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
)

const (
	// maxRecentBytes bounds the encoded deltas that a host keeps for hosts with an older table.
	maxRecentBytes = 256 << 10
	// maxResponseBytes bounds the deltas in one response, so that a large response does not delay other control calls. A
	// response has at least one delta, whatever its size.
	maxResponseBytes = 16 << 10
)

// Store holds the current table and the recent deltas. The version of the table only increases. Table does not block.
type Store struct {
	current atomic.Pointer[Table]
	// mu serialises writers and guards the fields below.
	mu          sync.Mutex
	recent      []recentDelta
	recentBytes int
	recentLimit int
	changed     chan struct{}
}

// recentDelta is an encoded delta and the version on which it is based.
type recentDelta struct {
	base    uint64
	encoded []byte
}

// NewStore returns a store with an empty table of version 0.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), recentLimit: maxRecentBytes}
	s.current.Store(&Table{})
	return s
}

// Table returns the current table.
func (s *Store) Table() *Table { return s.current.Load() }

// Changed returns a channel that is closed when the table is next replaced.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply applies a delta to the current table and keeps the delta for Deltas, dropping the oldest ones beyond the size limit.
// On an error, which is one of Table.Apply, the table is unchanged.
func (s *Store) Apply(d *prefixv1.Delta) error {
	encoded, err := proto.Marshal(d)
	if err != nil {
		return errors.Wrap(err, "encode delta")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next, err := s.current.Load().Apply(d)
	if err != nil {
		return err
	}
	s.recent = append(s.recent, recentDelta{d.GetBaseVersion(), encoded})
	s.recentBytes += len(encoded)
	for s.recentBytes > s.recentLimit {
		s.recentBytes -= len(s.recent[0].encoded)
		s.recent = s.recent[1:]
	}
	s.publish(next)
	return nil
}

// Set replaces the current table if next has a higher version, drops the kept deltas, and reports whether it did so.
func (s *Store) Set(next *Table) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if next.Version() <= s.current.Load().Version() {
		return false
	}
	s.recent, s.recentBytes = nil, 0
	s.publish(next)
	return true
}

// publish replaces the current table and closes the channel of Changed. It requires that mu is held.
func (s *Store) publish(next *Table) {
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Deltas returns the kept deltas that lead from version after to newer versions, oldest first, as many as fit in a response.
// TooOld is set if the delta based on that version is no longer kept; the requester then needs a full copy.
func (s *Store) Deltas(after uint64) *prefixv1.FetchDeltasResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := &prefixv1.FetchDeltasResponse{Version: s.current.Load().Version()}
	if after >= response.Version {
		return response
	}
	size := 0
	for _, r := range s.recent {
		if r.base < after || len(response.Deltas) == 0 && r.base != after {
			continue
		}
		if size += len(r.encoded); size > maxResponseBytes && len(response.Deltas) > 0 {
			break
		}
		response.Deltas = append(response.Deltas, r.encoded)
	}
	response.TooOld = len(response.Deltas) == 0
	return response
}
