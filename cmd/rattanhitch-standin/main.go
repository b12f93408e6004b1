// Command rattanhitch-standin runs stand-ins for the platform and for targets. They serve tests and demonstrations.
package main

import (
	"fmt"
	"os"

	"github.com/rattanhitch/rattanhitch/internal/standin/program"
)

func main() {
	if err := program.NewCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
