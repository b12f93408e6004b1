package ctl

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

func newGetCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:               "get KIND NAME",
		Short:             "Show one object",
		Args:              exactArgs(2),
		ValidArgsFunction: o.completeObject,
		RunE: func(command *cobra.Command, args []string) error {
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				object, err := getObject(ctx, client, config.Key{Kind: args[0], Name: args[1]})
				if err != nil {
					return err
				}
				return o.print(command.OutOrStdout(), object, func() [][]string { return objectRows(object) })
			})
		},
	}
}

func newListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:               "list [KIND]",
		Short:             "Show all objects, or all objects of one kind",
		ValidArgsFunction: o.completeKind,
		Args: func(_ *cobra.Command, args []string) error {
			if len(args) > 1 {
				return usagef("list: got %d arguments, want at most one, the kind", len(args))
			}
			return nil
		},
		RunE: func(command *cobra.Command, args []string) error {
			req := &operatorv1.ListRequest{}
			if len(args) == 1 {
				req.Kind = args[0]
			}
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				resp, err := client.List(ctx, connect.NewRequest(req))
				if err != nil {
					return err
				}
				return o.print(command.OutOrStdout(), resp.Msg, func() [][]string { return objectRows(resp.Msg.GetObjects()...) })
			})
		},
	}
}

func newDeleteCommand(o *options) *cobra.Command {
	var requestID string
	var base uint64
	command := &cobra.Command{
		Use:               "delete KIND NAME",
		Short:             "Delete an object",
		Args:              exactArgs(2),
		ValidArgsFunction: o.completeObject,
		RunE: func(command *cobra.Command, args []string) error {
			key := config.Key{Kind: args[0], Name: args[1]}
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				mutation, err := deleteMutation(ctx, client, key, base)
				// When a committed deletion is repeated, the object is already gone. The request is sent nevertheless, since the
				// server recognises the request ID and returns the result of the first attempt.
				if err != nil && (requestID == "" || connect.CodeOf(err) != connect.CodeNotFound) {
					return err
				}
				return o.apply(ctx, command, client, requestID, []*configv1.Mutation{mutation})
			})
		},
	}
	command.Flags().Uint64Var(&base, "base-version", 0,
		"delete the object only if this is its current version; 0 takes the version that is current when the command starts")
	addRequestID(command, &requestID)
	return command
}

// deleteMutation returns a mutation that deletes an object. If base is 0, the current version on the server is fetched and taken
// as base version. If that call fails, the mutation is returned along with the error and has base version 0.
func deleteMutation(ctx context.Context, client operatorv1connect.OperatorServiceClient, key config.Key, base uint64) (*configv1.Mutation, error) {
	remove := &configv1.ObjectKey{Kind: key.Kind, Name: key.Name}
	mutation := &configv1.Mutation{Action: &configv1.Mutation_Delete{Delete: remove}, BaseVersion: base}
	if base != 0 {
		return mutation, nil
	}
	current, err := getObject(ctx, client, key)
	mutation.BaseVersion = current.GetVersion()
	return mutation, err
}

func objectRows(objects ...*configv1.Object) [][]string {
	rows := [][]string{{"KIND", "NAME", "VERSION", "CONTENT"}}
	for _, object := range objects {
		key := config.KeyOf(object)
		rows = append(rows, []string{key.Kind, key.Name, fmt.Sprint(object.GetVersion()), contentJSON(object)})
	}
	return rows
}

// contentJSON returns the fields of an object as one line of JSON, or the text of the error if they cannot be encoded.
func contentJSON(object *configv1.Object) string {
	m := object.ProtoReflect()
	field := m.WhichOneof(m.Descriptor().Oneofs().Get(0))
	if field == nil {
		return ""
	}
	data, err := protojson.Marshal(m.Get(field).Message().Interface())
	if err != nil {
		return err.Error()
	}
	return string(data)
}

func (o *options) completeKind(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	return config.Kinds, cobra.ShellCompDirectiveNoFileComp
}

// completeObject completes the kind as the first argument and a name of that kind, as listed by the server, as the second.
func (o *options) completeObject(command *cobra.Command, args []string, prefix string) ([]string, cobra.ShellCompDirective) {
	if len(args) == 0 {
		return o.completeKind(command, args, prefix)
	}
	return o.completeNames(command, args[0])
}

// completeNames completes the name of an object of the given kind, as listed by the server.
func (o *options) completeNames(command *cobra.Command, kind string) ([]string, cobra.ShellCompDirective) {
	var names []string
	err := o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		resp, err := client.List(ctx, connect.NewRequest(&operatorv1.ListRequest{Kind: kind}))
		if err != nil {
			return err
		}
		for _, object := range resp.Msg.GetObjects() {
			names = append(names, config.KeyOf(object).Name)
		}
		return nil
	})
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}
