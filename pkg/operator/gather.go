package operator

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/membership"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	methodStatus = "operator.status"
	methodBurn   = "operator.burn"
	// gatherTimeout limits the call to one host.
	gatherTimeout = time.Second
	// gatherParallel limits the calls in progress.
	gatherParallel = 64
)

// answers are the answers of the fleet by host name, and the names of the hosts without an answer, sorted.
type answers[T any] struct {
	byHost  map[string]T
	missing []string
}

// hosts returns the names of the hosts that answered, sorted.
func (a answers[T]) hosts() []string {
	names := make([]string, 0, len(a.byHost))
	for name := range a.byHost {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// gather calls a method on all hosts. This host answers without a call.
func gather[T proto.Message](ctx context.Context, s *Server, method string, req proto.Message, fresh func() T, own func() T) answers[T] {
	result := answers[T]{byHost: map[string]T{s.options.View.Self().Host: own()}}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(gatherParallel)
	for _, member := range s.options.View.All() {
		if member.Host == s.options.View.Self().Host {
			continue
		}
		calls.Go(func() {
			resp := fresh()
			err := s.call(ctx, member, method, req, resp)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.missing = append(result.missing, member.Host)
				return
			}
			result.byHost[member.Host] = resp
		})
	}
	calls.Wait()
	slices.Sort(result.missing)
	return result
}

func (s *Server) call(ctx context.Context, to membership.Member, method string, req, resp proto.Message) error {
	ctx, cancel := context.WithTimeout(ctx, gatherTimeout)
	defer cancel()
	return s.options.Caller.Call(ctx, to.Address(), method, req, resp)
}

func (s *Server) gatherStatus(ctx context.Context) answers[*peerv1.StatusResponse] {
	fresh := func() *peerv1.StatusResponse { return &peerv1.StatusResponse{} }
	return gather(ctx, s, methodStatus, &peerv1.StatusRequest{}, fresh, s.ownStatus)
}

func (s *Server) gatherBurn(ctx context.Context) answers[*peerv1.BurnResponse] {
	fresh := func() *peerv1.BurnResponse { return &peerv1.BurnResponse{} }
	return gather(ctx, s, methodBurn, &peerv1.BurnRequest{}, fresh, s.options.Burn.Counts)
}

func (s *Server) handleStatus(context.Context, peer.Identity, []byte) (proto.Message, error) {
	return s.ownStatus(), nil
}

func (s *Server) handleBurn(context.Context, peer.Identity, []byte) (proto.Message, error) {
	return s.options.Burn.Counts(), nil
}

func (s *Server) ownStatus() *peerv1.StatusResponse {
	self := s.options.View.Self()
	status := s.options.Config.Status()
	resp := &peerv1.StatusResponse{
		Member: &peerv1.Member{
			Host:            self.Host,
			Incarnation:     self.Incarnation,
			FailureDomain:   self.FailureDomain,
			Region:          self.Region,
			PeerAddress:     self.PeerAddress,
			CallerAddress:   self.CallerAddress,
			OperatorAddress: self.OperatorAddress,
			Leaving:         self.State == membership.StateLeaving,
		},
		ConfigVersion: status.InForce,
		InFlight:      s.options.InFlight(),
		Held:          s.options.HeldPermits(),
	}
	if status.Problem != nil {
		resp.ConfigError = status.Problem.Error()
	}
	return resp
}
