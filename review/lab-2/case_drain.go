package main

import "time"

func init() { cases["drain"] = drainCase }

const (
	// stays is how long a worker goes on serving after its entry is gone: the bound of the deployment and a little longer ("at times many
	// seconds").
	stays = 9 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
)

// drainCase stops and starts the host that reads the workers' table for its region, as planned work, while a quarter of the workers leave.
func drainCase(l *lab) {
	const (
		perService = 8
		rounds     = 2
		leaving    = 2 // of each service in each round
		leaveGap   = 80 * time.Millisecond
	)
	var hosts []*host
	for _, zone := range []string{"conwy", "beaumaris", "conwy", "beaumaris"} {
		hosts = append(hosts, l.addHost(zone))
	}
	l.store.put("op", "config", manifest(7, services))
	workers := map[string][]*worker{}
	for i := range perService {
		for _, s := range services {
			workers[s.name] = append(workers[s.name], l.addWorker(s.name, hosts[i%2].zone, 4, 40*time.Millisecond))
		}
	}
	for _, h := range hosts {
		h.startHost()
	}
	l.waitReady()
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	for round := range rounds {
		reader := l.reader(hosts, 3*time.Second)
		l.note("%s reads the store for the region", reader.name)
		var others []*host
		for _, h := range hosts {
			if h != reader {
				others = append(others, h)
			}
		}
		if round == 0 {
			go l.traffic(others, services, 60, stop)
		}
		if l.trouble {
			reader.stop()
		}
		var gone []*worker
		removed := make(chan struct{})
		go func() {
			defer close(removed)
			for i := range leaving {
				for _, s := range services {
					w := workers[s.name][round*leaving+i]
					w.remove()
					time.AfterFunc(stays, w.end)
					gone = append(gone, w)
					time.Sleep(leaveGap)
				}
			}
		}()
		time.Sleep(restartDelay)
		if l.trouble {
			reader.startHost()
		}
		<-removed
		time.Sleep(stays + time.Second)
		for _, w := range gone {
			l.checkDrained(w)
		}
	}
	close(stop)
	time.Sleep(time.Second)
}

// checkDrained checks that a worker has run no request later than the bound after the store confirmed that its entry was gone. All requests
// are sent to hosts that are in touch.
func (l *lab) checkDrained(w *worker) {
	late, last := 0, time.Duration(0)
	l.mu.Lock()
	for _, runs := range l.runs {
		for _, r := range runs {
			if after := r.at.Sub(w.removedAt); r.worker == w.id && after > drainBound {
				late, last = late+1, max(last, after)
			}
		}
	}
	l.mu.Unlock()
	if late > 0 {
		l.broken("DRAIN: worker %s ran %d requests later than %v after the store confirmed that it was gone, the last one %v after", w.id, late, drainBound, last.Round(time.Millisecond))
	}
}
