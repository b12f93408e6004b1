package config

import (
	"context"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	methodPush = "config.push"
	// relayAttempts is the number of hosts of another failure domain that are tried one after the other as relay.
	relayAttempts = 3
)

// pushToAllDomains pushes changes to all hosts of this failure domain and to one host of each other failure domain, which
// relays them within its domain.
func (m *Manager) pushToAllDomains(changes []*configv1.Change) {
	m.pushToOwnDomain(changes, "")
	self := m.members.Self()
	domains := map[string][]membership.Member{}
	for _, member := range m.members.All() {
		if member.FailureDomain != self.FailureDomain {
			domains[member.FailureDomain] = append(domains[member.FailureDomain], member)
		}
	}
	for _, members := range domains {
		m.spawn(func(ctx context.Context) { m.pushToOtherDomain(ctx, members, changes) })
	}
}

// pushToOwnDomain pushes changes to all other hosts of this failure domain except the one that sent them.
func (m *Manager) pushToOwnDomain(changes []*configv1.Change, except string) {
	self := m.members.Self()
	for _, member := range m.members.All() {
		if member.FailureDomain != self.FailureDomain || member.Host == self.Host || member.Host == except {
			continue
		}
		m.spawn(func(ctx context.Context) { _ = m.push(ctx, member, changes, false) })
	}
}

// pushToOtherDomain pushes changes to the members of another failure domain, in random order, until one has accepted them. That
// host relays them within its domain.
func (m *Manager) pushToOtherDomain(ctx context.Context, members []membership.Member, changes []*configv1.Change) {
	for i, n := range m.randomOrder(len(members)) {
		if i == relayAttempts || m.push(ctx, members[n], changes, true) == nil {
			return
		}
	}
}

// push sends changes to one host, which relays them within its failure domain if relay is set. Pushes are not retried: a host
// that misses one fetches the changes when it next compares versions.
func (m *Manager) push(ctx context.Context, to membership.Member, changes []*configv1.Change, relay bool) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	req := &peerv1.PushConfigRequest{Changes: changes, Version: m.history.version(), Relay: relay}
	m.count("pushes")
	err := m.caller.Call(ctx, to.Address(), methodPush, req, &peerv1.PushConfigResponse{})
	if err != nil {
		m.count("push_failures")
	}
	return steperr.Wrap(err, "push configuration", to.Host)
}

// handlePush applies pushed changes that are newer than this host's version and relays them if requested. If changes are
// missing, it fetches them from the sender in the background.
func (m *Manager) handlePush(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.PushConfigRequest{}
	if err := unmarshal(payload, req); err != nil {
		return nil, steperr.Wrap(err, "decode push", from.Host)
	}
	before := m.history.version()
	err := m.history.apply(req.GetChanges())
	if err != nil && !errors.Is(err, errGap) {
		return nil, steperr.Wrap(err, "apply push", from.Host)
	}
	if req.GetVersion() > m.history.version() {
		m.spawn(func(ctx context.Context) { m.fetchAfterPush(ctx, from.Host, req.GetRelay()) })
	} else if req.GetRelay() && m.history.version() > before {
		m.pushToOwnDomain(slices.Clone(req.GetChanges()), from.Host)
	}
	return &peerv1.PushConfigResponse{Version: m.history.version()}, nil
}

// fetchAfterPush fetches the changes that were missing after a push from its sender. If relay is set, it pushes them to this
// failure domain.
func (m *Manager) fetchAfterPush(ctx context.Context, from string, relay bool) {
	before := m.history.version()
	if err := m.fetchFrom(ctx, from); err != nil {
		return
	}
	if relay && m.history.version() > before {
		changes, _ := m.history.changesAfter(before, scanLimit)
		m.pushToOwnDomain(slices.Clone(changes), from)
	}
}
