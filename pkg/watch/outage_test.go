package watch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rattanhitch/rattanhitch/internal/bubble"
	"github.com/rattanhitch/rattanhitch/pkg/peer"
)

// Guards against hosts that keep targets which have left because one of them was refused by the platform: it took that for an outage, in which the
// entries of living targets expire, and told the others so (review/lab-3/days/refused-hosts.toml).
func TestRefusedHostIsNoOutage(t *testing.T) {
	for _, refused := range []string{"h1", "h2", "h3"} {
		t.Run(refused, func(t *testing.T) {
			bubble.Run(t, func(t *testing.T) {
				f := &feed{}
				f.put("a", "1")
				f.put("b", "1")
				tables, readers := startFollowers(t, f, "h1", "h2", "h3")
				time.Sleep(3 * time.Second)
				f.setRefused(readers[refused], true)
				time.Sleep(3500 * time.Millisecond)
				f.remove("a")
				time.Sleep(500 * time.Millisecond)
				f.setRefused(readers[refused], false)
				time.Sleep(1200 * time.Millisecond)
				f.remove("b")
				time.Sleep(500 * time.Millisecond)
				for host, table := range tables {
					if got := values(table, time.Now()); len(got) > 0 {
						t.Errorf("host %s keeps %v", host, got)
					}
				}
			})
		})
	}
}

// Guards against a host that was cut off from all others and takes that for an outage of the platform: it keeps targets which left meanwhile, and
// grants permits for them (review/8).
func TestCutOffHostIsNoOutage(t *testing.T) {
	for _, host := range []string{"h1", "h2", "h3"} {
		for length := 4 * time.Second; length < 5500*time.Millisecond; length += 100 * time.Millisecond {
			bubble.Run(t, func(t *testing.T) {
				f := &feed{}
				f.put("a", "1")
				n := &network{handlers: map[string]map[string]peer.Handler{}}
				tables, readers := startFollowersOn(t, n, f, "h1", "h2", "h3")
				time.Sleep(3 * time.Second)
				f.setRefused(readers[host], true)
				n.setCutOff(host)
				time.Sleep(time.Second)
				f.remove("a")
				time.Sleep(length)
				f.setRefused(readers[host], false)
				n.setCutOff("")
				time.Sleep(1300 * time.Millisecond) // the longest time between two reads that fail, and a poll
				if got := values(tables[host], time.Now()); len(got) > 0 {
					t.Errorf("host %s keeps %v after it was cut off for %v", host, got, length)
				}
			})
		}
	}
}

// Guards against a host that takes its own trouble for an outage because it reaches the platform again before it reaches another host.
func TestHostWithoutOthersIsNoOutage(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := &feed{}
		f.put("a", "1")
		n := &network{handlers: map[string]map[string]peer.Handler{}}
		tables, readers := startFollowersOn(t, n, f, "h1", "h2", "h3")
		time.Sleep(3 * time.Second)
		f.setRefused(readers["h1"], true)
		n.setCutOff("h1")
		time.Sleep(3 * time.Second)
		f.remove("a")
		f.setRefused(readers["h1"], false)
		time.Sleep(maxRetryDelay + 100*time.Millisecond)
		if got := values(tables["h1"], time.Now()); len(got) > 0 {
			t.Errorf("the host keeps %v", got)
		}
	})
}

// Guards against targets that are dropped at the end of an outage by a host that has never known another one, and cannot ask any.
func TestOutageOfASingleHost(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		f := &feed{}
		f.put("a", "1")
		tables, readers := startFollowers(t, f, "h1")
		time.Sleep(3 * time.Second)
		f.setRefused(readers["h1"], true)
		time.Sleep(6 * time.Second)
		f.remove("a")
		f.setRefused(readers["h1"], false)
		time.Sleep(maxRetryDelay + 100*time.Millisecond)
		if got := values(tables["h1"], time.Now()); len(got) != 1 {
			t.Errorf("the host keeps %v", got)
		}
	})
}

// Guards against living targets that are dropped at the end of an outage of the platform, in which their entries expired.
func TestOutageKeepsExpiredRows(t *testing.T) {
	bubble.Run(t, func(t *testing.T) {
		is := is.New(t)
		f := &feed{}
		f.put("a", "1")
		f.put("b", "1")
		tables, readers := startFollowers(t, f, "h1", "h2", "h3")
		time.Sleep(3 * time.Second)
		for _, r := range readers {
			f.setRefused(r, true)
		}
		time.Sleep(6 * time.Second)
		f.remove("a")
		f.remove("b")
		for _, r := range readers {
			f.setRefused(r, false)
		}
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			for _, table := range tables {
				is.Equal(len(values(table, time.Now())), 2)
			}
		}
		f.put("a", "1")
		time.Sleep(2 * time.Second)
		for _, table := range tables {
			is.Equal(values(table, time.Now()), map[string]string{"a": "1"})
		}
	})
}
