// Command capacity measures how state, messages and CPU time grow with the size of a deployment. It prints one table per
// group and draws one plot per group. docs/CAPACITY.md is based on its output.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// settings holds the flags of a run and the limits that it exceeded.
type settings struct {
	quick  bool
	only   string
	output string
	// minCPUTime is the least CPU time of one measurement.
	minCPUTime time.Duration
	// exceededLimits describes each limit that a measurement exceeded; run then returns an error.
	exceededLimits []string
}

// group is a set of series that share a table and a plot.
type group struct {
	name  string
	title string
	run   func(*settings) []*series
}

var groups = []group{
	{"prefix", "prefix table by number of client blocks", measurePrefix},
	{"layouts", "layouts of a prefix table by number of client blocks", measureLayouts},
	{"rendezvous", "owner selection by number of hosts", measureRendezvous},
	{"messages", "messages between hosts by number of entries", measureMessages},
	{"config", "configuration snapshot by number of objects", measureConfig},
	{"lookup", "caller lookup by number of hosts", measureLookup},
	{"membership", "member table by number of hosts", measureMembership},
	{"domains", "member table by number of failure domains", measureDomains},
	{"held", "heartbeats by number of targets of which a host holds permits", measureHeld},
	{"permit", "permits by number of targets and requests", measurePermit},
	{"burn", "burn counters by number of services", measureBurn},
}

func main() {
	s := &settings{}
	command := &cobra.Command{
		Use:          "capacity",
		Short:        "Measure how state, messages and CPU time grow with the size of a deployment",
		SilenceUsage: true,
		RunE:         func(*cobra.Command, []string) error { return run(s) },
	}
	command.Flags().BoolVar(&s.quick, "quick", false, "use smaller sizes and shorter runs")
	command.Flags().StringVar(&s.only, "only", "", "measure only the groups in this comma-separated list")
	command.Flags().StringVar(&s.output, "output", "docs", "directory for the plots; empty for none")
	if command.Execute() != nil {
		os.Exit(1)
	}
}

func run(s *settings) error {
	s.minCPUTime = 200 * time.Millisecond
	if s.quick {
		s.minCPUTime = 20 * time.Millisecond
	}
	for _, g := range groups {
		if s.only != "" && !strings.Contains(","+s.only+",", ","+g.name+",") {
			continue
		}
		fmt.Printf("\n## %s\n\n", g.title)
		list := g.run(s)
		printTable(list)
		if s.output == "" {
			continue
		}
		if err := drawGroup(filepath.Join(s.output, "capacity-"+g.name+".svg"), g.title, list); err != nil {
			return err
		}
	}
	if s.only == "" || strings.Contains(s.only, "fleet") {
		printFleet()
	}
	if len(s.exceededLimits) > 0 {
		return errors.Newf("limits exceeded: %s", strings.Join(s.exceededLimits, "; "))
	}
	return nil
}

func printTable(list []*series) {
	fmt.Println("\n| quantity | unit | by | measured (size: value) | slope | intercept | exponent | shape |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- |")
	for _, s := range list {
		var values []string
		for _, p := range s.points {
			values = append(values, fmt.Sprintf("%.0f: %.4g", p.x, p.y))
		}
		slope, intercept := s.line()
		fmt.Printf("| %s | %s | %s | %s | %.3g | %.3g | %.2f | %s |\n",
			s.name, s.unit, s.size, strings.Join(values, ", "), slope, intercept, s.exponent(), s.shape())
	}
}
