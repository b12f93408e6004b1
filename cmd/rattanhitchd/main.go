// Command rattanhitchd is the daemon that runs on each entry host.
package main

import (
	"fmt"
	"os"

	"github.com/rattanhitch/rattanhitch/pkg/daemon"

	// Imported for its init function, which registers the users' platform so that the settings can select it.
	_ "github.com/rattanhitch/rattanhitch/platform"
)

func main() {
	if err := daemon.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
