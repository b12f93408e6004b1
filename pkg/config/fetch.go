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
	// peersPerLoad is the maximum number of peers from which a starting host fetches in one attempt: this many in its own
	// failure domain and, if none of those had loaded a configuration, this many in the others.
	peersPerLoad = 3
)

// fetchFromNewerPeer fetches the missing changes from a host that has reported a newer version, if there is one.
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

// pickNewerPeer returns a random live host that has reported a newer version than this host's, or an empty string. It prefers
// hosts of the same failure domain.
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

// fetchFrom fetches the changes that this host lacks from another host.
func (m *Manager) fetchFrom(ctx context.Context, host string) error {
	member, ok := m.members.Lookup(host)
	if !ok {
		return steperr.New("fetch configuration", host, "host is not in the member table")
	}
	_, err := m.fetch(ctx, member)
	return err
}

// fetch fetches and applies the changes after this host's version, or a checkpoint. It reports whether the peer has loaded a
// configuration.
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

// handleFetch returns the changes after the requested version, or a checkpoint.
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

// loadFromPeers fetches the configuration from a few random hosts, first of the same failure domain, then of others. It reports
// whether one of them had loaded a configuration.
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

// loadFromAny fetches from up to peersPerLoad random members and reports whether one of them had loaded a configuration.
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
