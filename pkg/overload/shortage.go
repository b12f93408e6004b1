package overload

import "time"

const (
	// onsetTime is for how long a process must be short of processor time before that counts as lasting. Each change of a member spreads to
	// all hosts and costs all of them processor time, and most shortages of small hosts are over by then.
	onsetTime = 500 * time.Millisecond
	// recoveryTime is for how long a process must have enough processor time before a lasting shortage has ended. Hysteresis keeps its callers,
	// who look up hosts every few seconds, from going and coming.
	recoveryTime = 3 * time.Second
)

// shortage tells whether this process is short of processor time for longer than a moment.
type shortage struct {
	// since is when the present shortage began, or zero.
	since   time.Time
	lasting bool
}

// update takes the present state of the meter and reports whether there is a lasting shortage. It must be called every reportInterval.
func (s *shortage) update(m *Meter, now time.Time) (lasting bool) {
	short := m.ShortageWithin(2*reportInterval, now)
	switch {
	case !short:
		s.since = time.Time{}
	case s.since.IsZero():
		s.since = now
	}
	if s.lasting {
		s.lasting = m.ShortageWithin(recoveryTime, now)
	} else {
		s.lasting = short && now.Sub(s.since) >= onsetTime
	}
	return s.lasting
}
