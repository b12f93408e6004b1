package permit

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"
	"github.com/sourcegraph/conc/panics"

	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/pkg/config"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
)

// restartBackoff is the exponential backoff before a superseded dispatcher is started again. Without it, two hosts that each rank
// first in their own view would keep superseding each other's dispatcher.
type restartBackoff struct {
	// until is when the dispatcher may start again.
	until time.Time
	// delay is the backoff without jitter; the next one is twice as long.
	delay time.Duration
}

// reconcileDispatchers starts the dispatchers that this host owns and stops those of services without targets. A dispatcher that
// this host no longer owns keeps running until the recover call of the new owner supersedes it, so that grants continue during
// the handover.
func (m *Manager) reconcileDispatchers() {
	m.updateKnownHosts()
	members := membership.Owners(m.opts.View, m.opts.FailureDomain)
	served := map[string]bool{}
	snap := m.opts.Store.Current()
	for _, o := range snap.List(config.KindService) {
		service := o.GetService().GetName()
		// With load balancing between failure domains, the dispatcher of a service without local targets redirects requests.
		if len(snap.Targets(service, m.opts.FailureDomain)) == 0 && !snap.Policy(service).GetBalanceRegions() {
			continue
		}
		for _, key := range shardKeys(snap, service, m.opts.FailureDomain) {
			served[key] = true
			if order := rankHosts(key, members); len(order) > 0 && order[0].Host == m.self.Host {
				m.startDispatcher(key)
			}
		}
	}
	for service := range m.running() {
		if !served[service] {
			m.stopDispatcher(service)
		}
	}
}

// startDispatcher starts a dispatcher with a new term, unless one is running or its restart backoff has not ended.
func (m *Manager) startDispatcher(service string) {
	if m.dispatcher(service) != nil || m.inBackoff(service) {
		return
	}
	id := dispatcherID{host: m.self.Host, incarnation: m.self.Incarnation, term: m.state(service).nextTerm()}
	d := newDispatcher(m, service, id)
	if !m.addDispatcher(service, d) {
		return
	}
	log.Info().Str("step", "dispatcher").Str("service", service).Uint64("term", id.term).Msg("dispatcher starts")
	m.group.Go(func() {
		d.runRecovering()
		if d.superseded {
			log.Info().Str("step", "dispatcher").Str("service", service).Uint64("term", id.term).
				Str("newest", m.state(service).followed().host).Msg("dispatcher is superseded")
			m.scheduleRestart(d)
		}
	})
}

// runRecovering runs a dispatcher. One that panics ends like a superseded one: it is started again and recovers the permits in use, instead of
// leaving the service without a dispatcher.
func (d *dispatcher) runRecovering() {
	panicked := panics.Try(d.run)
	if panicked == nil {
		return
	}
	invariant.Rethrow(panicked.Value)
	d.superseded = true
	log.Error().Err(panicked.AsError()).Str("step", "dispatcher").Str("service", d.service).Msg("dispatcher panicked")
}

// addDispatcher adds a dispatcher to those that run. It returns false after Close, because the dispatcher would never run, and
// stopDispatcher would wait for its end. It is called in a goroutine that Close waits for.
func (m *Manager) addDispatcher(service string, d *dispatcher) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.dispatchers[service] = d
	}
	return !m.closed
}

func (m *Manager) inBackoff(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return time.Now().Before(m.backoffs[service].until)
}

// scheduleRestart removes a superseded dispatcher and lets reconcileDispatchers start another one after a backoff, if this host
// is still the owner.
func (m *Manager) scheduleRestart(d *dispatcher) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dispatchers[d.service] == d {
		delete(m.dispatchers, d.service)
	}
	backoff := initialBackoff
	if r := m.backoffs[d.service]; time.Since(r.until) < maxBackoff {
		backoff = min(2*r.delay, maxBackoff)
	}
	// The jitter is derived from the host name: competing hosts wait for different times, so that one completes its recovery.
	jittered := backoff + backoff*time.Duration(xxhash.Sum64String(m.self.Host)%64)/64
	m.backoffs[d.service] = restartBackoff{until: time.Now().Add(jittered), delay: backoff}
	time.AfterFunc(jittered, func() {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	})
}

// stopDispatcher stops a dispatcher, if it is running, and waits until it has ended.
func (m *Manager) stopDispatcher(service string) {
	m.mu.Lock()
	d := m.dispatchers[service]
	delete(m.dispatchers, service)
	m.mu.Unlock()
	if d != nil {
		close(d.stop)
		<-d.done
	}
}
