package peer

import (
	"sync"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
)

// Distances between this host and a peer, as values of the metrics' tag "distance".
const (
	distancePlace  = "place"
	distanceRegion = "region"
	distanceOther  = "other"
)

// distance returns how far a peer is away: in the same failure domain, in the same region, or in another one.
func (i Identity) distance(o Identity) string {
	switch {
	case i.Region != o.Region:
		return distanceOther
	case i.Place != o.Place:
		return distanceRegion
	}
	return distancePlace
}

// traffic counts the bytes that this host sends to its peers: all bytes by session class, and those of control messages by method. What
// the control class has beyond its messages is yamux framing, pings and handshakes.
type traffic struct {
	scope tally.Scope
	self  Identity

	mu       sync.Mutex
	counters map[trafficKey]tally.Counter
}

// trafficKey identifies a counter. Name is that of the metric, kind the session class or the method.
type trafficKey struct {
	name, kind, distance string
}

func newTraffic(scope tally.Scope, self Identity) *traffic {
	return &traffic{scope: scope.SubScope("peer"), self: self, counters: map[trafficKey]tally.Counter{}}
}

// sentBytes returns the counter of all bytes on the sessions of a class to a peer.
func (t *traffic) sentBytes(class SessionClass, to Identity) tally.Counter {
	return t.counter(trafficKey{"sent_bytes", string(class), t.self.distance(to)})
}

// countMessage adds the size of a call to a peer, or of the answer to one.
func (t *traffic) countMessage(method string, e *peerv1.Envelope, to Identity) {
	t.counter(trafficKey{"message_bytes", method, t.self.distance(to)}).Inc(int64(proto.Size(e)))
}

func (t *traffic) counter(key trafficKey) tally.Counter {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counters[key]
	if c == nil {
		c = t.scope.Tagged(map[string]string{"kind": key.kind, "distance": key.distance}).Counter(key.name)
		t.counters[key] = c
	}
	return c
}
