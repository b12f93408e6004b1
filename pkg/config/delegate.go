package config

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
)

const (
	methodPoll = "config.poll"
	// maxPollDelegates is the number of other hosts that are asked to poll when the poller cannot reach the platform.
	maxPollDelegates = 2
)

// delegatePoll asks other hosts of the failure domain to poll, one after the other, until one succeeds. Otherwise the whole
// failure domain would miss changes while only its poller cannot reach the platform.
func (m *Manager) delegatePoll() {
	m.spawn(func(ctx context.Context) {
		for _, member := range m.delegates() {
			if m.requestPoll(ctx, member) == nil {
				return
			}
		}
	})
}

// delegates returns the first maxPollDelegates hosts in the rendezvous ranking for pollKey, without this host.
func (m *Manager) delegates() []membership.Member {
	self := m.members.Self()
	var members []membership.Member
	for _, host := range rendezvous.Rank(pollKey, hostNames(m.members.Domain(self.FailureDomain))) {
		if member, ok := m.members.Lookup(host); ok && host != self.Host && len(members) < maxPollDelegates {
			members = append(members, member)
		}
	}
	return members
}

// requestPoll asks a host to poll the platform.
func (m *Manager) requestPoll(ctx context.Context, to membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m.count("delegated_polls")
	err := m.caller.Call(ctx, to.Address(), methodPoll, &peerv1.FetchConfigRequest{}, &peerv1.FetchConfigResponse{})
	return steperr.Wrap(err, "ask to poll", to.Host)
}

// handlePoll polls the platform at the request of another host and pushes new changes to the failure domain, which includes
// that host.
func (m *Manager) handlePoll(ctx context.Context, _ peer.Identity, _ []byte) (proto.Message, error) {
	h, err := m.readHead(ctx)
	if err != nil {
		return nil, err
	}
	if err := m.readAndPush(ctx, h); err != nil {
		return nil, err
	}
	return &peerv1.FetchConfigResponse{Version: m.history.version(), Loaded: true}, nil
}
