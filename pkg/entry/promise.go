package entry

import "slices"

// promiseBasis is why a host states that a request was not executed.
type promiseBasis string

const (
	// basisNoSend means that the request was never about to be sent, basisNotSent that no send of it wrote a byte.
	basisNoSend  promiseBasis = "no-send"
	basisNotSent promiseBasis = "not-sent"
	// basisTarget and basisHost mean that a target or another host states it, for at least one send.
	basisTarget promiseBasis = "target"
	basisHost   promiseBasis = "host"
)

// promiseBases lists all bases, each one relying on more than those before it.
var promiseBases = []promiseBasis{basisNoSend, basisNotSent, basisTarget, basisHost}

// promiseBasis returns the last basis of promiseBases that any send relies on.
func (h *routingHistory) promiseBasis() promiseBasis {
	rank := 0
	for _, s := range h.sends {
		rank = max(rank, slices.Index(promiseBases, s.basis()))
	}
	return promiseBases[rank]
}

// basis returns what the statement that a send was not executed relies on.
func (s sendRecord) basis() promiseBasis {
	switch {
	case s.execution == executionNotSent:
		return basisNotSent
	case s.toHost:
		return basisHost
	}
	return basisTarget
}
