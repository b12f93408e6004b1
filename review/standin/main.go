// Command standin runs the scripts of the review: it starts the project's own daemon as separate processes, and plays their clients, their
// workers and the platform's store on loopback addresses.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name. A case returns what broke the rule, or an empty text.
var cases = map[string]func(rec *Record, trouble bool) string{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage, in the repository: standin CASE FOLDER; TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { <-signals; cleanUp(); os.Exit(2) }()
	rec := newRecord(filepath.Join(os.Args[2], "record.txt"))
	trouble := os.Getenv("TROUBLE") != "0"
	rec.Event("case %s, trouble %v", os.Args[1], trouble)
	broken := cases[os.Args[1]](rec, trouble)
	cleanUp()
	if broken != "" {
		rec.Event("BROKEN: %s", broken)
		os.Exit(1)
	}
	rec.Event("the rule held")
}
