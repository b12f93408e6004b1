package steering

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

const (
	// ewmaWeight is the weight of a new wait in the exponentially weighted moving average.
	ewmaWeight = 1.0 / 8
	// ewmaTTL is how long the average stays valid after the last wait. Once it has expired, requests try the local failure
	// domain first again.
	ewmaTTL = 500 * time.Millisecond
	// maxUnqueuedWait is the average wait below which there is no queue: it covers the round trip to the dispatcher.
	maxUnqueuedWait = 5 * time.Millisecond
)

// WaitTracker is a permit.Acquirer that wraps another one and tracks the moving average of the waits for permits per service. A
// host that is not itself the dispatcher has no other information on the queue in its own failure domain.
type WaitTracker struct {
	permits permit.Acquirer

	mu       sync.Mutex
	services map[string]*waitEWMA
}

type waitEWMA struct {
	mean      time.Duration
	updatedAt time.Time
}

var _ permit.Acquirer = (*WaitTracker)(nil)

// NewWaitTracker returns a WaitTracker that acquires from permits.
func NewWaitTracker(permits permit.Acquirer) *WaitTracker {
	return &WaitTracker{permits: permits, services: map[string]*waitEWMA{}}
}

// Acquire implements permit.Acquirer. It records the wait of each granted request, and of each one refused because of the
// queue.
func (w *WaitTracker) Acquire(ctx context.Context, req permit.Request) (*permit.Grant, error) {
	started := time.Now()
	grant, err := w.permits.Acquire(ctx, req)
	now := time.Now()
	var refused *permit.RefusedError
	switch {
	case err == nil:
		w.record(req.Service, now.Sub(started), now)
	case errors.As(err, &refused) && impliesQueue(refused.Reason):
		w.record(req.Service, max(refused.RetryAfter, now.Sub(started)), now)
	}
	return grant, err
}

// impliesQueue reports whether a refusal is due to the length of the queue.
func impliesQueue(reason peerv1.RefusalReason) bool {
	return reason == peerv1.RefusalReason_REFUSAL_REASON_DEADLINE || reason == peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD
}

func (w *WaitTracker) record(service string, wait time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.services[service]
	if m == nil {
		m = &waitEWMA{}
		w.services[service] = m
	}
	if now.Sub(m.updatedAt) > ewmaTTL {
		m.mean = 0
	}
	m.mean += time.Duration(ewmaWeight * float64(wait-m.mean))
	m.updatedAt = now
}

// Headroom estimates the headroom of a service in the local failure domain. An average wait of at least maxUnqueuedWait is
// returned as the queue delay, with no free slot; below that, one free slot and no delay are returned. The result is false if no
// wait was recorded within ewmaTTL.
func (w *WaitTracker) Headroom(service string) (Headroom, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.services[service]
	if m == nil || time.Since(m.updatedAt) > ewmaTTL {
		return Headroom{}, false
	}
	h := Headroom{QueueDelay: m.mean}
	if m.mean < maxUnqueuedWait {
		h.FreeSlots, h.QueueDelay = 1, 0
	}
	return h, true
}
