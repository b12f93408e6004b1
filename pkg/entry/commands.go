package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/rattanhitch/rattanhitch/pkg/command"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

const (
	// TicketPath is the path at which callers obtain tickets by POST.
	TicketPath = "/.well-known/rattanhitch/tickets"
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 200
)

// serveTicket issues a ticket. A leaving host issues none, because its tickets become invalid when it stops.
func (h *Handler) serveTicket(w http.ResponseWriter, r *http.Request) {
	rq := &request{in: r}
	switch {
	case r.Method != http.MethodPost:
		w.Header().Set("Allow", http.MethodPost)
		h.refuse(w, rq, refusal(http.StatusMethodNotAllowed, reply.ReasonBadMethod, "use POST"))
	case h.opts.Commands == nil || h.leaving.Load():
		h.refuse(w, rq, refusal(http.StatusServiceUnavailable, reply.ReasonNoCapacity, "use another host"))
	default:
		ticket := h.opts.Commands.Ticket()
		w.Header().Set(reply.HeaderTicket, ticket)
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusCreated)
		json.NewEncoder(w).Encode(map[string]string{"ticket": ticket})
	}
}

// serveCommand runs a command through the executor. The command continues when its caller disconnects, because the caller may
// send it again with the same key and must then receive its outcome.
func (h *Handler) serveCommand(w http.ResponseWriter, rq *request) {
	if f := h.checkKey(rq); f != nil {
		h.refuse(w, rq, f)
		return
	}
	ctx, cancel := detachedContext(rq)
	defer cancel()
	cmd := command.Command{
		Service: rq.name, Key: rq.idempotencyKey, ContentHash: rq.fingerprint, Deadline: rq.deadline,
		FirstSend: rq.in.Header.Get(reply.HeaderFirstSend) == "true", Relayed: rq.mode == modeRelay,
	}
	result := h.opts.Commands.Execute(ctx, cmd, &commandSender{h: h, rq: rq})
	if result.Refusal != nil {
		h.refuse(w, rq, result.Refusal)
		return
	}
	h.writeResponse(w, rq, result.Response)
}

// checkKey returns a refusal if the command has no valid idempotency key. The refusal of a command without a key carries a ticket
// to use as the key, unless this host is leaving.
func (h *Handler) checkKey(rq *request) *reply.Refusal {
	if h.opts.Commands == nil {
		return refusal(http.StatusServiceUnavailable, reply.ReasonInternal, "this host executes no commands")
	}
	if rq.idempotencyKey == "" {
		f := refusal(http.StatusPreconditionRequired, reply.ReasonKeyRequired, "a command needs an "+reply.HeaderKey)
		if !h.leaving.Load() {
			f.Ticket = h.opts.Commands.Ticket()
		}
		return f
	}
	if len(rq.idempotencyKey) > maxKeyBytes || len(rq.in.Header[reply.HeaderKey]) > 1 {
		return refusal(http.StatusBadRequest, reply.ReasonKeyInvalid, "one key of at most 200 bytes is allowed")
	}
	return nil
}

// writeResponse writes a recorded response to the caller and counts the request.
func (h *Handler) writeResponse(w http.ResponseWriter, rq *request, resp *command.Response) {
	header := w.Header()
	h.setConnection(rq, header)
	for name, values := range resp.Header {
		header[name] = values
	}
	if header["Content-Type"] == nil {
		header["Content-Type"] = nil
	}
	w.WriteHeader(resp.Status)
	w.Write(resp.Body)
	h.recordResponse(rq, resp.Status < http.StatusInternalServerError, false, sinceStart(rq))
}

// commandSender is the command.Sender of one request.
type commandSender struct {
	h  *Handler
	rq *request
}

// Run sends the command to a target and reads the whole response.
func (s *commandSender) Run(ctx context.Context, maxResponseBytes int) command.Result {
	s.rq.ctx = ctx
	ans, refused := s.h.obtainResponse(s.rq)
	if refused != nil {
		return command.Result{Refusal: refused}
	}
	return collect(ans, maxResponseBytes)
}

// Relay forwards the command to the host that owns its key. The status says whether that host answered.
func (s *commandSender) Relay(ctx context.Context, owner peer.Address, maxResponseBytes int) (command.Result, command.RelayStatus) {
	s.rq.ctx = ctx
	if s.h.opts.Forwarder == nil {
		return command.Result{}, command.RelayNotSent
	}
	ans, f := s.h.forward(s.rq, owner, peer.SessionShort, modeRelay, false)
	switch {
	case f == nil:
		return collectRelayed(ans, maxResponseBytes)
	case f.outcomeStated:
		s.rq.mayHaveRun, s.rq.lastFailure = f.mayHaveRun, f
		return command.Result{Refusal: s.rq.refusal()}, command.RelayAnswered
	case f.mayHaveRun:
		return command.Result{}, command.RelayOutcomeUnknown
	}
	return command.Result{}, command.RelayNotSent
}

// collectRelayed reads the response of a key's owner. An incomplete response counts as lost, because it does not state the
// outcome.
func collectRelayed(ans *answer, maxBytes int) (command.Result, command.RelayStatus) {
	result := collect(ans, maxBytes)
	if result.Response == nil {
		return command.Result{}, command.RelayOutcomeUnknown
	}
	return result, command.RelayAnswered
}

// collect reads a response of at most maxBytes into memory, so that it can be recorded, and finishes its attempt.
func collect(ans *answer, maxBytes int) command.Result {
	defer ans.assertFinished()
	body, err := io.ReadAll(io.LimitReader(ans.resp.Body, int64(maxBytes)+1))
	ans.bytes = uint64(len(body))
	if err != nil {
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_CONNECTION_LOST)
		return unknownOutcome(reply.ReasonTargetBroken, "the response broke off")
	}
	if len(body) > maxBytes {
		ans.abort(peerv1.ReleaseOutcome_RELEASE_OUTCOME_OK)
		return unknownOutcome(reply.ReasonAnswerTooLarge, "the response is larger than what is recorded")
	}
	ans.resp.Body.Close()
	ans.finish(statusOutcome(ans.resp.StatusCode))
	return command.Result{Response: &command.Response{
		Status: ans.resp.StatusCode, Header: endToEndHeader(ans.resp.Header), Body: body,
	}}
}

// unknownOutcome returns a refusal for a command that ran or may have run but whose response cannot be recorded.
func unknownOutcome(reason reply.Reason, detail string) command.Result {
	return command.Result{Refusal: &reply.Refusal{
		Status: http.StatusBadGateway, Outcome: reply.Unknown, Reason: reason, Detail: detail,
	}}
}
