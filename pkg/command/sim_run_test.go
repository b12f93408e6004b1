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

var seeds = flag.Uint64("command.seeds", 10, "number of random schedules")

// counts holds the numbers of answers that callers received, of wrong ones among them and of violated invariants.
type counts struct {
	mu sync.Mutex
	// lost counts requests without an answer, repeated counts keys that were executed more than once, falseNotRun counts
	// not-run answers for keys that were executed, and wrong counts answers with a wrong body and answers with status 200
	// to commands that were not executed.
	done, notRun, unknown, lost, read, repeated, falseNotRun, wrong, violations int
	// permits is the number of permits held at the end.
	permits int64
}

// simCaller sends reads and commands one after the other. It retries commands that had no answer or the outcome not-run or
// unknown, and some commands that were answered.
type simCaller struct {
	*seededSource
	sim    *sim
	id     int
	counts *counts
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

// readPrefix is the prefix of the keys of idempotent requests, which may be executed more than once.
const readPrefix = "read-"

// read sends an idempotent request, which may be retried and hedged, with a random timeout.
func (c *simCaller) read(n int) {
	key := fmt.Sprintf("%s%d-%d", readPrefix, c.id, n)
	size := c.intN(3) * c.intN(100000)
	timeout := time.Duration(1+c.intN(5000)) * time.Millisecond
	url := fmt.Sprintf("http://h%d/pay/read?work=%dms&size=%d", c.intN(simHosts), c.intN(50), size)
	resp, err := c.do(http.MethodGet, timeout, url, key, "", false)
	if err != nil {
		c.count(&c.counts.lost)
		return
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch {
	case resp.Header.Get(reply.HeaderOutcome) == string(reply.NotRun) && c.sim.executions(key) > 0:
		c.count(&c.counts.falseNotRun)
	case resp.StatusCode == http.StatusOK && err == nil:
		c.count(&c.counts.read)
		if string(data) != string(target.Body(key, size)) {
			c.count(&c.counts.wrong)
		}
	}
}

// command sends one command up to five times, to random hosts.
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

// send makes send n of a command and reports whether to send it again. Half of the first sends are declared as such; these wait
// for the full timeout.
func (c *simCaller) send(key string, n int) (again bool) {
	first := n == 0 && c.chance(0.5)
	timeout := 5 * time.Second
	if !first && c.chance(0.3) {
		timeout = time.Duration(1+c.intN(500)) * time.Millisecond
	}
	url := fmt.Sprintf("http://h%d/pay/do?work=%dms", c.intN(simHosts), 10)
	body := "pay " + key
	if c.chance(0.03) {
		body = "other content"
	}
	resp, err := c.do(http.MethodPost, timeout, url, key, body, first)
	if err != nil {
		c.count(&c.counts.lost)
		return true
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	switch reply.Outcome(resp.Header.Get(reply.HeaderOutcome)) {
	case reply.NotRun:
		c.count(&c.counts.notRun)
		if c.sim.executions(key) > 0 {
			c.count(&c.counts.falseNotRun)
		}
		return true
	case reply.Unknown:
		c.count(&c.counts.unknown)
		return true
	}
	if err != nil {
		c.count(&c.counts.lost)
		return true
	}
	c.count(&c.counts.done)
	if string(data) != string(target.Body(key, 0)) || resp.StatusCode == 200 && c.sim.executions(key) == 0 {
		c.count(&c.counts.wrong)
	}
	return c.chance(0.3)
}

func (c *simCaller) count(field *int) {
	c.counts.mu.Lock()
	defer c.counts.mu.Unlock()
	*field++
}

func (c *simCaller) do(method string, timeout time.Duration, url, key, body string, first bool) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	time.AfterFunc(timeout, cancel)
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

// simulate runs callers against hosts with random faults for a minute of virtual time. executor returns the executor of a host.
func simulate(t *testing.T, seed uint64, executor func(*simHost) entry.CommandExecutor) *counts {
	sum := &counts{}
	// Violations are counted here because http.Server recovers from the panic of a violated invariant.
	violations := invariant.Violations()
	bubble.Run(t, func(t *testing.T) {
		s := newSim(seed, executor)
		s.gossip()
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { s.faults(stop) })
		for i := range 6 {
			c := &simCaller{seededSource: newSeededSource(seed, uint64(10+i)), sim: s, id: i, counts: sum}
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

// Guards against executing a command twice, answering not-run for an executed request, returning a truncated response as
// complete, and releasing a permit never or twice. The faults are partitions, restarts, platform outages, lost responses and
// late writes.
func TestAtMostOnce(t *testing.T) {
	done, read := 0, 0
	for seed := range *seeds {
		sum := simulate(t, seed, func(h *simHost) entry.CommandExecutor {
			e := command.New(h.options())
			e.Register(h)
			return e
		})
		if sum.repeated+sum.falseNotRun+sum.wrong+sum.violations > 0 || sum.permits != 0 {
			t.Errorf("seed %d: commands were repeated, answers were wrong, invariants were violated or permits were held", seed)
		}
		if sum.done == 0 || sum.read == 0 {
			t.Errorf("seed %d: %d commands and %d reads were answered, want some of each", seed, sum.done, sum.read)
		}
		done += sum.done
		read += sum.read
	}
	if done < 50*int(*seeds) || read < 50*int(*seeds) {
		t.Errorf("only %d commands and %d reads were answered in %d schedules", done, read, *seeds)
	}
}

// directExecutor sends every command to targets, without deduplication.
type directExecutor struct{ tickets *command.Executor }

func (n directExecutor) Execute(ctx context.Context, _ command.Command, sender command.Sender) command.Result {
	return sender.Run(ctx, 1<<20)
}
func (n directExecutor) Ticket() string { return n.tickets.Ticket() }

// Guards against a simulation that does not detect repeated executions and false not-run answers: an executor without
// deduplication must cause both.
func TestNaiveExecutorRepeatsCommands(t *testing.T) {
	sum := simulate(t, 1, func(h *simHost) entry.CommandExecutor { return directExecutor{command.New(h.options())} })
	if sum.repeated == 0 || sum.falseNotRun == 0 {
		t.Errorf("the simulation found %d repeated keys and %d false not-run answers, want some of each", sum.repeated, sum.falseNotRun)
	}
}
