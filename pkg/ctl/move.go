package ctl

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
)

func newMoveCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "move", Short: "Shift a share of a service's requests to another region",
		Args: cobra.ArbitraryArgs, RunE: requireSubcommand}
	command.AddCommand(newMoveStartCommand(o), newWatchCommand(o, config.KindMove, o.watchMove), newCancelCommand(o, config.KindMove))
	return command
}

func newMoveStartCommand(o *options) *cobra.Command {
	var start startFlags
	move := &configv1.Move{}
	command := &cobra.Command{
		Use:   "start NAME",
		Short: "Start a move",
		Args:  exactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			move.Name, move.RampSeconds = args[0], start.rampSeconds()
			object := &configv1.Object{Kind: &configv1.Object_Move{Move: move}}
			return o.start(command, start, args[0], object, o.watchMove)
		},
	}
	flags := command.Flags()
	flags.StringVar(&move.Service, "service", "", "service whose requests are shifted")
	flags.StringVar(&move.FromRegion, "from", "", "region from which requests are shifted away")
	flags.StringVar(&move.ToRegion, "to", "", "region to which requests are shifted")
	flags.Uint32Var(&move.Percent, "percent", 0, "share of the requests to shift at the end of the ramp, in percent")
	start.add(command, "move", "time over which the share grows from 0 to its final value, in whole seconds")
	return command
}

// watchMove prints the progress of a move until it is complete or cancelled. The timeout of the flags does not apply.
func (o *options) watchMove(command *cobra.Command, name string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(command.Context())
	defer cancel()
	stream, err := client.WatchMove(ctx, connect.NewRequest(&operatorv1.WatchMoveRequest{Name: name}))
	if err != nil {
		return err
	}
	return printUpdates(o, command, stream, func(p *operatorv1.MoveProgress) string {
		return fmt.Sprintf("move %s: %s, %.1f%%%s", name, progressState(p), p.GetPercent(), missingHostsSuffix(p.GetMissingHosts()))
	})
}
