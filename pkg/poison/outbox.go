package poison

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// outbox holds the fingerprints of the records that one host has not received yet. While it is not empty, a goroutine sends them.
type outbox map[uint64]bool

// receiver identifies a process that receives records.
type receiver struct {
	host        string
	incarnation uint64
}

// post adds records to the outbox of a host.
func (r *Registry) post(ctx context.Context, to membership.Member, fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := receiver{to.Host, to.Incarnation}
	box, sending := r.outboxes[key]
	if !sending {
		box = outbox{}
		r.outboxes[key] = box
		r.group.Go(func() { r.sendOutbox(ctx, to) })
	}
	for _, fingerprint := range fingerprints {
		box[fingerprint] = true
	}
}

// sendOutbox sends the records in the outbox of a host until it is empty. It gives up if the host is gone, because a host that starts, or
// whose failure domain appears again, requests all records; and after maxAttempts, because a host of an earlier version refuses
// them.
func (r *Registry) sendOutbox(ctx context.Context, to membership.Member) {
	key := receiver{to.Host, to.Incarnation}
	delay := retryInterval
	for attempt := 1; ; attempt++ {
		fingerprints := r.takeOutbox(key)
		if len(fingerprints) == 0 {
			return
		}
		report := &peerv1.PoisonReport{
			Records: r.encode(fingerprints), PassOn: to.FailureDomain != r.opts.View.Self().FailureDomain,
		}
		err := r.call(ctx, to.Address(), methodReport, report, &peerv1.PoisonReportResponse{})
		if err == nil {
			attempt, delay = 0, retryInterval
			continue
		}
		if attempt == maxAttempts || membership.IsGone(r.opts.View, to) || !sleep.For(ctx, delay) {
			r.dropOutbox(key)
			log.Info().Str("step", "poison").Str("peer", to.Host).Err(err).Msg("records of suspect requests were not sent")
			return
		}
		r.returnToOutbox(key, fingerprints)
		delay = min(2*delay, maxRetryInterval)
	}
}

// takeOutbox empties an outbox, or removes it if it is empty.
func (r *Registry) takeOutbox(key receiver) []uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	box := r.outboxes[key]
	if len(box) == 0 {
		delete(r.outboxes, key)
		return nil
	}
	fingerprints := make([]uint64, 0, len(box))
	for fingerprint := range box {
		fingerprints = append(fingerprints, fingerprint)
	}
	clear(box)
	return fingerprints
}

func (r *Registry) returnToOutbox(key receiver, fingerprints []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, fingerprint := range fingerprints {
		r.outboxes[key][fingerprint] = true
	}
}

func (r *Registry) dropOutbox(key receiver) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.outboxes, key)
}

// encode returns the records with the given fingerprints.
func (r *Registry) encode(fingerprints []uint64) []*peerv1.PoisonRecord {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*peerv1.PoisonRecord, 0, len(fingerprints))
	for _, fingerprint := range fingerprints {
		if known := r.records[fingerprint]; known != nil {
			list = append(list, known.encode(fingerprint, now))
		}
	}
	return list
}
