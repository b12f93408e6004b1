package command

import (
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// metrics counts the answers to sends of commands: responses and, by outcome, refusals.
type metrics struct{ answered, notRun, unknown tally.Counter }

func newMetrics(scope tally.Scope) *metrics {
	s := scope.SubScope("command")
	return &metrics{answered: s.Counter("answered"), notRun: s.Counter("not_run"), unknown: s.Counter("unknown")}
}

func (m *metrics) count(result Result) {
	switch {
	case result.Response != nil:
		m.answered.Inc(1)
	case result.Refusal.Outcome == reply.NotRun:
		m.notRun.Inc(1)
	default:
		m.unknown.Inc(1)
	}
}
