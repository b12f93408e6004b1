package membership

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// queueUpdate queues a changed member for gossip and triggers a summary. Each host forwards a change once, when it applies
// it, so the cost per host and change does not depend on the number of hosts. t.mu must be held.
func (t *Tracker) queueUpdate(host string) {
	t.pendingUpdates[host] = struct{}{}
	select {
	case t.updatesReady <- struct{}{}:
	default:
	}
	t.triggerSummary()
}

// gossipLoop sends queued updates, at most one batch per gossipInterval.
func (t *Tracker) gossipLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.updatesReady:
		}
		t.pausePoint()
		message, receivers := t.drainUpdates()
		for _, host := range receivers {
			t.spawn(func() { _ = t.sendUpdates(t.ctx, host, message) })
		}
		pause := time.NewTimer(gossipInterval)
		select {
		case <-t.ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// drainUpdates returns the queued updates and their receivers: the ring successors, gossipFanout random hosts, and the hosts
// that the updates describe, so that they can refute them.
func (t *Tracker) drainUpdates() (*peerv1.MemberNews, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	message := &peerv1.MemberNews{}
	v := t.view.Load()
	receivers := slices.Clone(v.successors)
	for host := range t.pendingUpdates {
		r := t.records[host]
		if r == nil {
			continue
		}
		message.Members = append(message.Members, r.encode(time.Now()))
		receivers = append(receivers, host)
	}
	clear(t.pendingUpdates)
	for range gossipFanout {
		receivers = append(receivers, v.ring[t.random.IntN(len(v.ring))])
	}
	slices.Sort(receivers)
	receivers = slices.Compact(receivers)
	return message, slices.DeleteFunc(receivers, func(h string) bool { return h == t.opts.Self.Host })
}

// sendUpdates sends member updates to a host. It does nothing if the host is not in the table.
func (t *Tracker) sendUpdates(ctx context.Context, host string, message *peerv1.MemberNews) error {
	m, ok := t.Lookup(host)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.metrics.gossipMessages.Inc(1)
	return t.opts.Caller.Call(ctx, m.Address(), methodNews, message, &peerv1.MemberNewsResponse{})
}

// onMemberNews merges member updates that another host sent; merge queues the accepted ones for gossip.
func (t *Tracker) onMemberNews(_ peer.Identity, m *peerv1.MemberNews) (proto.Message, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.merge(m.GetMembers()) {
		t.publish()
	}
	return &peerv1.MemberNewsResponse{}, nil
}
