package config

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// pollKey is the rendezvous hashing key that selects the host that polls the platform for its failure domain.
	pollKey = "config/poll"
	// loadInterval is the pause between two attempts to load a first configuration.
	loadInterval = 500 * time.Millisecond
	// loadPeerAttempts is the number of attempts to load from peers after which a host that is not the poller also reads from
	// the platform. Without this delay, every host would read from the platform when all hosts restart.
	loadPeerAttempts = 4
)

// load loads a first configuration, from peers if one of them has loaded one, otherwise from the platform. It also accepts a
// version that arrives by push, which may be the only source during an outage of the platform.
func (m *Manager) load(ctx context.Context) {
	for attempt := 1; !m.isReady(); attempt++ {
		if m.loadFromPeers(ctx) || m.history.version() > 0 {
			m.markReady()
			return
		}
		if m.isPoller() || attempt > loadPeerAttempts {
			m.poll(ctx)
		}
		if !m.isReady() && !m.sleepWithJitter(ctx, loadInterval) {
			return
		}
	}
}

// isPoller reports whether this host polls the platform for its failure domain. A host whose membership view lists no host of the
// failure domain polls too.
func (m *Manager) isPoller() bool {
	self := m.members.Self()
	owner := rendezvous.Owner(pollKey, hostNames(m.members.Domain(self.FailureDomain)))
	return owner == self.Host || owner == ""
}

func hostNames(members []membership.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Host)
	}
	return names
}

// poll reads the head row and all changes up to it, unless this host is ready and not the poller. If the head row cannot be
// read, it delegates the poll to other hosts of the failure domain.
func (m *Manager) poll(ctx context.Context) {
	if m.isReady() && !m.isPoller() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	m.count("polls")
	h, err := m.readHead(ctx)
	if err != nil {
		m.count("poll_failures")
		m.logFailure("poll", err)
		m.delegatePoll()
		return
	}
	if h.GetVersion() > m.history.version() {
		if err := m.readAndPush(ctx, h); err != nil {
			m.logFailure("read configuration", err)
		} else {
			m.logSuccess("read configuration")
		}
	}
	if m.history.version() >= h.GetVersion() {
		m.logSuccess("poll")
		m.markReady()
	}
}

func isOutage(err error) bool { return errors.Is(err, store.ErrUnavailable) }
