// Package intake limits what clients make a host hold: their connections, and the heads and bodies of their requests. It stands between the listeners of a
// host and net/http, which parses a head into maps, twenty times its size for short lines, before any other code sees it.
package intake

import (
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"github.com/rattanhitch/rattanhitch/internal/quota"
	"github.com/rattanhitch/rattanhitch/pkg/logging"
)

// Shares of the memory of a host, as divisors. Together they leave room for the process itself and for garbage that is not collected yet.
const (
	headShare   = 16
	bodyShare   = 16
	answerShare = 8
)

const (
	// minHeadShare lets a single request with the longest head in also where the memory is small.
	minHeadShare = 4 << 20
	// callerMemory and lookupMemory are the memory in bytes that a host must have for each connection at these ports. A connection of a caller with a
	// request takes about a third of it.
	callerMemory = 128 << 10
	lookupMemory = 512 << 10
	// callerDescriptors and lookupDescriptors are divisors for the shares of the descriptors. The rest is for targets, other hosts and the platform.
	callerDescriptors    = 2
	lookupDescriptors    = 16
	operatorDescriptors  = 32
	handshakeDescriptors = 32
	// maxOperatorConnections is enough for operators' watches and for collectors of metrics.
	maxOperatorConnections = 64
	// minConnections is the least limit of any port.
	minConnections = 4
)

// Limits are what a host has.
type Limits struct {
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// Descriptors is the number of descriptors that it may have open.
	Descriptors int
}

// Budget divides what a host has among the clients of all its ports.
type Budget struct {
	limits Limits
	// Heads and Bodies limit the memory for the heads and bodies of requests, Answers that for what is read ahead of responses.
	Heads, Bodies, Answers *quota.Quota
	scope                  tally.Scope
	lines                  *logging.Limiter
}

// refusalsPerSecond limits the log lines about refused clients.
const refusalsPerSecond = 5

// NewBudget returns the budget of a host.
func NewBudget(l Limits) *Budget {
	return &Budget{
		limits: l, Heads: quota.New(max(l.MemoryBytes/headShare, minHeadShare)), Bodies: quota.New(l.MemoryBytes / bodyShare),
		Answers: quota.New(l.MemoryBytes / answerShare), scope: tally.NoopScope, lines: logging.NewLimiter(refusalsPerSecond),
	}
}

// SetScope sets the scope for counters. Call it before the first Listen.
func (b *Budget) SetScope(s tally.Scope) { b.scope = s.SubScope("intake") }

// CallerConnections returns the limit of connections at the port for callers.
func (b *Budget) CallerConnections() int { return b.connections(callerDescriptors, callerMemory) }

// LookupConnections returns the limit of a port for lookups.
func (b *Budget) LookupConnections() int { return b.connections(lookupDescriptors, lookupMemory) }

// OperatorConnections returns the limit of a port for operators or collectors of metrics.
func (b *Budget) OperatorConnections() int {
	return max(min(b.limits.Descriptors/operatorDescriptors, maxOperatorConnections), minConnections)
}

// Handshakes returns the limit of connections of other hosts that have not stated who they are.
func (b *Budget) Handshakes() int {
	return max(b.limits.Descriptors/handshakeDescriptors, minConnections)
}

func (b *Budget) connections(descriptors int, memory int64) int {
	return max(min(b.limits.Descriptors/descriptors, int(b.limits.MemoryBytes/memory)), minConnections)
}

// Reason is why a client was refused or its connection closed.
type Reason string

const (
	// ReasonHeadTooLarge means that a head is longer than allowed.
	ReasonHeadTooLarge Reason = "head-too-large"
	// ReasonNoMemory means that there is no memory for a head.
	ReasonNoMemory Reason = "no-memory"
	// ReasonConnections means that there are too many connections, and none of them can be closed.
	ReasonConnections Reason = "too-many-connections"
	// ReasonIdle and ReasonStalled mean that the connection was closed for another one, without a request on it or amid a request that made no
	// progress.
	ReasonIdle    Reason = "idle"
	ReasonStalled Reason = "stalled"
)

// Reasons returns all reasons.
func Reasons() []Reason {
	return []Reason{ReasonHeadTooLarge, ReasonNoMemory, ReasonConnections, ReasonIdle, ReasonStalled}
}

// report counts and logs that a client was refused, or its connection closed.
func (l *Listener) report(r Reason, peer string) {
	l.refused[r].Inc(1)
	ok, leftOut := l.budget.lines.Allow(time.Now())
	if !ok {
		return
	}
	log.Warn().Str("step", "intake").Str("port", l.port.Name).Str("peer", peer).Str("reason", string(r)).Int("left_out", leftOut).
		Int("connections", l.Open()).Int64("free_head_bytes", l.budget.Heads.Free()).Msg("client refused for the limits of this host")
}
