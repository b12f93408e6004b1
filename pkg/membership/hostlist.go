package membership

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/rattanhitch/rattanhitch/internal/sleep"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// hostListLoop reads the platform's host list at long intervals with jitter, to limit the load on the platform in large
// deployments. Failed reads are retried with exponential backoff.
func (t *Tracker) hostListLoop() {
	retry := listRetryDelay
	unchangedReads := 0 // consecutive reads without a new host
	for wait := time.Duration(0); sleep.For(t.ctx, wait); {
		t.pausePoint()
		newHosts, err := t.readHostList()
		unchangedReads++
		if newHosts > 0 || err != nil {
			unchangedReads = 0
		}
		wait = t.jitter(t.listReadDelay(unchangedReads))
		if err != nil {
			log.Warn().Err(err).Str("step", "read host list").Msg("cannot read the host list from the platform")
			wait = t.jitter(retry)
			retry = min(2*retry, listInterval)
		} else {
			retry = listRetryDelay
		}
	}
}

// listReadDelay returns the mean time until the next read of the host list. During startupPeriod it is startupListInterval,
// until settledReads consecutive reads had no new host and this host knows at least one other.
func (t *Tracker) listReadDelay(unchangedReads int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	alone := len(t.view.Load().all) == 1
	if time.Since(t.startedAt) < startupPeriod && (unchangedReads < settledReads || alone) {
		return startupListInterval
	}
	return listInterval
}

// jitter returns a random duration between 0.5 d and 1.5 d.
func (t *Tracker) jitter(d time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return d/2 + time.Duration(t.random.Int64N(int64(d)))
}

// announceLoop keeps this host on the platform's host list. It announces more often during startupPeriod, because a late removal
// that the previous process of this host requested can delete the new entry.
func (t *Tracker) announceLoop() {
	for wait := time.Duration(0); sleep.For(t.ctx, wait); {
		t.pausePoint()
		wait = t.announceDelay(t.announce(t.ctx))
	}
}

// announceDelay returns the time until the next announcement, given whether the last one succeeded.
func (t *Tracker) announceDelay(announced bool) time.Duration {
	switch {
	case !announced:
		return t.jitter(startupListInterval)
	case time.Since(t.startedAt)+startupAnnounceInterval < startupPeriod:
		return startupAnnounceInterval
	}
	return announceInterval
}

// announce writes this host and whether it is leaving to the platform's host list, and reports whether that succeeded. It
// logs errors. Without a host list it does nothing and returns true.
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
		log.Warn().Err(err).Str("step", "announce host").Msg("cannot announce this host to the platform")
	}
	return err == nil
}

// readHostList merges the platform's host list and returns the number of listed hosts that were not in the member table.
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

// applyListEntry adds a listed host as a contact and returns whether the table changed, which is the case if its leaving
// mark did. t.mu must be held.
func (t *Tracker) applyListEntry(e store.HostEntry) bool {
	if e.Host == t.opts.Self.Host || e.PeerAddress == "" {
		return false
	}
	t.contacts[e.PeerAddress] = contact{peer.Address{Addr: e.PeerAddress}, e.FailureDomain}
	r := t.records[e.Host]
	if r == nil {
		return false
	}
	// After a restart, the list may still have the leaving mark of the previous incarnation.
	age := time.Since(time.UnixMicro(int64(r.Incarnation)))
	leaving := e.Leaving && age > maxListLag
	changed := leaving != r.listedLeaving
	r.listedLeaving = leaving
	return changed
}
