package membership

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// hostListLoop reads the platform's list seldom and at random times, so that many hosts cost the platform little.
func (t *Tracker) hostListLoop() {
	retry := listRetryDelay
	unchangedReads := 0 // reads in a row that named no new host
	for wait := time.Duration(0); sleep.For(t.ctx, wait); {
		t.pausePoint()
		newHosts, err := t.readHostList()
		unchangedReads++
		if newHosts > 0 || err != nil {
			unchangedReads = 0
		}
		wait = t.jitter(t.listReadDelay(unchangedReads))
		if err != nil {
			log.Warn().Err(err).Str("step", "read host list").Msg("host list not read")
			wait = t.jitter(retry)
			retry = min(2*retry, listInterval)
		} else {
			retry = listRetryDelay
		}
	}
}

// listReadDelay returns the mean time until the next read after a number of reads in a row that named no new host. A young host
// reads often until then, and for as long as it knows no other host.
func (t *Tracker) listReadDelay(unchangedReads int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := len(t.view.Load().all) == 1
	if time.Since(t.startedAt) < startupPeriod && (unchangedReads < settledReads || alone) {
		return startupListInterval
	}
	return listInterval
}

// jitter returns a random time between half of d and one and a half d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.random.Int64N(int64(d)))
}

// announceLoop keeps this host on the platform's list. The first announcements follow each other soon: the removal that the
// previous process of this host asked for when it left can be carried out late.
func (t *Tracker) announceLoop() {
	for wait := time.Duration(0); sleep.For(t.ctx, wait); {
		t.pausePoint()
		wait = t.announceDelay(t.announce(t.ctx))
	}
}

// announceDelay returns the time from one announcement to the next.
func (t *Tracker) announceDelay(announced bool) time.Duration {
	switch {
	case !announced:
		return t.jitter(startupListInterval)
	case time.Since(t.startedAt)+startupAnnounceInterval < startupPeriod:
		return startupAnnounceInterval
	}
	return announceInterval
}

// announce reports whether the platform's list has this host.
func (t *Tracker) announce(ctx context.Context) bool {
	if t.opts.HostList == nil {
		return true
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
	return err == nil
}

// readHostList returns the number of hosts on the list that were not known.
func (t *Tracker) readHostList() (newHosts int, err error) {
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
		if e.Host != t.opts.Self.Host && t.records[e.Host] == nil {
			newHosts++
		}
		changed = t.applyListEntry(e) || changed
	}
	if changed {
		t.publish()
	}
	return newHosts, nil
}

// applyListEntry returns whether the table changed.
func (t *Tracker) applyListEntry(e store.HostEntry) bool {
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
	leaving := e.Leaving && age > maxListLag
	changed := leaving != r.listedLeaving
	r.listedLeaving = leaving
	return changed
}
