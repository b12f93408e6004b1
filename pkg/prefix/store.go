package prefix

import (
	"sync"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"github.com/cockroachdb/errors"

	prefixv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/prefix/v1"
)

const (
	// maxRecentBytes is what a host keeps of encoded deltas for hosts that lag behind.
	maxRecentBytes = 256 << 10
	// maxResponseBytes bounds the deltas in one response, so that a response does not delay other control calls.
	maxResponseBytes = 16 << 10
)

// Store holds the table in force. Its version never goes back. Readers do not block.
type Store struct {
	current atomic.Pointer[Table]
	// mu serialises writers and guards the fields below.
	mu             sync.Mutex
	recent         []recentDelta
	recentBytes    int
	maxRecentBytes int
	changed        chan struct{}
}

type recentDelta struct {
	base    uint64
	encoded []byte
}

// NewStore returns a store with an empty table of version 0.
func NewStore() *Store {
	s := &Store{changed: make(chan struct{}), maxRecentBytes: maxRecentBytes}
	s.current.Store(&Table{})
	return s
}

// Table returns the table in force.
func (s *Store) Table() *Table { return s.current.Load() }

// Changed returns a channel that is closed when a newer table comes into force.
func (s *Store) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Apply puts the table after a delta into force. Errors are those of Table.Apply; the table is then unchanged.
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
	for s.recentBytes > s.maxRecentBytes {
		s.recentBytes -= len(s.recent[0].encoded)
		s.recent = s.recent[1:]
	}
	s.publish(next)
	return nil
}

// Set puts a table into force if it is newer and reports whether it did.
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

// publish requires that mu is held.
func (s *Store) publish(next *Table) {
	s.current.Store(next)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Deltas answers a request for the deltas after a version.
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
