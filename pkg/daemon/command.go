// Package daemon implements the command rattanhitchd: it reads the settings, runs the modules and stops them gracefully.
package daemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"github.com/rattanhitch/rattanhitch/internal/machine"
	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/kernel"
	"github.com/rattanhitch/rattanhitch/pkg/logging"
	"github.com/rattanhitch/rattanhitch/pkg/settings"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// stopReserve is added to the announce and drain times to get the deadline of the stop. Modules use it to close after the last
// request.
const stopReserve = 10 * time.Second

// NewCommand returns the root command of rattanhitchd.
func NewCommand() *cobra.Command {
	var s settings.Settings
	var check bool
	var source string
	cmd := &cobra.Command{
		Use:           "rattanhitchd",
		Short:         "Entry host daemon of rattanhitch",
		Long:          "Entry host daemon of rattanhitch. Each flag can be set by an environment variable, for example RATTANHITCH_HOST for --host.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	s.Register(cmd.Flags())
	cmd.Flags().BoolVar(&check, "check", false, "validate the settings and exit")
	cmd.Flags().StringVar(&source, "settings-source", "", "registered source of settings besides flags and environment variables")
	envErr := settings.ApplyEnv(cmd.Flags())
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := errors.Join(envErr, settings.ApplySource(source, cmd.Flags()), validate(&s)); err != nil {
			return err
		}
		if check {
			_, err := fmt.Fprintln(cmd.OutOrStdout(), "settings are valid")
			return err
		}
		return run(cmd.Context(), s)
	}
	return cmd
}

// validate checks the settings, and that the platform driver is registered, which package settings cannot check itself.
func validate(s *settings.Settings) error {
	err := s.Validate()
	for _, name := range store.Drivers() {
		if name == s.PlatformDriver {
			return err
		}
	}
	return errors.Join(err, errors.Newf("--platform-driver=%s: must be one of %v", s.PlatformDriver, store.Drivers()))
}

// run starts the modules, waits for SIGTERM or SIGINT, and stops them. A second signal ends the announce time and the wait for
// requests in flight. A signal during the start takes effect after it.
func run(ctx context.Context, s settings.Settings) error {
	logWriter := logging.NewWriter(os.Stdout)
	defer logWriter.Close()
	configureLog(s, logWriter)
	setMaxProcs(s.MaxProcs)
	limitMemory(machine.Memory(s.MemoryLimitMiB))
	defer startHeapTuner(uint64(s.HeapTargetMiB) << 20).stop()
	// Signals may come while the modules start. Settings are read only at the start, so SIGHUP has nothing to reload; its default action
	// would end the process.
	signal.Ignore(syscall.SIGHUP)
	signalled, stopWaiting := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopWaiting()
	app, err := kernel.NewApp(s)
	if err != nil {
		return err
	}
	// The modules' context is not cancelled by a signal, because that would abort requests in flight. Stop ends the modules.
	if err := app.Start(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	log.Info().Str("step", "start").Str("callers", s.CallerListen).Str("operators", s.OperatorListen).
		Str("peers", s.PeerListen).Msg("ready")
	<-signalled.Done()
	stopWaiting()
	return stop(ctx, app, s)
}

// setMaxProcs sets GOMAXPROCS to n unless n is 0 or the environment variable GOMAXPROCS is set.
func setMaxProcs(n int) {
	if n > 0 && os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(n)
	}
}

// stop cleans up all modules. Its context ends after the announce time, the drain timeout and stopReserve, or at a second signal.
func stop(ctx context.Context, app *kernel.App, s settings.Settings) error {
	log.Info().Str("step", "stop").Dur("announce_for", s.AnnounceFor).Msg("leaving")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.AnnounceFor+s.DrainTimeout+stopReserve)
	defer cancel()
	ctx, stopNotify := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stopNotify()
	err := app.Stop(ctx)
	log.Info().Str("step", "stop").Bool("clean", err == nil).Msg("stopped")
	return steperr.Wrap(err, "stop", "")
}

func configureLog(s settings.Settings, logWriter *logging.Writer) {
	log.DefaultLogger = log.Logger{
		Level:      log.ParseLevel(s.LogLevel),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("host", s.Host).Str("failure_domain", s.FailureDomain).Value(),
		Writer:     &log.IOWriter{Writer: logWriter},
	}
}
