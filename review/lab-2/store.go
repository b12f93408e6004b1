package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// row is one row of the platform's store.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"`
	Version uint64 `json:"record_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's store as PROTOCOL.md describes it. It keeps the whole history.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	blobs   map[string][]byte
	started time.Time
}

func newStore() *store {
	return &store{rows: map[rowKey]row{}, changed: make(chan struct{}), blobs: map[string][]byte{}, started: time.Now()}
}

// put writes a row as the operator or a worker does, and returns the confirmed version.
func (s *store) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.apply([]row{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(data)}})
}

// remove deletes a row as the operator or a worker does.
func (s *store) remove(table, key string) uint64 {
	return s.apply([]row{{Table: table, Key: key, Deleted: true}})
}

func (s *store) apply(changes []row) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applyLocked(changes)
}

func (s *store) applyLocked(changes []row) uint64 {
	s.version++
	for _, r := range changes {
		r.Version = s.version
		k := rowKey{r.Table, r.Part, r.Key}
		if r.Deleted {
			r.Value = ""
			if _, ok := s.rows[k]; !ok {
				continue
			}
			delete(s.rows, k)
		} else {
			s.rows[k] = r
		}
		s.history = append(s.history, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

func (s *store) now() string {
	return strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"
}

// door is the store's address for one host, so that the store can treat hosts differently.
type door struct {
	store    *store
	address  string
	listener net.Listener
	// turnAway makes the store answer 503 to this host.
	turnAway atomic.Bool
	// workerReads counts the reads of the workers' table.
	workerReads atomic.Int64
	writes      atomic.Int64
}

func (s *store) open(address string) *door {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("listen for the store: %v", err)
	}
	d := &door{store: s, address: l.Addr().String(), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rattanhitch/rows-tx", d.tx)
	mux.HandleFunc("GET /rattanhitch/rows-get", d.get)
	mux.HandleFunc("GET /rattanhitch/rows-feed", d.feed)
	mux.HandleFunc("GET /rattanhitch/rows-parts", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, 200, map[string]any{"parts": []string{""}, "has_more": false, "now": s.now()})
	})
	mux.HandleFunc("/rattanhitch/", d.blob)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if d.turnAway.Load() {
				w.WriteHeader(503)
				return
			}
			time.Sleep(4 * time.Millisecond)
			mux.ServeHTTP(w, r)
		}))
	}()
	return d
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (d *door) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Precondition []row `json:"precondition"`
		Puts         []row `json:"puts"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(400)
		return
	}
	d.writes.Add(1)
	s := d.store
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	ok := true
	for _, p := range in.Precondition {
		now, found := s.rows[rowKey{p.Table, p.Part, p.Key}]
		if found {
			current = append(current, now)
		}
		ok = ok && now.Version == p.Version
	}
	if !ok {
		answer(w, 412, map[string]any{"rows": current, "record_version": s.version, "now": s.now()})
		return
	}
	var changes []row
	for _, p := range in.Puts {
		changes = append(changes, row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range in.Remove {
		changes = append(changes, row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	for _, c := range changes {
		if c.Table == "op" || c.Table == "servers" {
			w.WriteHeader(403)
			return
		}
	}
	v := s.applyLocked(changes)
	answer(w, 200, map[string]any{"record_version": v, "now": s.now()})
}

func (d *door) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	d.count(q.Get("table"))
	s := d.store
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []row{}
	for k, v := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("source") && (q.Get("to") == "" || k.key < q.Get("to")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	answer(w, 200, map[string]any{"rows": list, "has_more": more, "record_version": s.version, "now": s.now()})
}

func (d *door) count(table string) {
	if table == "servers" {
		d.workerReads.Add(1)
	}
}

func (d *door) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	d.count(q.Get("table"))
	s := d.store
	for {
		s.mu.Lock()
		latest := map[rowKey]row{}
		for _, h := range s.history {
			if h.Table == q.Get("table") && h.Version > after {
				latest[rowKey{h.Table, h.Part, h.Key}] = h
			}
		}
		version, changed, now := s.version, s.changed, s.now()
		s.mu.Unlock()
		if len(latest) == 0 && wait > 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
			}
		}
		list := []row{}
		for _, h := range latest {
			list = append(list, h)
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
		answer(w, 200, map[string]any{"rows": list, "record_version": version, "now": now})
		return
	}
}

// blob serves no objects: the system of the deploy file keeps none.
func (d *door) blob(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(404) }
