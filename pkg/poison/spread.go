package poison

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Spread of records.
//
// The host of a dispatcher sends a change to all hosts of its failure domain and to the relays of the other failure domains, which
// send it to the hosts of theirs. Changes are sent after a short delay, together with the others of that time. A host that starts
// requests all records from some hosts, and so does a relay for each failure domain that appears in its view.

const (
	methodReport  = "poison.report"
	methodRecords = "poison.records"

	// crashDelay is how long a crash waits for others to be sent with it: a target that ends breaks several requests at once.
	crashDelay = 5 * time.Millisecond
	// answerDelay is the same for answers, which are not urgent and come one by one.
	answerDelay = 200 * time.Millisecond
	// callTimeout limits one call. A failed one is repeated after retryInterval; for reports that doubles up to maxRetryInterval, and
	// maxAttempts limits them to about a minute.
	callTimeout      = 500 * time.Millisecond
	retryInterval    = 200 * time.Millisecond
	maxRetryInterval = 2 * time.Second
	maxAttempts      = 30
	// startupPeers is the number of hosts of its failure domain from which a starting host requests all records.
	startupPeers = 3
)

// receivers is a set of groups of hosts.
type receivers int

const (
	// toDomain are the hosts of this failure domain.
	toDomain receivers = 1 << iota
	// toRelays are the relays of the other failure domains, which pass records on to the hosts of theirs.
	toRelays

	toAll = toDomain | toRelays
)

// pendingRecord is a record to be sent.
type pendingRecord struct {
	to  receivers
	due time.Time
}

// schedule adds a record to those to be sent. r.mu must be held.
func (r *Registry) schedule(fingerprint uint64, to receivers, due time.Time) {
	p, ok := r.pending[fingerprint]
	if !ok || due.Before(p.due) {
		p.due = due
	}
	p.to |= to
	r.pending[fingerprint] = p
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Start reads the records in the platform's table, for startTimeout at most, and then exchanges records with other hosts in the
// background until Close.
func (r *Registry) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	r.group.Go(func() { r.sendLoop(ctx) })
	r.group.Go(func() { r.fetchLoop(ctx) })
	if r.opts.Table != nil {
		r.group.Go(func() { r.writeLoop(ctx) })
		if !r.loadAtStart(ctx) {
			r.group.Go(func() { r.loadRows(ctx) })
		}
	}
}

// Close ends the exchange and returns when all goroutines have ended.
func (r *Registry) Close() {
	r.stop()
	r.group.Wait()
}

// sendLoop sends the pending records when the first of them is due. Those that are due later are sent with it.
func (r *Registry) sendLoop(ctx context.Context) {
	for {
		due, found := r.nextDue()
		if !found {
			select {
			case <-r.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		timer := time.NewTimer(time.Until(due))
		select {
		case <-timer.C:
			r.sendPending(ctx)
		case <-r.wake: // an earlier one may be due
		case <-ctx.Done():
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// nextDue returns when the first pending record is due; found is false if there is none.
func (r *Registry) nextDue() (due time.Time, found bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pending {
		if !found || p.due.Before(due) {
			due, found = p.due, true
		}
	}
	return due, found
}

// takePending removes all pending records and returns their fingerprints by group of receivers.
func (r *Registry) takePending() (domain, relays []uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for fingerprint, p := range r.pending {
		if p.to&toDomain != 0 {
			domain = append(domain, fingerprint)
		}
		if p.to&toRelays != 0 {
			relays = append(relays, fingerprint)
		}
	}
	clear(r.pending)
	return domain, relays
}

// sendPending puts the pending records into the outboxes of their receivers.
func (r *Registry) sendPending(ctx context.Context) {
	domain, relays := r.takePending()
	self := r.opts.View.Self()
	if len(domain) > 0 {
		for _, m := range r.opts.View.Domain(self.FailureDomain) {
			if m.Host != self.Host {
				r.post(ctx, m, domain)
			}
		}
	}
	if len(relays) == 0 {
		return
	}
	for _, failureDomain := range r.otherDomains() {
		for _, m := range membership.Relays(r.opts.View.All(), failureDomain) {
			r.post(ctx, m, relays)
		}
	}
}

// otherDomains returns the names of the other failure domains with a host in the view.
func (r *Registry) otherDomains() []string {
	var list []string
	seen := map[string]bool{r.opts.View.Self().FailureDomain: true}
	for _, m := range r.opts.View.All() {
		if !seen[m.FailureDomain] {
			seen[m.FailureDomain] = true
			list = append(list, m.FailureDomain)
		}
	}
	return list
}

func (r *Registry) call(ctx context.Context, to peer.Address, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return r.opts.Caller.Call(ctx, to, method, req, resp)
}

// handleReport serves the RPC poison.report.
func (r *Registry) handleReport(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	report := &peerv1.PoisonReport{}
	if err := proto.Unmarshal(payload, report); err != nil {
		return nil, steperr.Wrap(err, "decode report of suspect requests", from.Host)
	}
	to := receivers(0)
	if report.GetPassOn() {
		to = toDomain
	}
	r.receive(report.GetRecords(), to)
	return &peerv1.PoisonReportResponse{}, nil
}

// handleRecords serves the RPC poison.records.
func (r *Registry) handleRecords(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	if err := proto.Unmarshal(payload, &peerv1.PoisonRecordsRequest{}); err != nil {
		return nil, steperr.Wrap(err, "decode request for records of suspect requests", from.Host)
	}
	return &peerv1.PoisonRecordsResponse{Records: r.Records()}, nil
}

// fetchLoop requests the records of this failure domain once, and, on a relay, those of each other failure domain whenever it appears
// in the view: this host, or all of its failure domain, may have missed reports.
func (r *Registry) fetchLoop(ctx context.Context) {
	fetched := map[string]bool{}
	for ctx.Err() == nil {
		changed := r.opts.View.Changed()
		var again <-chan time.Time
		if r.fetchMissing(ctx, fetched) {
			again = time.After(retryInterval)
		}
		select {
		case <-changed:
		case <-again:
		case <-ctx.Done():
		}
	}
}

// fetchMissing requests the records of the failure domains that are not in fetched yet, and reports whether one of them must be asked
// again. One without other hosts is asked when a host appears in the view.
func (r *Registry) fetchMissing(ctx context.Context, fetched map[string]bool) (retry bool) {
	domains := []string{r.opts.View.Self().FailureDomain}
	if r.isRelay() {
		domains = append(domains, r.otherDomains()...)
	}
	for name := range fetched {
		if len(r.opts.View.Domain(name)) == 0 {
			delete(fetched, name)
		}
	}
	for _, name := range domains {
		if fetched[name] {
			continue
		}
		asked, answered := r.fetchFrom(ctx, name)
		fetched[name] = answered
		retry = retry || asked && !answered
	}
	return retry
}

func (r *Registry) isRelay() bool {
	self := r.opts.View.Self()
	for _, m := range membership.Relays(r.opts.View.All(), self.FailureDomain) {
		if m.Host == self.Host {
			return true
		}
	}
	return false
}

// fetchFrom requests the records of some hosts of a failure domain, and reports whether there is one and whether one has answered. What
// another failure domain knows is sent to the hosts of this one.
func (r *Registry) fetchFrom(ctx context.Context, failureDomain string) (asked, answered bool) {
	self := r.opts.View.Self()
	to := receivers(0)
	if failureDomain != self.FailureDomain {
		to = toDomain
	}
	for _, m := range r.randomMembers(failureDomain, startupPeers) {
		asked = true
		resp := &peerv1.PoisonRecordsResponse{}
		if err := r.call(ctx, m.Address(), methodRecords, &peerv1.PoisonRecordsRequest{}, resp); err != nil {
			log.Debug().Str("step", "poison").Str("peer", m.Host).Err(err).Msg("records of suspect requests were not received")
			continue
		}
		answered = true
		r.receive(resp.GetRecords(), to)
	}
	return asked, answered
}

// randomMembers returns up to n hosts of a failure domain, without this one.
func (r *Registry) randomMembers(failureDomain string, n int) []membership.Member {
	self := r.opts.View.Self().Host
	others := slices.DeleteFunc(slices.Clone(r.opts.View.Domain(failureDomain)), func(m membership.Member) bool { return m.Host == self })
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:min(n, len(others))]
}
