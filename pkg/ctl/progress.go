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

// progress is the common interface of the messages DrainProgress and MoveProgress.
type progress interface {
	proto.Message
	GetComplete() bool
	GetCancelled() bool
	GetElapsedMs() uint64
}

// createObject creates a drain or a move. If an object of that name exists, it is left unchanged and the call fails.
func (o *options) createObject(command *cobra.Command, requestID string, object *configv1.Object) error {
	return o.withClient(command, func(ctx context.Context, client operatorv1connect.OperatorServiceClient) error {
		mutation := &configv1.Mutation{Action: &configv1.Mutation_Put{Put: object}}
		return o.apply(ctx, command, client, requestID, []*configv1.Mutation{mutation})
	})
}

// newWatchCommand returns the subcommand watch of drain or move. kind is the kind of the objects, KindDrain or KindMove.
func newWatchCommand(o *options, kind string, watch func(*cobra.Command, string) error) *cobra.Command {
	return &cobra.Command{
		Use:               "watch NAME",
		Short:             "Show the progress until the operation is complete or cancelled",
		Args:              exactArgs(1),
		ValidArgsFunction: o.completeNamesOf(kind),
		RunE:              func(command *cobra.Command, args []string) error { return watch(command, args[0]) },
	}
}

// newCancelCommand returns the subcommand cancel of drain or move. kind is the kind of the objects, KindDrain or KindMove.
func newCancelCommand(o *options, kind string) *cobra.Command {
	var requestID string
	command := &cobra.Command{
		Use:               "cancel NAME",
		Short:             "Cancel the drain or move",
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

// printUpdates prints the messages of a progress stream until the stream ends. text formats a message for the table output,
// without the elapsed time.
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

// progressState returns the state of a drain or move as shown to operators.
func progressState(p progress) string {
	switch {
	case p.GetCancelled():
		return "cancelled"
	case p.GetComplete():
		return "complete"
	}
	return "in progress"
}

// missingHostsSuffix returns the end of a progress line, which names the hosts that have not reported yet. It may be empty.
func missingHostsSuffix(hosts []string) string {
	if len(hosts) == 0 {
		return ""
	}
	return ", waiting for hosts: " + strings.Join(hosts, " ")
}
