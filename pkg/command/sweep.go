package command

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/rendezvous"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

const (
	// claimRetention is the age at which the claim of a caller-supplied key is deleted.
	claimRetention = 24 * time.Hour
	sweepInterval  = time.Hour
	// sweepPageRows is the number of rows per scan, sweepPause the pause between two scans. They limit the sweep to 5 scans/s
	// per failure domain; the platform sustains about 2,000 reads/s.
	sweepPageRows = 1000
	sweepPause    = 200 * time.Millisecond
	// sweepKey is the rendezvous hashing key that selects the sweeping host of a failure domain.
	sweepKey = "command/sweep"
)

// SweepClaims deletes expired claims from the platform's table, every sweepInterval until ctx ends. One host of each failure
// domain does so, chosen by rendezvous hashing.
func (e *Executor) SweepClaims(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if !e.isSweeper() {
			continue
		}
		if err := e.sweep(ctx); err != nil && ctx.Err() == nil {
			log.Warn().Err(err).Msg("sweep of expired claims stopped before the end of the table; the next sweep starts over")
		}
	}
}

// isSweeper reports whether this host sweeps for its failure domain.
func (e *Executor) isSweeper() bool {
	var hosts []string
	for _, m := range e.opts.Members.Domain(e.opts.Self.FailureDomain) {
		hosts = append(hosts, m.Host)
	}
	return rendezvous.Owner(sweepKey, hosts) == e.opts.Self.Host
}

// sweep scans all claims once and deletes the expired ones.
func (e *Executor) sweep(ctx context.Context) error {
	limit := time.Now().Add(-claimRetention).UnixMilli()
	for after := rowPrefix; ; {
		rows, err := e.opts.Table.Scan(ctx, rowPrefix, after, sweepPageRows)
		if err != nil {
			return steperr.Wrap(err, "scan claims", "platform")
		}
		if len(rows) == 0 {
			return nil
		}
		after = rows[len(rows)-1].Key
		if err := e.deleteExpired(ctx, rows, limit); err != nil {
			return err
		}
		time.Sleep(sweepPause)
	}
}

// deleteExpired deletes those of rows that were claimed before limit, in Unix milliseconds. A conflict means that the sweeper of
// another failure domain has deleted some of them. It is ignored, as is an unknown outcome: the next sweep deletes the rest.
func (e *Executor) deleteExpired(ctx context.Context, rows []store.Row, limit int64) error {
	var txn store.Txn
	for _, row := range rows {
		rec := &peerv1.CommandRecord{}
		if err := proto.Unmarshal(row.Value, rec); err != nil || rec.GetClaimedUnixMs() >= limit {
			continue
		}
		txn.Conditions = append(txn.Conditions, store.Condition{Key: row.Key, Version: row.Version})
		txn.Writes = append(txn.Writes, store.Write{Key: row.Key, Delete: true})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	err := e.opts.Table.Commit(ctx, txn)
	if errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnknownOutcome) {
		return nil
	}
	return steperr.Wrap(err, "delete expired claims", "platform")
}
