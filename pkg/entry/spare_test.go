package entry

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	configv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/config/v1"
	"github.com/rattanhitch/rattanhitch/pkg/permit"
)

// Guards against callers that wait for a permit by the latency objective of their rule instead of the time that they have, and against waits
// that leave too little time for the work, or none for another failure domain.
func TestWaitForAPermitFollowsTheTimeLeft(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		h := New(Options{})
		defer h.Close()
		newRequest := func(objective, left time.Duration) *request {
			rule := &configv1.Rule{Name: "reads", LatencyMs: uint32(objective.Milliseconds())}
			return &request{rule: rule, name: "lookup", deadline: time.Now().Add(left), ctx: t.Context()}
		}
		waits := func(rq *request) (queue, answer time.Duration) {
			queue = h.queueTimeout(rq)
			ctx, cancel := h.acquireContext(rq, queue)
			defer cancel()
			if end, limited := ctx.Deadline(); limited {
				answer = time.Until(end)
			}
			return queue, answer
		}
		for _, objective := range []time.Duration{0, 150 * time.Millisecond, 1200 * time.Millisecond} {
			queue, _ := waits(newRequest(objective, 2*time.Second))
			is.Equal(queue, (time.Second-decisionDelay)/spareParts) // half of the time counts as work while nothing is known
		}
		h.work.record(newRequest(0, 0), 500*time.Millisecond)
		queue, answer := waits(newRequest(150*time.Millisecond, 2*time.Second))
		is.Equal(queue, (1500*time.Millisecond-decisionDelay)/spareParts)
		is.True(answer >= permit.WaitErrorFactor*queue)             // the dispatcher refuses before the host gives up
		is.True(2*time.Second-answer >= 500*time.Millisecond+queue) // another failure domain has the work and a third of the rest
		twice, _ := waits(newRequest(150*time.Millisecond, 4*time.Second))
		is.True(twice > 2*queue)
		none, _ := waits(newRequest(150*time.Millisecond, 400*time.Millisecond))
		is.Equal(none, minQueueTimeout) // less than the work
		queue, answer = waits(&request{name: "lookup", deadline: time.Now().Add(time.Second), ctx: t.Context()})
		is.Equal(queue, time.Duration(0)) // without a rule it waits until its deadline
		is.Equal(answer, time.Duration(0))
	})
}
