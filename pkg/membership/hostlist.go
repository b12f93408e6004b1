package membership

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// hostListLoop reads the platform's list seldom and at random times, so that many hosts cost the platform little.
func (t *Tracker) hostListLoop() {
	retry := listRetry
	for reads := 0; ; reads++ {
		t.pausePoint()
		if reads%announceEvery == 0 {
			t.announce(t.ctx)
		}
		wait := t.jitter(t.readInterval())
		if err := t.readHostList(); err != nil {
			log.Warn().Err(err).Str("step", "read host list").Msg("host list not read")
			wait = t.jitter(retry)
			retry = min(2*retry, listInterval)
		} else {
			retry = listRetry
		}
		timer := time.NewTimer(wait)
		select {
		case <-t.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
	}
}

func (t *Tracker) readInterval() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.startedAt) < youngTime {
		return youngListInterval
	}
	return listInterval
}

// jitter returns a random time between half of d and one and a half d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.random.Int64N(int64(d)))
}

func (t *Tracker) announce(ctx context.Context) {
	if t.opts.HostList == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	self := t.Self()
	err := t.opts.HostList.Announce(ctx, store.HostEntry{
		Host: self.Host, FailureDomain: self.FailureDomain, Region: self.Region, PeerAddress: self.PeerAddress,
		Leaving: self.State == StateLeaving,
	})
	if err != nil {
		log.Warn().Err(err).Str("step", "announce host").Msg("host not announced to the platform")
	}
}

func (t *Tracker) readHostList() error {
	ctx, cancel := context.WithTimeout(t.ctx, listTimeout)
	defer cancel()
	entries, err := t.opts.HostList.Hosts(ctx)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, e := range entries {
		changed = t.takeEntry(e) || changed
	}
	if changed {
		t.publish()
	}
	return nil
}

// takeEntry returns whether the table changed.
func (t *Tracker) takeEntry(e store.HostEntry) bool {
	if e.Host == t.opts.Self.Host || e.PeerAddress == "" {
		return false
	}
	t.contacts[e.PeerAddress] = contact{peer.Address{Addr: e.PeerAddress}, e.FailureDomain}
	r := t.records[e.Host]
	if r == nil {
		return false
	}
	// The list may still describe the incarnation before a restart.
	age := time.Since(time.UnixMicro(int64(r.Incarnation)))
	leaving := e.Leaving && age > listLag
	changed := leaving != r.listedLeaving
	r.listedLeaving = leaving
	return changed
}
