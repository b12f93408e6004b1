package ctl

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1/operatorv1connect"
)

// progress is what DrainProgress and MoveProgress have in common.
type progress interface {
	proto.Message
	GetComplete() bool
	GetCancelled() bool
	GetElapsedMs() uint64
}

// createObject creates a drain or a move. It does not change one that exists.
func (o *options) createObject(command *cobra.Command, requestID string, object *configv1.Object) error {
	return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		mutation := &configv1.Mutation{Action: &configv1.Mutation_Put{Put: object}}
		return o.apply(ctx, command, client, requestID, []*configv1.Mutation{mutation})
	})
}

func newWatchCommand(o *options, kind string, watch func(*cobra.Command, string) error) *cobra.Command {
	return &cobra.Command{
		Use:               "watch NAME",
		Short:             "Show the progress until it is complete or cancelled",
		Args:              exactArgs(1),
		ValidArgsFunction: o.completeNamesOf(kind),
		RunE:              func(command *cobra.Command, args []string) error { return watch(command, args[0]) },
	}
}

func newCancelCommand(o *options, kind string) *cobra.Command {
	var requestID string
	command := &cobra.Command{
		Use:               "cancel NAME",
		Short:             "Cancel it",
		Args:              exactArgs(1),
		ValidArgsFunction: o.completeNamesOf(kind),
		RunE: func(command *cobra.Command, args []string) error {
			return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
				object, err := getObject(ctx, client, config.Key{Kind: kind, Name: args[0]})
				if err != nil {
					return err
				}
				setCancelled(object)
				mutation := &configv1.Mutation{Action: &configv1.Mutation_Put{Put: object}, BaseVersion: object.GetVersion()}
				return o.apply(ctx, command, client, requestID, []*configv1.Mutation{mutation})
			})
		},
	}
	addRequestID(command, &requestID)
	return command
}

func setCancelled(object *configv1.Object) {
	if drain := object.GetDrain(); drain != nil {
		drain.Cancelled = true
	}
	if move := object.GetMove(); move != nil {
		move.Cancelled = true
	}
}

func (o *options) completeNamesOf(kind string) cobra.CompletionFunc {
	return func(command *cobra.Command, _ []string, _ string) ([]string, cobra.ShellCompDirective) {
		return o.completeNames(command, kind)
	}
}

// printUpdates prints each message of a progress stream until the stream ends. text describes a message without its
// elapsed time.
func printUpdates[M any, P interface {
	*M
	progress
}](o *options, command *cobra.Command, stream *connect.ServerStreamForClient[M], text func(P) string) error {
	for stream.Receive() {
		p := P(stream.Msg())
		if err := o.printProgress(command, p, text(p)); err != nil {
			return err
		}
	}
	return stream.Err()
}

func (o *options) printProgress(command *cobra.Command, p progress, text string) error {
	if o.output == outputJSON {
		return printJSON(command.OutOrStdout(), p, false)
	}
	elapsed := time.Duration(p.GetElapsedMs()) * time.Millisecond
	_, err := fmt.Fprintf(command.OutOrStdout(), "%8s  %s\n", elapsed.Truncate(100*time.Millisecond), text)
	return err
}

func progressState(p progress) string {
	switch {
	case p.GetCancelled():
		return "cancelled"
	case p.GetComplete():
		return "complete"
	}
	return "in progress"
}

func missingHostsSuffix(hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return ", waiting for hosts: " + strings.Join(hosts, " ")
}
