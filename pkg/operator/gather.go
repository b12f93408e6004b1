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
	// callTimeout limits each call to another host.
	callTimeout = time.Second
	// maxParallelCalls limits the concurrent calls of one callAll.
	maxParallelCalls = 64
)

// responses holds the response of each host by host name, and the sorted names of the hosts that did not respond.
type responses[T any] struct {
	byHost  map[string]T
	missing []string
}

// hosts returns the sorted names of the hosts that responded.
func (a responses[T]) hosts() []string {
	names := make([]string, 0, len(a.byHost))
	for name := range a.byHost {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// callAll calls a method on all other hosts in parallel. The response of this host comes from local; newResponse allocates the
// messages into which the other responses are decoded.
func callAll[T proto.Message](ctx context.Context, s *Server, method string, req proto.Message, newResponse func() T, local func() T) responses[T] {
	result := responses[T]{byHost: map[string]T{s.options.View.Self().Host: local()}}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxParallelCalls)
	for _, member := range s.options.View.All() {
		if member.Host == s.options.View.Self().Host {
			continue
		}
		calls.Go(func() {
			resp := newResponse()
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
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return s.options.Caller.Call(ctx, to.Address(), method, req, resp)
}

func (s *Server) gatherStatus(ctx context.Context) responses[*peerv1.StatusResponse] {
	fresh := func() *peerv1.StatusResponse { return &peerv1.StatusResponse{} }
	return callAll(ctx, s, methodStatus, &peerv1.StatusRequest{}, fresh, s.localStatus)
}

func (s *Server) gatherBurn(ctx context.Context) responses[*peerv1.BurnResponse] {
	fresh := func() *peerv1.BurnResponse { return &peerv1.BurnResponse{} }
	return callAll(ctx, s, methodBurn, &peerv1.BurnRequest{}, fresh, s.options.Burn.Counts)
}

func (s *Server) handleStatus(context.Context, peer.Identity, []byte) (proto.Message, error) {
	return s.localStatus(), nil
}

func (s *Server) handleBurn(context.Context, peer.Identity, []byte) (proto.Message, error) {
	return s.options.Burn.Counts(), nil
}

func (s *Server) localStatus() *peerv1.StatusResponse {
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
