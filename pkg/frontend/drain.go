package frontend

import (
	"context"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/pkg/config"
)

// watchDrains sets the entry handler to leaving while a drain covers this host or its failure domain, so that responses ask
// callers to close their connections. A drained host is no longer in lookup responses, but callers would keep using open
// connections.
func (m *Module) watchDrains(ctx context.Context, store *config.Store) {
	drained := false
	for {
		changed := store.Changed()
		hosts, failureDomains := store.Current().DrainedHosts()
		now := hosts[m.settings.Host] || failureDomains[m.settings.FailureDomain]
		if now != drained {
			drained = now
			m.Entry.SetLeaving(drained)
			log.Info().Str("step", "follow drains").Bool("drained", drained).Msg("drain of this host changed")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}
