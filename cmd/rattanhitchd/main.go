// Command rattanhitchd is the daemon of an entry host.
package main

import (
	"fmt"
	"os"

	"github.com/rattanhitch/rattanhitch/pkg/daemon"

	// The platform that this project's users run registers itself; the settings choose it.
	_ "github.com/rattanhitch/rattanhitch/platform"
)

func main() {
	if err := daemon.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
