package watch

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/internal/soak"
	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// expired returns a host that has read a row and its expiry, without a pause of its reads, so that it knows of the silence before it.
func expired(now time.Time) *orderedCopy {
	reader := newOrderedCopy("h1", now)
	reader.list(2, put("a", report(1, 5, "ready"), 2))
	for range 2 {
		reader.now = reader.now.Add(2 * time.Second)
		reader.read(2)
	}
	reader.read(3, removed("a", 3))
	return reader
}

// expiredAndBack returns a host that has also read the next report of the same process, which it has therefore accepted.
func expiredAndBack(now time.Time) *orderedCopy {
	reader := expired(now)
	reader.read(4, put("a", report(1, 6, "ready"), 4))
	return reader
}

// removedOnly returns a host that has read the removal of the same row, without a silence before it.
func removedOnly(host string, now time.Time) *orderedCopy {
	c := newOrderedCopy(host, now)
	c.list(2, put("a", report(1, 5, "ready"), 2))
	c.read(3, removed("a", 3))
	return c
}

// Guards against a host with an old tombstone that makes others delete a row which was rightly accepted: the next reports of the process were not
// known to be confirmed.
func TestLaterReportsOfAConfirmedProcessAreConfirmed(t *testing.T) {
	is := is.New(t)
	reader := expiredAndBack(time.Now())
	reader.read(5, put("a", report(1, 7, "draining"), 5))
	third := newOrderedCopy("h3", reader.now)
	third.hear(reader)
	want := map[string]string{"a": report(1, 7, "draining")}
	is.Equal(third.values(), want)
	old := removedOnly("h2", reader.now)
	third.merge(decodeUpdate(old.rowsSince(0, true, reader.now), "h2", 0), reader.now)
	is.Equal(third.values(), want)
}

// Guards against a row that another host has confirmed and that replaces a later report of the same process: a target that drains would get
// requests again.
func TestConfirmedRowDoesNotReplaceALaterReport(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := newOrderedCopy("h1", now)
	c.list(9, put("a", report(1, 9, "draining"), 9))
	c.merge(update{
		from: "h2", rows: []store.WatchedRow{put("a", report(1, 6, "ready"), 10)}, marks: map[string]mark{"a": {confirmed: true}},
	}, now)
	is.Equal(c.values(), map[string]string{"a": report(1, 9, "draining")})
}

// Guards against a living target that stays refused at a host which got its report first from a host that did not know that it is alive.
func TestRefusedRowIsAcceptedOnceItIsConfirmed(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := removedOnly("h1", now)
	row := update{from: "h2", rows: []store.WatchedRow{put("a", report(1, 6, "ready"), 4)}}
	c.merge(row, now)
	is.Equal(c.values(), map[string]string{})
	row.marks = map[string]mark{"a": {confirmed: true}}
	c.merge(row, now)
	is.Equal(c.values(), map[string]string{"a": report(1, 6, "ready")})
}

// Guards against a living target that a host lacks for good because it had heard from another host up to the version of its row when that was accepted.
func TestHostBeyondTheVersionHearsOfAConfirmedRow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader := expiredAndBack(now)
	refusing, other := removedOnly("h2", reader.now), removedOnly("h3", reader.now)
	refusing.read(4, put("a", report(1, 6, "ready"), 4))
	other.hear(refusing)
	is.Equal(other.heardPosition(), uint64(4))
	is.Equal(other.values(), map[string]string{})
	other.hear(reader)
	is.Equal(other.values(), map[string]string{"a": report(1, 6, "ready")})
}

// Guards against a removal that counts as an expiry because the host did not read for a while: it has not seen the last reports, and takes a late one
// for a sign of life.
func TestSilenceIsUnknownAfterAPauseOfReads(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader := newOrderedCopy("h1", now)
	reader.list(1, put("a", report(1, 5, "ready"), 1))
	reader.now = now.Add(4 * time.Second)
	reader.read(2, removed("a", 2))
	reader.read(3, put("a", report(1, 6, "ready"), 3))
	is.Equal(reader.values(), map[string]string{})
}

// Guards against a late report of a process whose clock went back: later ones of it were refused, so it is late whatever else is known.
func TestLateReportOfARefusedProcess(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	reader, other := newOrderedCopy("h1", now), newOrderedCopy("h2", now)
	reader.list(1, put("a", report(9, 1, "ready"), 1))
	reader.read(2, removed("a", 2))
	reader.read(3, put("a", report(8, 3, "draining"), 3))
	other.hear(reader)
	for _, c := range []*orderedCopy{reader, other} {
		c.now = now.Add(maxWriteDelay + time.Second)
		c.read(3)
		c.read(4, put("a", report(8, 2, "ready"), 4))
		is.Equal(c.values(), map[string]string{})
		c.read(5, put("a", report(8, 4, "ready"), 5)) // a later one shows that the process lives
		is.Equal(c.values(), map[string]string{"a": report(8, 4, "ready")})
	}
}

// quietFleet runs hosts that nothing disturbs and returns them with the host that reads.
func quietFleet(t *testing.T) (f *soakFleet, reader string) {
	s := &lateStore{rng: soak.NewRand(1), rows: map[string]store.WatchedRow{}, written: map[string]time.Time{}}
	f = &soakFleet{hosts: map[string]*soakFollower{}, store: s, names: []string{"h1/p", "h2/p", "h3/p"}}
	for _, name := range f.names {
		f.startHost(name)
	}
	t.Cleanup(func() {
		for _, name := range f.names {
			f.stopHost(name)
		}
	})
	owner, _ := ownerOf(soakView{f, f.names[0]}.Domain(""))
	return f, owner.Host
}

// Guards against a host that never learns that it took a late report for a new one: the reader, which asked no host, or one whose own read went beyond
// what the others know. A target reports that it drains while the host is down, or cut off and then without other hosts for a while.
func TestHostsThatComeBackAskTheOthers(t *testing.T) {
	away := map[string]struct {
		leave, back func(f *soakFleet, host string)
	}{
		"restart": {func(f *soakFleet, host string) { f.stopHost(host) }, func(f *soakFleet, host string) { f.startHost(host) }},
		"cut": {
			func(f *soakFleet, host string) { f.cut(host, true) },
			func(f *soakFleet, host string) {
				f.isolate(host, true)
				f.cut(host, false)
				time.Sleep(maxWriteDelay + inTouch) // the others do not repeat that they refused the late report
				f.isolate(host, false)
			},
		},
	}
	for name, c := range away {
		for i := range 3 {
			t.Run(name+" "+strconv.Itoa(i), func(t *testing.T) {
				bubble.Run(t, func(t *testing.T) {
					is := is.New(t)
					f, reader := quietFleet(t)
					hosts := append([]string{reader}, slices.DeleteFunc(slices.Clone(f.names), func(h string) bool { return h == reader })...)
					write := func(sequence int, state string) {
						f.store.put(store.WatchedRow{Key: "a", Value: []byte(report(1, sequence, state))})
					}
					write(1, "ready")
					time.Sleep(inTouch)
					c.leave(f, hosts[i])
					time.Sleep(time.Second)
					write(5, "draining")
					time.Sleep(inTouch)
					write(4, "ready")
					time.Sleep(time.Second)
					c.back(f, hosts[i])
					time.Sleep(inTouch)
					for _, table := range f.calmTables(0) {
						is.Equal(values(table, time.Now()), map[string]string{"a": report(1, 5, "draining")})
					}
				})
			})
		}
	}
}
