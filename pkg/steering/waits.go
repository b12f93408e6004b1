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
	// waitWeight is the weight of a new wait in the mean.
	waitWeight = 1.0 / 8
	// waitValid is how long a mean counts after the last wait. When it has run out, the own failure domain is tried again.
	waitValid = 500 * time.Millisecond
	// noQueue is the longest wait for a permit that counts as no queue: it covers the exchange with the dispatcher.
	noQueue = 5 * time.Millisecond
)

// WaitTracker passes requests for permits on and measures how long they wait. This host knows the queue of a service in its own
// failure domain only by that, unless the dispatcher is here.
type WaitTracker struct {
	permits permit.Acquirer

	mu       sync.Mutex
	services map[string]*meanWait
}

type meanWait struct {
	mean time.Duration
	at   time.Time
}

var _ permit.Acquirer = (*WaitTracker)(nil)

// NewWaitTracker returns an acquirer that measures the waits of another one.
func NewWaitTracker(permits permit.Acquirer) *WaitTracker {
	return &WaitTracker{permits: permits, services: map[string]*meanWait{}}
}

// Acquire implements permit.Acquirer.
func (w *WaitTracker) Acquire(ctx context.Context, req permit.Request) (*permit.Grant, error) {
	started := time.Now()
	grant, err := w.permits.Acquire(ctx, req)
	now := time.Now()
	var refused *permit.RefusedError
	switch {
	case err == nil:
		w.note(req.Service, now.Sub(started), now)
	case errors.As(err, &refused) && isQueueFull(refused.Reason):
		w.note(req.Service, max(refused.RetryAfter, now.Sub(started)), now)
	}
	return grant, err
}

// isQueueFull reports whether a refusal says something of the queue.
func isQueueFull(reason peerv1.RefusalReason) bool {
	return reason == peerv1.RefusalReason_REFUSAL_REASON_DEADLINE || reason == peerv1.RefusalReason_REFUSAL_REASON_OVERLOAD
}

func (w *WaitTracker) note(service string, wait time.Duration, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.services[service]
	if m == nil {
		m = &meanWait{}
		w.services[service] = m
	}
	if now.Sub(m.at) > waitValid {
		m.mean = 0
	}
	m.mean += time.Duration(waitWeight * float64(wait-m.mean))
	m.at = now
}

// Headroom returns the mean wait as the queue delay, and no free slot if there is a queue. It is unknown without a recent
// wait.
func (w *WaitTracker) Headroom(service string) (Headroom, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := w.services[service]
	if m == nil || time.Since(m.at) > waitValid {
		return Headroom{}, false
	}
	h := Headroom{QueueDelay: m.mean}
	if m.mean < noQueue {
		h.FreeSlots, h.QueueDelay = 1, 0
	}
	return h, true
}
