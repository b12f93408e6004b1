package ctl

import (
	"time"

	"github.com/spf13/cobra"

	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
)

// startFlags are the flags of the commands that start a drain or a move.
type startFlags struct {
	ramp      time.Duration
	watch     bool
	requestID string
}

// add adds the flags to a command. kind is what the command starts.
func (f *startFlags) add(command *cobra.Command, kind, rampUsage string) {
	command.Flags().DurationVar(&f.ramp, "ramp", 0, rampUsage)
	command.Flags().BoolVar(&f.watch, "watch", false, "watch the "+kind+" until it is complete")
	addRequestID(command, &f.requestID)
}

func (f *startFlags) rampSeconds() uint32 { return uint32(f.ramp / time.Second) }

// start creates the object of a drain or a move and, if the flags ask for it, watches its progress.
func (o *options) start(command *cobra.Command, f startFlags, name string, object *configv1.Object, watch func(*cobra.Command, string) error) error {
	if err := o.createObject(command, f.requestID, object); err != nil || !f.watch {
		return err
	}
	return watch(command, name)
}
