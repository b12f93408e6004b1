package tunnel

import "github.com/uber-go/tally/v4"

type metrics struct {
	// opened and failed count the connections of this host through gateways, served those that it opened for other hosts.
	opened, failed, served tally.Counter
	// isolated is 1 while this host is isolated.
	isolated tally.Gauge
}

func newMetrics(scope tally.Scope) metrics {
	s := scope.SubScope("tunnel")
	return metrics{opened: s.Counter("opened"), failed: s.Counter("failed"), served: s.Counter("served"), isolated: s.Gauge("isolated")}
}

func (m metrics) setIsolated(isolated bool) {
	value := 0.0
	if isolated {
		value = 1
	}
	m.isolated.Update(value)
}
