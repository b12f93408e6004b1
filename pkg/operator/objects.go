package operator

import (
	"context"
	"slices"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
)

// Apply commits the mutations as one atomic change of the configuration.
func (s *Server) Apply(ctx context.Context, req *connect.Request[operatorv1.ApplyRequest]) (*connect.Response[operatorv1.ApplyResponse], error) {
	version, err := s.options.Config.Commit(ctx, req.Msg.GetRequestId(), req.Msg.GetMutations())
	if err != nil {
		return nil, commitError(err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{Version: version}), nil
}

// Get returns one object of the configuration in force on this host.
func (s *Server) Get(_ context.Context, req *connect.Request[operatorv1.GetRequest]) (*connect.Response[operatorv1.GetResponse], error) {
	key := config.Key{Kind: req.Msg.GetKey().GetKind(), Name: req.Msg.GetKey().GetName()}
	if err := checkKind(key.Kind); err != nil {
		return nil, err
	}
	snapshot, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	object := snapshot.Object(key)
	if object == nil {
		return nil, notFound(key)
	}
	return connect.NewResponse(&operatorv1.GetResponse{Object: object}), nil
}

// List returns all objects of the requested kind, or of all kinds if the request names none.
func (s *Server) List(_ context.Context, req *connect.Request[operatorv1.ListRequest]) (*connect.Response[operatorv1.ListResponse], error) {
	if kind := req.Msg.GetKind(); kind != "" {
		if err := checkKind(kind); err != nil {
			return nil, err
		}
	}
	snapshot, err := s.currentSnapshot()
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&operatorv1.ListResponse{
		Objects: snapshot.List(req.Msg.GetKind()),
		Version: snapshot.Version,
	}), nil
}

// currentSnapshot returns the snapshot in force, or an error if none has been loaded yet: an empty response would look like an
// empty configuration.
func (s *Server) currentSnapshot() (*config.Snapshot, error) {
	status := s.options.Config.Status()
	if !status.Loaded {
		return nil, connect.NewError(connect.CodeUnavailable, errNotLoaded)
	}
	return s.options.Config.Store().Current(), nil
}

func checkKind(kind string) error {
	if slices.Contains(config.Kinds, kind) {
		return nil
	}
	return connect.NewError(connect.CodeInvalidArgument, errors.Newf("kind = %q: must be one of %v", kind, config.Kinds))
}

func notFound(key config.Key) error {
	return connect.NewError(connect.CodeNotFound, errors.Newf("there is no %s %q", key.Kind, key.Name))
}
