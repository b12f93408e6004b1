// Command lab3 plays the cases of this review that are scripts. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab3 CASE REPOSITORY FOLDER")
		os.Exit(2)
	}
	play := map[string]func(f *fleet, trouble bool) int{"late-beat": lateBeat}[os.Args[1]]
	if play == nil {
		os.Exit(2)
	}
	out, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	f := newFleet(out, os.Args[2])
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-interrupted
		f.stop()
		os.RemoveAll(f.dir)
		os.Exit(2)
	}()
	code := play(f, os.Getenv("TROUBLE") != "0")
	f.stop()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", f.dir)
	}
	out.Close()
	os.Exit(code)
}
