// Command permit compares the dispatcher with load balancers that choose a target without exact knowledge of its load. Except for
// the table of CPU costs, it simulates the load in virtual time.
package main

import (
	"flag"
	"fmt"
	"testing"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
)

// measurement prints one table.
type measurement struct {
	name string
	run  func(m *runner)
}

// runner simulates scenarios in testing/synctest bubbles.
type runner struct{ t *testing.T }

// run simulates a scenario with a seed for its random numbers.
func (m *runner) run(s scenario, seed uint64) result {
	var r result
	bubble.Run(m.t, func(*testing.T) { r = simulate(s, seed) })
	return r
}

func main() {
	only := flag.String("only", "", "name of the one measurement to run")
	testing.Init()
	flag.Parse()
	var tests []testing.InternalTest
	for _, x := range measurements {
		if *only == "" || *only == x.name {
			tests = append(tests, testing.InternalTest{Name: x.name, F: func(t *testing.T) { x.run(&runner{t}) }})
		}
	}
	fmt.Printf("seeds %v\n", seeds)
	testing.Main(func(string, string) (bool, error) { return true, nil }, tests, nil, nil)
}
