package operator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/steering"
)

// WatchDrain streams the progress of a drain until it is complete or cancelled. The drain is complete when its ramp has ended,
// all hosts have its configuration version in force and no request is in flight on its subject.
func (s *Server) WatchDrain(ctx context.Context, req *connect.Request[operatorv1.WatchDrainRequest], stream *connect.ServerStream[operatorv1.DrainProgress]) error {
	return pollUntilDone(ctx, func() (bool, error) {
		progress, err := s.drainProgress(ctx, req.Msg.GetName())
		if err != nil {
			return true, err
		}
		return progress.GetComplete() || progress.GetCancelled(), stream.Send(progress)
	})
}

// WatchMove streams the progress of a move until it is complete or cancelled. The move is complete when its ramp has ended and
// all hosts have its configuration version in force.
func (s *Server) WatchMove(ctx context.Context, req *connect.Request[operatorv1.WatchMoveRequest], stream *connect.ServerStream[operatorv1.MoveProgress]) error {
	return pollUntilDone(ctx, func() (bool, error) {
		progress, err := s.moveProgress(ctx, req.Msg.GetName())
		if err != nil {
			return true, err
		}
		return progress.GetComplete() || progress.GetCancelled(), stream.Send(progress)
	})
}

// pollUntilDone calls step every watchInterval until it reports done, fails, or ctx ends.
func pollUntilDone(ctx context.Context, step func() (bool, error)) error {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		done, err := step()
		if done || err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Server) drainProgress(ctx context.Context, name string) (*operatorv1.DrainProgress, error) {
	object, err := s.object(config.Key{Kind: config.KindDrain, Name: name})
	if err != nil {
		return nil, err
	}
	drain := object.GetDrain()
	gathered := s.gatherStatus(ctx)
	missing := hostsWithoutVersion(gathered, object.GetVersion())
	elapsed := elapsedSince(drain.GetStartedUnixMs())
	inFlight := s.inFlightOn(drain, gathered)
	return &operatorv1.DrainProgress{
		Name:         name,
		InFlight:     inFlight,
		Complete:     !drain.GetCancelled() && rampDone(elapsed, drain.GetRampSeconds()) && inFlight == 0 && len(missing) == 0,
		Cancelled:    drain.GetCancelled(),
		ElapsedMs:    uint64(elapsed.Milliseconds()),
		MissingHosts: missing,
	}, nil
}

func (s *Server) moveProgress(ctx context.Context, name string) (*operatorv1.MoveProgress, error) {
	object, err := s.object(config.Key{Kind: config.KindMove, Name: name})
	if err != nil {
		return nil, err
	}
	move := object.GetMove()
	missing := hostsWithoutVersion(s.gatherStatus(ctx), object.GetVersion())
	elapsed := elapsedSince(move.GetStartedUnixMs())
	return &operatorv1.MoveProgress{
		Name:         name,
		Percent:      steering.MovePercent(move, time.Now()),
		Complete:     !move.GetCancelled() && rampDone(elapsed, move.GetRampSeconds()) && len(missing) == 0,
		Cancelled:    move.GetCancelled(),
		ElapsedMs:    uint64(elapsed.Milliseconds()),
		MissingHosts: missing,
	}, nil
}

func (s *Server) object(key config.Key) (*configv1.Object, error) {
	snapshot, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	if object := snapshot.Object(key); object != nil {
		return object, nil
	}
	return nil, notFound(key)
}

// hostsWithoutVersion returns the sorted names of the hosts that did not respond or have an older version than the given one in
// force.
func hostsWithoutVersion(gathered responses[*peerv1.StatusResponse], version uint64) []string {
	missing := slices.Clone(gathered.missing)
	for host, status := range gathered.byHost {
		if status.GetConfigVersion() < version {
			missing = append(missing, host)
		}
	}
	slices.Sort(missing)
	return missing
}

// inFlightOn returns the number of requests in flight on the subject of a drain: the requests of drained hosts, and the permits
// that other hosts hold on drained targets.
func (s *Server) inFlightOn(drain *configv1.Drain, gathered responses[*peerv1.StatusResponse]) uint32 {
	snapshot := s.options.Config.Store().Current()
	sum := uint32(0)
	for _, status := range gathered.byHost {
		if drainCoversHost(drain, status.GetMember()) {
			// Its held permits are not added, because they belong to the requests just counted.
			sum += status.GetInFlight()
			continue
		}
		for _, held := range status.GetHeld() {
			if drainCoversTarget(drain, snapshot, held.GetTarget()) {
				sum += held.GetCount()
			}
		}
	}
	return sum
}

// drainCoversHost reports whether a host, or its failure domain, is the subject of a drain.
func drainCoversHost(drain *configv1.Drain, host *peerv1.Member) bool {
	switch subject := drain.GetSubject().(type) {
	case *configv1.Drain_Host:
		return subject.Host == host.GetHost()
	case *configv1.Drain_FailureDomain:
		return subject.FailureDomain == host.GetFailureDomain()
	}
	return false
}

// drainCoversTarget reports whether a target, or its failure domain, is the subject of a drain.
func drainCoversTarget(drain *configv1.Drain, snapshot *config.Snapshot, target string) bool {
	switch subject := drain.GetSubject().(type) {
	case *configv1.Drain_Target:
		return subject.Target == target
	case *configv1.Drain_FailureDomain:
		object := snapshot.Object(config.Key{Kind: config.KindTarget, Name: target})
		return object.GetTarget().GetFailureDomain() == subject.FailureDomain
	}
	return false
}

// elapsedSince returns the time since a start, or 0 if the start is in the future, which clock skew between hosts can cause.
func elapsedSince(unixMs int64) time.Duration { return max(0, time.Since(time.UnixMilli(unixMs))) }

func rampDone(elapsed time.Duration, rampSeconds uint32) bool {
	return elapsed >= time.Duration(rampSeconds)*time.Second
}
