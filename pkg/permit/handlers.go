package permit

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/rattanhitch/rattanhitch/internal/steperr"
	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// handleAcquire serves the RPC permit.acquire.
func (m *Manager) handleAcquire(ctx context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	msg := &peerv1.AcquireRequest{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return nil, steperr.Wrap(err, "decode acquire request", from.Host)
	}
	d := m.dispatcher(msg.GetService())
	if d == nil {
		return refusalResponse(newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)), nil
	}
	deadline := time.Now().Add(time.Duration(msg.GetTimeoutMs()) * time.Millisecond)
	w := newWaiter(requestOf(msg, deadline), holder{from.Host, from.Incarnation}, deadline, dispatcherIDOf(msg.GetNewest()))
	a, ok := d.acquire(ctx, w)
	if !ok {
		return refusalResponse(newRefusal(peerv1.RefusalReason_REFUSAL_REASON_NOT_DISPATCHER, 0)), nil
	}
	if a.refusal != nil {
		return refusalResponse(a.refusal), nil
	}
	if a.redirectTo != "" {
		return redirectResponse(a.redirectTo), nil
	}
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_Permit{Permit: permitMessage(a)}}, nil
}

func requestOf(msg *peerv1.AcquireRequest, deadline time.Time) Request {
	return Request{
		ID: msg.GetRequestId(), Service: msg.GetService(), Route: msg.GetRoute(), Class: msg.GetClass(), Deadline: deadline,
		Fingerprint: msg.GetFingerprint(), Command: msg.GetCommand(), Forwarded: msg.GetForwarded(),
		Shifted: msg.GetShifted(), Hedge: msg.GetHedge(), Attempt: int(msg.GetAttempt()), Unreached: int(msg.GetUnreached()),
		ExcludeTargets: msg.GetExcludeTargets(), ObjectHash: msg.GetObjectHash(), Priority: msg.GetPriority(),
		HomeRegions: msg.GetHomeRegions(), FollowsRedirects: msg.GetFollowsRedirects(), QueueTimeout: time.Duration(msg.GetQueueTimeoutMs()) * time.Millisecond,
	}
}

func permitMessage(a answer) *peerv1.Permit {
	return &peerv1.Permit{
		Id: a.permit.key.id, Dispatcher: a.permit.key.dispatcher.proto(), Target: a.permit.target.name, Address: a.address,
		TimeoutMs: ceilMilliseconds(time.Until(a.permit.expires)), HedgeAfterMs: ceilMilliseconds(a.hedgeAfter),
		Class: a.permit.class, Instance: a.instance, Decision: a.decision.proto(),
	}
}

func refusalResponse(r *RefusedError) *peerv1.AcquireResponse {
	return &peerv1.AcquireResponse{Result: &peerv1.AcquireResponse_Refusal{Refusal: &peerv1.Refusal{
		Reason: r.Reason, RetryAfterMs: ceilMilliseconds(r.RetryAfter), Decision: r.Decision.proto(),
	}}}
}

// handleRelease serves the RPC permit.release. A host that does not run the dispatcher returns an error, so that the holder tries
// another host.
func (m *Manager) handleRelease(_ context.Context, from peer.Identity, payload []byte) (proto.Message, error) {
	msg := &peerv1.ReleaseRequest{}
	if err := proto.Unmarshal(payload, msg); err != nil {
		return nil, steperr.Wrap(err, "decode release request", from.Host)
	}
	d := m.dispatcher(msg.GetService())
	if d == nil {
		return nil, steperr.New("release permit", m.self.Host, "not the dispatcher of service %s", msg.GetService())
	}
	if !d.send(releaseEvent(msg, from)) {
		return nil, steperr.New("release permit", m.self.Host, "dispatcher of service %s has stopped", msg.GetService())
	}
	return &peerv1.ReleaseResponse{}, nil
}

// releaseEvent returns the event of a release request: an abandonRequest if it has a request ID, else the release of a permit.
func releaseEvent(msg *peerv1.ReleaseRequest, from peer.Identity) event {
	if msg.GetRequestId() != "" {
		return abandonRequest{from: holder{from.Host, from.Incarnation}, requestID: msg.GetRequestId()}
	}
	return &release{
		key:    permitKey{dispatcherIDOf(msg.GetDispatcher()), msg.GetPermitId()},
		target: msg.GetTarget(), class: msg.GetClass(), route: msg.GetRoute(), fingerprint: msg.GetFingerprint(),
		observation: Observation{
			Outcome:   msg.GetOutcome(),
			FirstByte: time.Duration(msg.GetFirstByteUs()) * time.Microsecond,
			Total:     time.Duration(msg.GetTotalUs()) * time.Microsecond,
			Bytes:     msg.GetAnswerBytes(),

			SlowdownPercent: int(msg.GetSlowdownPercent()), TargetAlive: msg.GetTargetAlive(),
			Responded: msg.RateLimit != nil, RateLimit: msg.GetRateLimit(), Leaving: msg.GetTargetLeaving(),
			Abandoned: msg.GetAbandoned(),
		},
	}
}
