// Package poison recognises requests that make the targets which run them end, and shares among all hosts what is known about them. A
// request is identified by its fingerprint, a hash of its content. It is a suspect once a target has ended while it ran the request;
// after more such crashes it is refused, for a short time first and then for longer. An answer shows that a request is innocent.
package poison

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// maxRecords bounds the number of records; the oldest one makes room for a new one.
const maxRecords = 4096

// Options are the dependencies of a Registry.
type Options struct {
	View      membership.View
	Caller    peer.Caller
	Registrar peer.Registrar
	// Table keeps the records of suspect requests for the case that all hosts are lost; nil means that nothing is kept.
	Table store.Table
	Scope tally.Scope
}

// Registry holds the records of a host. It is safe for concurrent use.
type Registry struct {
	opts Options
	// count is the number of records, so that hosts which know no suspect need no lock.
	count atomic.Int64
	wake  chan struct{}
	// wakeWriter wakes writeLoop.
	wakeWriter chan struct{}
	group      conc.WaitGroup
	stop       context.CancelFunc

	crashes, verdicts tally.Counter
	suspects          tally.Gauge

	mu      sync.Mutex
	records map[uint64]*record
	// pending holds the records to be sent to other hosts.
	pending map[uint64]pendingRecord
	// outboxes holds the outboxes of the hosts to which records are being sent.
	outboxes map[receiver]outbox
	// unwritten holds the fingerprints of the records to be written to the platform's table.
	unwritten map[uint64]bool
}

// New registers the RPC handlers. The registry exchanges records with other hosts from Start on.
func New(o Options) *Registry {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	scope := o.Scope.SubScope("poison")
	r := &Registry{
		opts: o, wake: make(chan struct{}, 1), wakeWriter: make(chan struct{}, 1), stop: func() {},
		records: map[uint64]*record{}, pending: map[uint64]pendingRecord{}, outboxes: map[receiver]outbox{},
		unwritten: map[uint64]bool{},
		crashes:   scope.Counter("crashes"), verdicts: scope.Counter("verdicts"), suspects: scope.Gauge("records"),
	}
	o.Registrar.Handle(methodReport, r.handleReport)
	o.Registrar.Handle(methodRecords, r.handleRecords)
	return r
}

// Crashed records that a target ended while it ran a request. FailureDomain is set by the registry.
func (r *Registry) Crashed(fingerprint uint64, c Crash) {
	if fingerprint == 0 {
		return
	}
	c.FailureDomain = r.opts.View.Self().FailureDomain
	r.crashes.Inc(1)
	r.update(fingerprint, &record{crashes: []Crash{c}}, toAll, crashDelay, time.Now())
}

// Answered records that a target answered a request. It is cheap for requests that are no suspects.
func (r *Registry) Answered(fingerprint uint64) {
	now := time.Now()
	if r.IsSuspect(fingerprint, now) {
		r.update(fingerprint, &record{answeredAt: now}, toAll, answerDelay, now)
	}
}

// HasRecords reports whether any request is or was a suspect.
func (r *Registry) HasRecords() bool { return r.count.Load() > 0 }

// IsSuspect reports whether a target has ended while it ran the request, and none has answered it since.
func (r *Registry) IsSuspect(fingerprint uint64, now time.Time) bool {
	if !r.HasRecords() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[fingerprint]
	return known != nil && now.Sub(known.lastEnd()) < poisonTTL
}

// RefusedFor returns for how long the request is still refused, or 0.
func (r *Registry) RefusedFor(fingerprint uint64, now time.Time) time.Duration {
	if !r.HasRecords() {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[fingerprint]
	if known == nil {
		return 0
	}
	return max(0, known.refusedUntil(r.trialSlot(fingerprint)).Sub(now))
}

// trialSlot returns this failure domain's delay after a quarantine, in units of trialSpacing.
func (r *Registry) trialSlot(fingerprint uint64) int {
	key := r.opts.View.Self().FailureDomain + "/" + strconv.FormatUint(fingerprint, 36)
	return int(xxhash.Sum64String(key) % trialSlots)
}

// Records returns the records of all suspects.
func (r *Registry) Records() []*peerv1.PoisonRecord {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*peerv1.PoisonRecord
	for fingerprint, known := range r.records {
		if len(known.crashes) > 0 && !known.expired(now) {
			list = append(list, known.encode(fingerprint, now))
		}
	}
	return list
}

// Merge adds records of another host, without passing them on.
func (r *Registry) Merge(records []*peerv1.PoisonRecord) { r.receive(records, 0) }

// receive merges records of another host and sends them on to some receivers.
func (r *Registry) receive(records []*peerv1.PoisonRecord, to receivers) {
	now := time.Now()
	for _, m := range records {
		delay := crashDelay
		if len(m.GetCrashes()) == 0 {
			delay = answerDelay
		}
		if m.GetFingerprint() != 0 {
			r.update(m.GetFingerprint(), decode(m, now), to, delay, now)
		}
	}
}

// update merges a record into the one of its fingerprint, and schedules that for the given receivers after a delay. What other hosts
// sent is passed on even if it is known already: it may have come from a host that does not pass it on.
func (r *Registry) update(fingerprint uint64, o *record, to receivers, delay time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.records[fingerprint]
	if known == nil {
		r.makeRoom(now)
		known = &record{}
		r.records[fingerprint] = known
	}
	before := known.strikes()
	known.merge(o)
	strikes := known.strikes()
	if strikes > before && strikes >= 2 {
		r.logVerdict(fingerprint, known, strikes)
	}
	// Receivers mean that this host has seen the crash or the answer or is a relay; the crashes may have been seen by different hosts.
	if to != 0 && (strikes > before || strikes == 0 && known.persisted) {
		r.persist(fingerprint)
	}
	r.count.Store(int64(len(r.records)))
	r.suspects.Update(float64(len(r.records)))
	if to != 0 {
		r.schedule(fingerprint, to, now.Add(delay))
	}
}

// makeRoom removes expired records if there are maxRecords, and the oldest one if none is expired. r.mu must be held.
func (r *Registry) makeRoom(now time.Time) {
	if len(r.records) < maxRecords {
		return
	}
	var oldest uint64
	var oldestAt time.Time
	for fingerprint, known := range r.records {
		if known.expired(now) {
			delete(r.records, fingerprint)
			continue
		}
		at := known.lastEnd()
		if at.Before(known.answeredAt) {
			at = known.answeredAt
		}
		if oldestAt.IsZero() || at.Before(oldestAt) {
			oldest, oldestAt = fingerprint, at
		}
	}
	if len(r.records) >= maxRecords {
		delete(r.records, oldest)
	}
}

// logVerdict logs that a request is refused from now on.
func (r *Registry) logVerdict(fingerprint uint64, known *record, strikes int) {
	r.verdicts.Inc(1)
	last := known.crashes[len(known.crashes)-1]
	log.Warn().Str("step", "poison").Str("fingerprint", strconv.FormatUint(fingerprint, 36)).Int("strikes", strikes).
		Int("crashes", len(known.crashes)).Str("target", last.Target).Str("failure_domain", last.FailureDomain).
		Msg("request is refused because targets ended while they ran it")
}
