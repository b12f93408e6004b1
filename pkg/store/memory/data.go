package memory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rattanhitch/rattanhitch/pkg/store"
)

// maxHostHistory limits the earlier host lists that are kept for Faults.HostListLag.
const maxHostHistory = 1024

// hostListVersion is the host list that is valid from a moment until the next version.
type hostListVersion struct {
	since time.Time
	hosts map[string]store.HostEntry
}

// data is the state that all clients of one platform share.
type data struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	// versions is the last version that was assigned. It is global, so that a row that is deleted and created again never gets a
	// version that it had before.
	versions uint64
	history  []hostListVersion
	stats    Stats
}

// Stats counts the calls that reached the platform, without those that failed in an injected outage.
type Stats struct {
	Reads  uint64
	Writes uint64
}

func newData() *data {
	return &data{rows: map[string]store.Row{}, objects: map[string][]byte{}}
}

func (d *data) get(key string) (store.Row, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	row, ok := d.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	row.Value = slices.Clone(row.Value)
	return row, nil
}

func (d *data) scan(prefix, after string, limit int) []store.Row {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []string
	for key := range d.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	rows := make([]store.Row, 0, min(len(keys), limit))
	for _, key := range keys[:min(len(keys), limit)] {
		row := d.rows[key]
		row.Value = slices.Clone(row.Value)
		rows = append(rows, row)
	}
	return rows
}

func (d *data) commit(txn store.Txn) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range txn.Conditions {
		if d.rows[c.Key].Version != c.Version {
			return store.ErrConflict
		}
	}
	for _, w := range txn.Writes {
		if w.Delete {
			delete(d.rows, w.Key)
			continue
		}
		d.versions++
		d.rows[w.Key] = store.Row{Key: w.Key, Value: slices.Clone(w.Value), Version: d.versions}
	}
	return nil
}

func (d *data) getObject(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	value, ok := d.objects[name]
	if !ok {
		return nil, store.ErrNotFound
	}
	return slices.Clone(value), nil
}

func (d *data) putObject(name string, value []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.objects[name] = slices.Clone(value)
}

func (d *data) deleteObject(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.objects, name)
}

func (d *data) announce(entry store.HostEntry, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	hosts := map[string]store.HostEntry{}
	if n := len(d.history); n > 0 {
		if d.history[n-1].hosts[entry.Host] == entry {
			return
		}
		hosts = maps.Clone(d.history[n-1].hosts)
	}
	hosts[entry.Host] = entry
	d.history = append(d.history, hostListVersion{now, hosts})
	if len(d.history) > maxHostHistory {
		d.history = slices.Delete(d.history, 0, len(d.history)-maxHostHistory)
	}
}

// hostsAt returns the host list that was valid at a moment, sorted by host name.
func (d *data) hostsAt(moment time.Time) []store.HostEntry {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, list := range slices.Backward(d.history) {
		if list.since.After(moment) {
			continue
		}
		names := slices.Sorted(maps.Keys(list.hosts))
		entries := make([]store.HostEntry, 0, len(names))
		for _, name := range names {
			entries = append(entries, list.hosts[name])
		}
		return entries
	}
	return nil
}

func (d *data) countCall(write bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if write {
		d.stats.Writes++
		return
	}
	d.stats.Reads++
}
