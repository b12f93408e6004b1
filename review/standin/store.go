package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the store's tables, in the JSON form of the platform's pages.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"record_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Store is a stand-in for the platform's metadata store in the form "table". It keeps all history.
type Store struct {
	mu      sync.Mutex
	rows    map[string]map[string]row // by table and key; deleted rows stay, for the feed
	version uint64
	changed chan struct{}
	started time.Time
	address string
	// Delay is the time that a call takes.
	Delay time.Duration
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(ip string) *Store {
	s := &Store{rows: map[string]map[string]row{}, changed: make(chan struct{}), started: time.Now(), Delay: 4 * time.Millisecond}
	l, err := net.Listen("tcp", ip+":0")
	must(err)
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, s) }()
	return s
}

func (s *Store) set(table, key string, value []byte, deleted bool) {
	s.version++
	if s.rows[table] == nil {
		s.rows[table] = map[string]row{}
	}
	s.rows[table][key] = row{Table: table, Key: key, Value: value, Version: s.version, Deleted: deleted}
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a row, for the operator and the workers. The row is confirmed when Put returns.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(table, key, data, false)
	s.wake()
}

// Delete removes a row.
func (s *Store) Delete(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.rows[table][key]; ok && !r.Deleted {
		s.set(table, key, nil, true)
		s.wake()
	}
}

type page struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"record_version"`
	Now     string `json:"now"`
}

func (s *Store) page(rows []row, more bool) page {
	if rows == nil {
		rows = []row{}
	}
	return page{rows, more, s.version, strconv.FormatInt(time.Since(s.started).Milliseconds(), 10) + "ms"}
}

func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.Delay)
	switch r.URL.Path {
	case "/rattanhitch/rows-get":
		s.get(w, r)
	case "/rattanhitch/rows-feed":
		s.feed(w, r)
	case "/rattanhitch/rows-tx":
		s.transaction(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []row
	for key, v := range s.rows[q.Get("table")] {
		if !v.Deleted && q.Get("part") == v.Part && key >= q.Get("source") && (q.Get("to") == "" || key < q.Get("to")) {
			list = append(list, v)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	reply(w, http.StatusOK, s.page(list, more))
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var list []row
		for _, v := range s.rows[q.Get("table")] {
			if v.Version > after {
				list = append(list, v)
			}
		}
		sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
		p, changed := s.page(list, false), s.changed
		s.mu.Unlock()
		if len(list) > 0 || wait == 0 {
			reply(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-end:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Conditions []row `json:"precondition"`
		Puts       []row `json:"puts"`
		Deletes    []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, list := range [][]row{t.Puts, t.Deletes} {
		for _, v := range list {
			if v.Table == "op" || v.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := []row{}
	for _, c := range t.Conditions {
		now := s.rows[c.Table][c.Key]
		version := now.Version
		if now.Deleted {
			version = 0
		}
		if version != c.Version {
			failed = append(failed, now)
		}
	}
	if len(failed) > 0 {
		reply(w, http.StatusPreconditionFailed, s.page(failed, false))
		return
	}
	s.version++ // one version for the whole transaction
	version := s.version
	for _, v := range t.Puts {
		s.version = version - 1
		s.set(v.Table, v.Key, v.Value, false)
	}
	for _, v := range t.Deletes {
		if now, ok := s.rows[v.Table][v.Key]; ok && !now.Deleted {
			s.version = version - 1
			s.set(v.Table, v.Key, nil, true)
		}
	}
	s.version = version
	s.wake()
	reply(w, http.StatusOK, s.page(nil, false))
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
