package config

import (
	"sync"

	"github.com/phuslu/log"
)

// failureLog remembers the last failure of each step, so that an outage is logged once and not with every poll.
type failureLog struct {
	mu   sync.Mutex
	last map[string]string
}

// changed reports whether a step's failure differs from its last one; an empty text stands for success.
func (f *failureLog) changed(step, text string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.last == nil {
		f.last = map[string]string{}
	}
	differs := f.last[step] != text
	f.last[step] = text
	return differs
}

func (m *Manager) logFailure(step string, err error) {
	if m.failures.changed(step, err.Error()) {
		log.Warn().Str("module", "config").Str("step", step).Uint64("version", m.history.version()).Err(err).Msg("failed")
	}
}

func (m *Manager) logSuccess(step string) {
	if m.failures.changed(step, "") {
		log.Info().Str("module", "config").Str("step", step).Uint64("version", m.history.version()).Msg("recovered")
	}
}
