package ctl

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/pkg/config"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	operatorv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/operator/v1"
)

func newDrainCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "drain", Short: "Shift requests away from a target, a host or a failure domain",
		Args: cobra.ArbitraryArgs, RunE: requireSubcommand}
	command.AddCommand(newDrainStartCommand(o), newWatchCommand(o, config.KindDrain, o.watchDrain), newCancelCommand(o, config.KindDrain))
	return command
}

func newDrainStartCommand(o *options) *cobra.Command {
	var flags startFlags
	command := &cobra.Command{
		Use:   "start NAME SUBJECT",
		Short: "Start a drain; SUBJECT is target/NAME, host/NAME or failure-domain/NAME",
		Args:  exactArgs(2),
		RunE: func(command *cobra.Command, args []string) error {
			drain := &configv1.Drain{Name: args[0], RampSeconds: flags.rampSeconds()}
			if err := setSubject(drain, args[1]); err != nil {
				return err
			}
			object := &configv1.Object{Kind: &configv1.Object_Drain{Drain: drain}}
			return o.start(command, flags, args[0], object, o.watchDrain)
		},
	}
	flags.add(command, "drain", "time over which requests are shifted away, in whole seconds")
	return command
}

// setSubject parses the subject of a drain, which is target/NAME, host/NAME or failure-domain/NAME.
func setSubject(drain *configv1.Drain, subject string) error {
	kind, name, _ := strings.Cut(subject, "/")
	switch kind {
	case "target":
		drain.Subject = &configv1.Drain_Target{Target: name}
	case "host":
		drain.Subject = &configv1.Drain_Host{Host: name}
	case "failure-domain":
		drain.Subject = &configv1.Drain_FailureDomain{FailureDomain: name}
	default:
		return usagef("subject %q: must be target/NAME, host/NAME or failure-domain/NAME", subject)
	}
	return nil
}

// watchDrain prints the progress of a drain until it is complete or cancelled. The timeout of the flags does not apply.
func (o *options) watchDrain(command *cobra.Command, name string) error {
	client, err := o.newClient()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(command.Context())
	defer cancel()
	stream, err := client.WatchDrain(ctx, connect.NewRequest(&operatorv1.WatchDrainRequest{Name: name}))
	if err != nil {
		return err
	}
	return printUpdates(o, command, stream, func(p *operatorv1.DrainProgress) string {
		return fmt.Sprintf("drain %s: %s, %d in flight%s",
			name, progressState(p), p.GetInFlight(), missingHostsSuffix(p.GetMissingHosts()))
	})
}
