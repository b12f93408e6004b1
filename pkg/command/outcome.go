package command

import (
	"context"
	"net/http"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	"github.com/rattanhitch/rattanhitch/pkg/entry/reply"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// MethodOutcome is the RPC method that returns the outcome of a command from the owner of its key.
const MethodOutcome = "command.outcome"

// valueSeparator joins the values of one HTTP header in a CommandRecord. A header value cannot contain a newline.
const valueSeparator = "\n"

// Register registers the executor's RPC handlers.
func (e *Executor) Register(r peer.Registrar) { r.Handle(MethodOutcome, e.handleOutcome) }

// handleOutcome returns this host's record of a command. It waits for an execution in progress until ctx ends.
func (e *Executor) handleOutcome(ctx context.Context, _ peer.Identity, payload []byte) (proto.Message, error) {
	req := &peerv1.OutcomeRequest{}
	if err := proto.Unmarshal(payload, req); err != nil {
		return nil, steperr.Wrap(err, "decode outcome request", "")
	}
	rec := e.outcome(ctx, req)
	rec.OwnerHost, rec.OwnerIncarnation = e.opts.Self.Host, e.opts.Self.Incarnation
	return rec, nil
}

func (e *Executor) outcome(ctx context.Context, req *peerv1.OutcomeRequest) *peerv1.CommandRecord {
	key := recordKey{req.GetService(), req.GetKey()}
	k, ok := e.records.lookup(key)
	if ok && k.inProgress != nil {
		select {
		case <-k.inProgress.done:
		case <-ctx.Done():
			return &peerv1.CommandRecord{State: peerv1.CommandState_COMMAND_STATE_RUNNING}
		}
		k, ok = e.records.lookup(key)
	}
	switch {
	case !ok:
		return &peerv1.CommandRecord{State: peerv1.CommandState_COMMAND_STATE_NOT_FOUND}
	case k.hash != req.GetContentHash():
		return &peerv1.CommandRecord{State: peerv1.CommandState_COMMAND_STATE_CONTENT_MISMATCH}
	case k.inProgress != nil:
		// The execution that was waited for ended with not-run and another send has started one since.
		return &peerv1.CommandRecord{State: peerv1.CommandState_COMMAND_STATE_RUNNING}
	}
	return toRecord(k)
}

func toRecord(k recordView) *peerv1.CommandRecord {
	switch k.state {
	case stateNotRun:
		return &peerv1.CommandRecord{State: peerv1.CommandState_COMMAND_STATE_NOT_RUN}
	case stateDone:
		resp := k.result.Response
		rec := &peerv1.CommandRecord{
			State: peerv1.CommandState_COMMAND_STATE_DONE, Status: uint32(resp.Status), Body: resp.Body,
			Header: make(map[string]string, len(resp.Header)),
		}
		for name, values := range resp.Header {
			rec.Header[name] = strings.Join(values, valueSeparator)
		}
		return rec
	}
	return &peerv1.CommandRecord{State: peerv1.CommandState_COMMAND_STATE_UNKNOWN}
}

// fromRecord converts the record returned by the owner of a key to a result. The caller handles COMMAND_STATE_NOT_RUN, for
// which it relays the command to the owner.
func fromRecord(rec *peerv1.CommandRecord) Result {
	switch rec.GetState() {
	case peerv1.CommandState_COMMAND_STATE_DONE:
		header := make(http.Header, len(rec.GetHeader()))
		for name, value := range rec.GetHeader() {
			header[name] = strings.Split(value, valueSeparator)
		}
		return Result{Response: &Response{Status: int(rec.GetStatus()), Header: header, Body: rec.GetBody()}}
	case peerv1.CommandState_COMMAND_STATE_CONTENT_MISMATCH:
		return refuseKeyReuse()
	case peerv1.CommandState_COMMAND_STATE_RUNNING:
		return refuse(http.StatusGatewayTimeout, reply.Unknown, reply.ReasonDeadline, retryAfter)
	case peerv1.CommandState_COMMAND_STATE_NOT_FOUND:
		return refuse(http.StatusGone, reply.Unknown, reply.ReasonRecordExpired, 0)
	}
	return refuse(http.StatusBadGateway, reply.Unknown, reply.ReasonTargetBroken, 0)
}
