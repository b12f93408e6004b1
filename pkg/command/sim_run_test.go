package command_test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/invariant"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/entry"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
)

// seeds is the number of random schedules that are run.
var seeds = flag.Uint64("command.seeds", 10, "number of random schedules")

// tally counts what callers saw.
type tally struct {
	mu sync.Mutex
	// repeated counts keys that were executed more than once, falseNotRun counts not-run answers for keys that had run.
	done, notRun, unknown, lost, read, repeated, falseNotRun, wrong, violations int
	// permits counts those that were not released.
	permits int64
}

// simCaller sends commands one after the other and sends each again until it has an answer.
type simCaller struct {
	*seededSource
	sim   *sim
	id    int
	tally *tally
}

func (c *simCaller) run(stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if c.chance(0.5) {
			c.read(n)
		} else {
			c.command(n)
		}
		c.pause(100 * time.Millisecond)
	}
}

// readPrefix starts the keys of requests that may be executed more than once.
const readPrefix = "read-"

// read sends a request that may be retried and hedged, and goes away early at times.
func (c *simCaller) read(n int) {
	key := fmt.Sprintf("%s%d-%d", readPrefix, c.id, n)
	size := c.intN(3) * c.intN(100000)
	patience := time.Duration(1+c.intN(5000)) * time.Millisecond
	url := fmt.Sprintf("http://h%d/pay/read?work=%dms&size=%d", c.intN(simHosts), c.intN(50), size)
	resp, err := c.do(http.MethodGet, patience, url, key, "", false)
	if err != nil {
		c.count(&c.tally.lost)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case resp.Header.Get(reply.HeaderOutcome) == string(reply.NotRun) && c.sim.executions(key) > 0:
		c.count(&c.tally.falseNotRun)
	case resp.StatusCode == http.StatusOK && err == nil:
		c.count(&c.tally.read)
		if string(data) != string(target.Body(key, size)) {
			c.count(&c.tally.wrong)
		}
	}
}

// command sends one command several times to random hosts.
func (c *simCaller) command(n int) {
	key := fmt.Sprintf("c%d-%d", c.id, n)
	ticket := c.chance(0.5)
	if ticket {
		if key = c.ticket(); key == "" {
			return
		}
	}
	for send := 0; send < 5; send++ {
		if !c.send(key, send) || c.chance(0.1) {
			return
		}
		c.pause(2 * time.Second)
	}
}

func (c *simCaller) ticket() string {
	resp, err := c.do(http.MethodPost, 3*time.Second, fmt.Sprintf("http://h%d%s", c.intN(simHosts), entry.TicketPath), "", "", false)
	if err != nil {
		return ""
	}
	resp.Body.Close()
	return resp.Header.Get(reply.HeaderTicket)
}

// send reports whether the command should be sent again. Only a first send that is waited for declares itself as such.
func (c *simCaller) send(key string, n int) (again bool) {
	first := n == 0 && c.chance(0.5)
	patience := 5 * time.Second
	if !first && c.chance(0.3) {
		patience = time.Duration(1+c.intN(500)) * time.Millisecond
	}
	url := fmt.Sprintf("http://h%d/pay/do?work=%dms", c.intN(simHosts), 10)
	body := "pay " + key
	if c.chance(0.03) {
		body = "other content"
	}
	resp, err := c.do(http.MethodPost, patience, url, key, body, first)
	if err != nil {
		c.count(&c.tally.lost)
		return true
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch reply.Outcome(resp.Header.Get(reply.HeaderOutcome)) {
	case reply.NotRun:
		c.count(&c.tally.notRun)
		if c.sim.executions(key) > 0 {
			c.count(&c.tally.falseNotRun)
		}
		return true
	case reply.Unknown:
		c.count(&c.tally.unknown)
		return true
	}
	if err != nil {
		c.count(&c.tally.lost)
		return true
	}
	c.count(&c.tally.done)
	if string(data) != string(target.Body(key, 0)) || resp.StatusCode == 200 && c.sim.executions(key) == 0 {
		c.count(&c.tally.wrong)
	}
	return c.chance(0.3)
}

func (c *simCaller) count(field *int) {
	c.tally.mu.Lock()
	defer c.tally.mu.Unlock()
	*field++
}

func (c *simCaller) do(method string, patience time.Duration, url, key, body string, first bool) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	time.AfterFunc(patience, cancel)
	r, _ := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	r.Header.Set(target.HeaderRequestID, key)
	if key != "" {
		r.Header.Set(reply.HeaderKey, key)
	}
	if first {
		r.Header.Set(reply.HeaderFirstSend, "true")
	}
	return c.sim.transport(nil).RoundTrip(r)
}

// simulate runs callers against hosts with faults for a minute.
func simulate(t *testing.T, seed uint64, executor func(*simHost) entry.CommandExecutor) *tally {
	sum := &tally{}
	// http.Server recovers from the panic of a violated invariant.
	violations := invariant.Violations()
	bubble.Run(t, func(t *testing.T) {
		s := newSim(seed, executor)
		s.gossip()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { s.faults(stop) })
		for i := range 6 {
			c := &simCaller{seededSource: newSeededSource(seed, uint64(10+i)), sim: s, id: i, tally: sum}
			wg.Go(func() { c.run(stop) })
		}
		time.Sleep(time.Minute)
		close(stop)
		wg.Wait()
		s.stop()
		sum.permits = s.permits.Load()
		for _, target := range s.targets {
			for key := range target.Report().Keys {
				if !strings.HasPrefix(key, readPrefix) && s.executions(key) > 1 {
					sum.repeated++
				}
			}
		}
	})
	sum.violations = int(invariant.Violations() - violations)
	t.Logf("seed %d: done %d, not-run %d, unknown %d, lost %d, reads %d; repeated %d, false not-run %d, wrong answers %d, violated invariants %d, permits held %d",
		seed, sum.done, sum.notRun, sum.unknown, sum.lost, sum.read, sum.repeated, sum.falseNotRun, sum.wrong, sum.violations, sum.permits)
	return sum
}

// Guards against a command that is executed twice, a not-run answer for a request that was executed, an incomplete answer
// that looks complete and a permit that is not released once, under partitions, restarts, platform outages, lost answers
// and late writes.
func TestAtMostOnce(t *testing.T) {
	done, read := 0, 0
	for seed := range *seeds {
		sum := simulate(t, seed, func(h *simHost) entry.CommandExecutor {
			e := command.New(h.options())
			e.Register(h)
			return e
		})
		if sum.repeated+sum.falseNotRun+sum.wrong+sum.violations > 0 || sum.permits != 0 {
			t.Errorf("seed %d failed", seed)
		}
		if sum.done == 0 || sum.read == 0 {
			t.Errorf("seed %d answered %d commands and %d reads", seed, sum.done, sum.read)
		}
		done += sum.done
		read += sum.read
	}
	if done < 50*int(*seeds) || read < 50*int(*seeds) {
		t.Errorf("only %d commands and %d reads were answered in %d schedules", done, read, *seeds)
	}
}

// naive runs each command that it gets.
type naive struct{ tickets *command.Executor }

func (n naive) Execute(ctx context.Context, _ command.Command, sender command.Sender) command.Result {
	return sender.Run(ctx, 1<<20)
}
func (n naive) Ticket() string { return n.tickets.Ticket() }

// Guards against a simulation that would not notice repeated executions.
func TestNaiveExecutorRepeatsCommands(t *testing.T) {
	sum := simulate(t, 1, func(h *simHost) entry.CommandExecutor { return naive{command.New(h.options())} })
	if sum.repeated == 0 || sum.falseNotRun == 0 {
		t.Errorf("the simulation found %d repeated keys and %d false not-run answers, want some of each", sum.repeated, sum.falseNotRun)
	}
}
