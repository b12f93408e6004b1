package frontend

import (
	"context"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/pkg/config"
)

// watchDrains asks callers to close their connections while a drain covers this host. Lookups name other hosts from the
// moment at which the drain is in force, but callers keep open connections for as long as they work.
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
