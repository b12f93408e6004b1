package membership

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/rattanhitch/rattanhitch/pkg/gen/rattanhitch/peer/v1"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// tell queues a change of a member for passing on. Each host passes a change on once, when it takes it over, so the
// cost per host and change does not depend on the number of hosts. t.mu must be held.
func (t *Tracker) tell(host string) {
	t.news[host] = struct{}{}
	select {
	case t.newsReady <- struct{}{}:
	default:
	}
	t.wakeSummary()
}

func (t *Tracker) newsLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-t.newsReady:
		}
		t.pausePoint()
		message, receivers := t.takeNews()
		for _, host := range receivers {
			t.spawn(func() { _ = t.sendNews(t.ctx, host, message) })
		}
		pause := time.NewTimer(newsInterval)
		select {
		case <-t.ctx.Done():
			pause.Stop()
			return
		case <-pause.C:
		}
	}
}

// takeNews returns the queued changes and the hosts to tell: the ring successors, some at random, and the hosts that the
// changes are about, which may refute them.
func (t *Tracker) takeNews() (*peerv1.MemberNews, []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	message := &peerv1.MemberNews{}
	v := t.view.Load()
	receivers := slices.Clone(v.targets)
	for host := range t.news {
		r := t.records[host]
		if r == nil {
			continue
		}
		message.Members = append(message.Members, r.encode(time.Now()))
		receivers = append(receivers, host)
	}
	clear(t.news)
	for range newsFanout {
		receivers = append(receivers, v.ring[t.random.IntN(len(v.ring))])
	}
	slices.Sort(receivers)
	receivers = slices.Compact(receivers)
	return message, slices.DeleteFunc(receivers, func(h string) bool { return h == t.opts.Self.Host })
}

func (t *Tracker) sendNews(ctx context.Context, host string, message *peerv1.MemberNews) error {
	m, ok := t.Lookup(host)
	if !ok {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	t.metrics.news.Inc(1)
	return t.opts.Caller.Call(ctx, m.Address(), methodNews, message, &peerv1.MemberNewsResponse{})
}

func (t *Tracker) onNews(_ peer.Identity, m *peerv1.MemberNews) (proto.Message, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.merge(m.GetMembers()) {
		t.publish()
	}
	return &peerv1.MemberNewsResponse{}, nil
}
