package entry

import (
	"context"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/entry/upstream"
)

// lossCause is why the connection to a target was lost.
type lossCause int

const (
	// lossNone means that no connection was lost.
	lossNone lossCause = iota
	// lossConnectionOnly means that the target goes on running, as far as this host can tell.
	lossConnectionOnly
	// lossTargetEnded means that the target accepts no other connection.
	lossTargetEnded
	// lossHostIsolated means that this host has lost its links to targets, and that no other host has told that this one has ended.
	lossHostIsolated
)

// findLossCause tries to open another connection to the target of an attempt. A target that ends resets its connections, so one that only
// went silent is no sign of its end.
func (h *Handler) findLossCause(rq *request, a *attempt) lossCause {
	var err error
	if !a.silent {
		err = h.targets.Probe(context.WithoutCancel(rq.ctx), a.grant.Address)
	}
	inconclusive := err == nil || errors.Is(err, context.DeadlineExceeded)
	switch {
	case inconclusive && h.opts.Paths.Isolated(), errors.Is(err, upstream.ErrNoPath):
		return lossHostIsolated
	case err == nil:
		return lossConnectionOnly
	}
	return lossTargetEnded
}

// isSilence reports whether a connection was lost because nothing arrived on it for too long.
func isSilence(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
