// Package burn counts requests against the objectives of their services and computes error-budget burn rates over a short and a
// long window.
package burn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

const (
	// bucketSeconds is the length of a bucket. Buckets start at multiples of it in Unix time, so that the buckets of different
	// hosts cover the same periods and can be summed.
	bucketSeconds = 30
	// ShortWindow and LongWindow are the windows over which burn rates are computed.
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
	// ringSize is the number of buckets in the long window, plus the one that is being filled.
	ringSize = int(LongWindow/time.Second)/bucketSeconds + 1
)

// Outcome is the result of a request as its caller sees it.
type Outcome int

// Outcomes of a request.
const (
	OK Outcome = iota
	Failed
)

// bucket counts the requests that completed within bucketSeconds from start, in Unix seconds.
type bucket struct {
	start    int64
	requests atomic.Uint64
	failed   atomic.Uint64
	slow     atomic.Uint64
}

// series is a ring buffer with the buckets of one service. An expired bucket is replaced by compare-and-swap rather than reset,
// so that counting needs no lock.
type series struct {
	ring [ringSize]atomic.Pointer[bucket]
}

// bucketAt returns the bucket for a moment in Unix seconds. It creates the bucket if the slot in the ring is empty or holds an
// expired one.
func (s *series) bucketAt(unix int64) *bucket {
	start := unix - unix%bucketSeconds
	slot := &s.ring[int(start/bucketSeconds)%ringSize]
	for {
		b := slot.Load()
		// After the clock was set back, the slot may hold a newer bucket; the request is then counted there.
		if b != nil && b.start >= start {
			return b
		}
		fresh := &bucket{start: start}
		if slot.CompareAndSwap(b, fresh) {
			return fresh
		}
	}
}

// Recorder counts the requests that one host has handled, by service. It is safe for concurrent use.
type Recorder struct {
	lookupService func(name string) *configv1.Service
	series        sync.Map
}

// NewRecorder returns an empty recorder. lookupService returns the configuration of a service, or nil if it does not exist.
func NewRecorder(lookupService func(name string) *configv1.Service) *Recorder {
	return &Recorder{lookupService: lookupService}
}

// Record counts a completed request. A request that succeeded later than the latency objective counts as slow. Requests of
// services that do not exist are not counted, so that callers cannot exhaust memory with made-up service names.
func (r *Recorder) Record(service string, outcome Outcome, latency time.Duration) {
	configured := r.lookupService(service)
	if configured == nil {
		return
	}
	value, ok := r.series.Load(service)
	if !ok {
		value, _ = r.series.LoadOrStore(service, &series{})
	}
	b := value.(*series).bucketAt(time.Now().Unix())
	b.requests.Add(1)
	limit := time.Duration(configured.GetObjective().GetLatencyMs()) * time.Millisecond
	switch {
	case outcome == Failed:
		b.failed.Add(1)
	case limit > 0 && latency > limit:
		b.slow.Add(1)
	}
}

// Counts returns the buckets of the long window, sorted by service and then by start.
func (r *Recorder) Counts() *peerv1.BurnResponse {
	oldest := time.Now().Add(-LongWindow).Unix() - bucketSeconds
	resp := &peerv1.BurnResponse{}
	r.series.Range(func(name, value any) bool {
		counts := &peerv1.BurnCounts{Service: name.(string), Buckets: value.(*series).snapshot(oldest)}
		resp.Services = append(resp.Services, counts)
		return true
	})
	slices.SortFunc(resp.Services, func(a, b *peerv1.BurnCounts) int { return cmp.Compare(a.GetService(), b.GetService()) })
	return resp
}

// snapshot returns the buckets that start at oldest (Unix seconds) or later, sorted by start.
func (s *series) snapshot(oldest int64) []*peerv1.BurnBucket {
	var list []*peerv1.BurnBucket
	for i := range s.ring {
		b := s.ring[i].Load()
		if b == nil || b.start < oldest {
			continue
		}
		list = append(list, &peerv1.BurnBucket{
			UnixSeconds: b.start,
			Seconds:     bucketSeconds,
			Requests:    b.requests.Load(),
			Failed:      b.failed.Load(),
			Slow:        b.slow.Load(),
		})
	}
	slices.SortFunc(list, func(a, b *peerv1.BurnBucket) int { return cmp.Compare(a.GetUnixSeconds(), b.GetUnixSeconds()) })
	return list
}
