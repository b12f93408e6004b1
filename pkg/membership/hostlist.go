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
	known := 0 // reads in a row that named no new host
	for reads := 0; ; reads++ {
		t.pausePoint()
		if reads%announceEvery == 0 {
			t.announce(t.ctx)
		}
		fresh, err := t.readHostList()
		if fresh > 0 {
			known = 0
		} else {
			known++
		}
		wait := t.jitter(t.readInterval(known))
		if err != nil {
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

// readInterval returns the mean time until the next read. A young host reads often until the list names no host that it does
// not know.
func (t *Tracker) readInterval(known int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.startedAt) < youngTime && known < knownReads {
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

// readHostList returns the number of hosts on the list that were not known.
func (t *Tracker) readHostList() (fresh int, err error) {
	ctx, cancel := context.WithTimeout(t.ctx, listTimeout)
	defer cancel()
	entries, err := t.opts.HostList.Hosts(ctx)
	if err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for _, e := range entries {
		if e.Host != t.opts.Self.Host && t.records[e.Host] == nil && !t.knowsElsewhere(e.Host) {
			fresh++
		}
		changed = t.takeEntry(e) || changed
	}
	if changed {
		t.publish()
	}
	return fresh, nil
}

// knowsElsewhere reports whether a host of another failure domain is known. t.mu must be held.
func (t *Tracker) knowsElsewhere(host string) bool {
	for _, d := range t.domains {
		for _, m := range d.members {
			if m.GetHost() == host {
				return true
			}
		}
	}
	return false
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
