package config

import (
	"sync"

	"github.com/phuslu/log"
)

// failureLog holds the last failure of each step. A failure that equals the last one of its step is not logged, so that an outage
// is not logged at every poll.
type failureLog struct {
	mu   sync.Mutex
	last map[string]string
}

// changed records the result of a step and reports whether it differs from the previous one. An empty text stands for success.
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

// logFailure logs the failure of a step unless the step failed with the same error before.
func (m *Manager) logFailure(step string, err error) {
	if m.failures.changed(step, err.Error()) {
		log.Warn().Str("module", "config").Str("step", step).Uint64("version", m.history.version()).Err(err).
			Msg("configuration step failed")
	}
}

// logSuccess logs the recovery of a step if it failed before.
func (m *Manager) logSuccess(step string) {
	if m.failures.changed(step, "") {
		log.Info().Str("module", "config").Str("step", step).Uint64("version", m.history.version()).Msg("recovered")
	}
}
