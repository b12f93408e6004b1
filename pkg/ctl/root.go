// Package ctl implements rattanhitchctl, the command-line tool for operators.
package ctl

import (
	"context"
	"io"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/pkg/settings"
)

// defaultTimeout is the default of --timeout, the time limit of a call.
const defaultTimeout = 15 * time.Second

// options holds the values of the flags that all commands share.
type options struct {
	server  string
	token   string
	output  string
	timeout time.Duration
	tlsCA   string
	tlsCert string
	tlsKey  string
	// argsAccepted is set once the arguments have been parsed and a command is about to run. An error before that is a usage
	// error.
	argsAccepted bool
}

// Run executes the command line args, without the name of the program, and returns the exit code.
func Run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	o := &options{}
	root := newRootCommand(o)
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	if err := applyEnv(root); err != nil {
		root.PrintErrln("Error:", err)
		return ExitUsage
	}
	err := root.ExecuteContext(ctx)
	if err != nil {
		root.PrintErrln("Error:", err)
	}
	if err != nil && !o.argsAccepted {
		return ExitUsage
	}
	return ExitCode(err)
}

func newRootCommand(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "rattanhitchctl",
		Short: "Operate rattanhitch",
		Long: "rattanhitchctl changes and shows the configuration of rattanhitch and reports on its hosts.\n" +
			"Each flag can be set by an environment variable: RATTANHITCH_ and its name in upper case with underscores.\n\n" + exitHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			o.argsAccepted = true
			return o.validate()
		},
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usagef("%v", err) })
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", "http://127.0.0.1:8081", "URL of the operator port of any host")
	flags.StringVar(&o.token, "token", "", "bearer token sent to the server")
	flags.StringVarP(&o.output, "output", "o", outputTable, "output format: table or json")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "time limit of a call; does not apply to watching")
	flags.StringVar(&o.tlsCA, "tls-ca", "", "PEM file with the CA certificates that verify the server")
	flags.StringVar(&o.tlsCert, "tls-cert", "", "PEM file with the client certificate")
	flags.StringVar(&o.tlsKey, "tls-key", "", "PEM file with the private key of --tls-cert")
	_ = root.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{outputTable, outputJSON}, cobra.ShellCompDirectiveNoFileComp))
	root.AddCommand(newApplyCommand(o), newGetCommand(o), newListCommand(o), newDeleteCommand(o), newDrainCommand(o),
		newMoveCommand(o), newHostsCommand(o), newBurnCommand(o), newExplainCommand())
	return root
}

// validate checks the values of the shared flags. Errors are marked errUsage.
func (o *options) validate() error {
	if o.output != outputTable && o.output != outputJSON {
		return usagef("--output=%s: must be table or json", o.output)
	}
	if o.timeout <= 0 {
		return usagef("--timeout=%s: must be greater than 0s", o.timeout)
	}
	if (o.tlsCert == "") != (o.tlsKey == "") {
		return usagef("--tls-cert=%s: --tls-cert and --tls-key must be set together", o.tlsCert)
	}
	return nil
}

// applyEnv sets the flags of a command and, recursively, of its subcommands from environment variables.
func applyEnv(command *cobra.Command) error {
	if err := settings.ApplyEnv(command.PersistentFlags()); err != nil {
		return err
	}
	if err := settings.ApplyEnv(command.Flags()); err != nil {
		return err
	}
	for _, sub := range command.Commands() {
		if err := applyEnv(sub); err != nil {
			return err
		}
	}
	return nil
}

// requireSubcommand is the RunE of a command that only groups subcommands. It returns a usage error.
func requireSubcommand(command *cobra.Command, _ []string) error {
	return usagef("%s: needs start, watch or cancel", command.CommandPath())
}

// exactArgs returns a check for exactly n arguments. Its error shows the usage line of the command.
func exactArgs(n int) cobra.PositionalArgs {
	return func(command *cobra.Command, args []string) error {
		if len(args) != n {
			return usagef("%s: got %d arguments, want: %s", command.CommandPath(), len(args), command.Use)
		}
		return nil
	}
}
