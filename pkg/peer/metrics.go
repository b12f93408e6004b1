package peer

import "github.com/uber-go/tally/v4"

type metrics struct {
	calls            tally.Counter
	callErrors       tally.Counter
	callRetries      tally.Counter
	unmatchedAnswers tally.Counter
	dials            tally.Counter
	dialErrors       tally.Counter
	accepted         tally.Counter
	handshakeErrors  tally.Counter
	sessionsLost     tally.Counter
	served           tally.Counter
	rejected         tally.Counter
	panics           tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("peer")
	return metrics{
		calls:            s.Counter("calls"),
		callErrors:       s.Counter("call_errors"),
		callRetries:      s.Counter("call_retries"),
		unmatchedAnswers: s.Counter("unmatched_answers"),
		dials:            s.Counter("dials"),
		dialErrors:       s.Counter("dial_errors"),
		accepted:         s.Counter("accepted_sessions"),
		handshakeErrors:  s.Counter("handshake_errors"),
		sessionsLost:     s.Counter("sessions_lost"),
		served:           s.Counter("served_calls"),
		rejected:         s.Counter("rejected_calls"),
		panics:           s.Counter("handler_panics"),
	}
}
