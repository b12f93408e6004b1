package config

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	methodFetch = "config.fetch"
	// peersPerLoad is the number of peers that a starting host asks at once.
	peersPerLoad = 3
)

// fetchFromNewerPeer fetches from a host that has reported a newer version.
func (m *Manager) fetchFromNewerPeer(ctx context.Context) {
	defer m.updateGauges()
	host := m.pickNewerPeer()
	if host == "" {
		return
	}
	if err := m.fetchFrom(ctx, host); err != nil {
		m.count("fetch_failures")
	}
}

// pickNewerPeer returns a host with a newer version than this one, from the own failure domain if there is one.
func (m *Manager) pickNewerPeer() string {
	own := m.history.version()
	var sameDomain, otherDomains []string
	for host, version := range m.options.PeerVersions() {
		if version <= own {
			continue
		}
		member, ok := m.members.Lookup(host)
		switch {
		case !ok || member.State == membership.StateDead:
		case member.FailureDomain == m.members.Self().FailureDomain:
			sameDomain = append(sameDomain, host)
		default:
			otherDomains = append(otherDomains, host)
		}
	}
	candidates := sameDomain
	if len(sameDomain) == 0 {
		candidates = otherDomains
	}
	if len(candidates) == 0 {
		return ""
	}
	slices.Sort(candidates)
	return candidates[m.randomOrder(len(candidates))[0]]
}

// fetchFrom gets the changes that a host has and this one lacks.
func (m *Manager) fetchFrom(ctx context.Context, host string) error {
	member, ok := m.members.Lookup(host)
	if !ok {
		return steperr.New("fetch configuration", host, "the host is not known")
	}
	_, err := m.fetch(ctx, member)
	return err
}

// fetch reports whether the peer has loaded a configuration.
func (m *Manager) fetch(ctx context.Context, from membership.Member) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	m.count("fetches")
	req := &peerv1.FetchConfigRequest{AfterVersion: m.history.version()}
	resp := &peerv1.FetchConfigResponse{}
	if err := m.caller.Call(ctx, from.Address(), methodFetch, req, resp); err != nil {
		return false, steperr.Wrap(err, "fetch configuration", from.Host)
	}
	if checkpoint := resp.GetCheckpoint(); checkpoint != nil {
		m.history.applyCheckpoint(checkpoint)
	}
	if err := m.history.apply(resp.GetChanges()); err != nil {
		return false, steperr.Wrap(err, "apply fetched configuration", from.Host)
	}
	return resp.GetLoaded(), nil
}

// handleFetch answers with the changes after a version.
func (m *Manager) handleFetch(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.FetchConfigRequest{}
	if err := unmarshal(payload, req); err != nil {
		return nil, steperr.Wrap(err, "decode fetch", from.Host)
	}
	changes, checkpoint := m.history.changesAfter(req.GetAfterVersion(), m.options.RecentChanges)
	return &peerv1.FetchConfigResponse{
		Checkpoint: checkpoint,
		Changes:    slices.Clone(changes),
		Version:    m.history.version(),
		Loaded:     m.isReady() || m.history.version() > 0,
	}, nil
}

// loadFromPeers asks a few hosts for their configuration, those of the own failure domain first, and reports whether one
// of them had loaded one.
func (m *Manager) loadFromPeers(ctx context.Context) bool {
	self := m.members.Self()
	var sameDomain, otherDomains []membership.Member
	for _, member := range m.members.All() {
		switch {
		case member.Host == self.Host:
		case member.FailureDomain == self.FailureDomain:
			sameDomain = append(sameDomain, member)
		default:
			otherDomains = append(otherDomains, member)
		}
	}
	return m.loadFromAny(ctx, sameDomain) || m.loadFromAny(ctx, otherDomains)
}

func (m *Manager) loadFromAny(ctx context.Context, members []membership.Member) bool {
	loaded := false
	for i, n := range m.randomOrder(len(members)) {
		if i == peersPerLoad {
			break
		}
		ok, err := m.fetch(ctx, members[n])
		loaded = loaded || ok && err == nil
	}
	return loaded
}
