// Command rattanhitchctl is the command-line tool with which operators change and inspect a running system.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rattanhitch/rattanhitch/pkg/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdin, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
