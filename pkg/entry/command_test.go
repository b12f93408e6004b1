package entry

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/standin/target"
	"github.com/rattanhitch/rattanhitch/pkg/command"
)

// directExecutor is a CommandExecutor that runs every command at once, without records.
type directExecutor struct{}

func (directExecutor) Execute(ctx context.Context, _ command.Command, s command.Sender) command.Result {
	return s.Run(ctx, 1000)
}
func (directExecutor) Ticket() string { return "rt1_ticket" }

// Guards against commands that are sent over a reused connection, hedged, or retried after they may have run.
func TestCommandsAreSentOnce(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		dials := 0
		w := newFixture(t, 2, func(o *Options) {
			o.Commands = directExecutor{}
			dial := o.Dial
			o.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
				dials++
				return dial(ctx, network, address)
			}
		})
		w.permits.hedgeAfter = 1
		post := func() result { return w.do("POST", "/lookup/pay?work=1s", "x", "Idempotency-Key", "k") }
		is.Equal(w.do("PUT", "/lookup/a", "x").status, 200) // leaves an idle connection
		is.Equal(post().body, target.Body("c1", 0))
		is.Equal(post().status, 200)
		is.Equal(dials, 3)
		is.Equal(len(w.permits.requests), 3)
		w.targets[0].SetFaults(target.Faults{ShedAll: true})
		is.Equal(post().status, 200) // served by the second target
		w.targets[0].SetFaults(target.Faults{LoseAnswer: true})
		got := post()
		is.Equal(got.status, 502)
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "unknown")
		is.Equal(w.targets[0].Executions("k"), 3)
		is.Equal(w.targets[1].Executions("k"), 1)
		w.checkReleased(is, outcomeOK, outcomeOK, outcomeOK, outcomeShed, outcomeOK, outcomeLost)
	})
}

// Guards against a command that runs without an idempotency key, and against a refusal without a ticket, which the caller needs
// to send the command again.
func TestCommandWithoutKeyGetsATicket(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		w := newFixture(t, 1, func(o *Options) { o.Commands = directExecutor{} })
		got := w.do("POST", "/lookup/pay", "x")
		is.Equal(got.status, http.StatusPreconditionRequired)
		is.Equal(got.header.Get("Rattanhitch-Ticket"), "rt1_ticket")
		is.Equal(got.header.Get("Rattanhitch-Outcome"), "not-run")
		is.Equal(w.do("POST", TicketPath, "").header.Get("Rattanhitch-Ticket"), "rt1_ticket")
		w.handler.SetLeaving(true)
		is.Equal(w.do("POST", TicketPath, "").status, 503) // a ticket would become invalid with the host
		is.Equal(w.targets[0].Report().Total, 0)
	})
}

// Guards against a forwarded command that is refused for want of a key, or that is executed through two hosts.
func TestForwardedCommandRuns(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		first, second := twoDomains(t, fixedPlaces{atSecond, {}})
		first.handler.opts.Commands = directExecutor{}
		got := first.do("POST", "/lookup/pay", "x", "Idempotency-Key", "k")
		is.Equal(got.body, target.Body("c1", 0))
		second.targets[0].SetFaults(target.Faults{LoseAnswer: true})
		is.Equal(first.do("POST", "/lookup/pay", "x", "Idempotency-Key", "k").status, 502)
		is.Equal(second.targets[0].Executions("k"), 2)
		is.Equal(len(first.permits.requests), 0) // no retry here after it may have run at the second host
	})
}
