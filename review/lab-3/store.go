package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store. Rows with a part are not needed here.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"record_version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// platformStore is a stand-in for the platform's metadata store. It is linearizable and loses nothing that it has acknowledged. Each
// host gets a listener of its own, so that the record tells which host has read what.
type platformStore struct {
	mu      sync.Mutex
	changed *sync.Cond
	start   time.Time
	version uint64
	rows    map[string]*row // by table and key, deleted ones included
	// refuse, if set, tells what the store does with a call of a host: 0 serves it, -1 resets the connection, else it is the status.
	refuse func(host string) int
	seen   func(host, table string, rows []row)
	ln     []net.Listener
}

func newStore() *platformStore {
	s := &platformStore{start: time.Now(), rows: map[string]*row{}}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.changed.Broadcast()
		}
	}()
	return s
}

func (s *platformStore) now() string { return fmt.Sprintf("%dms", time.Since(s.start).Milliseconds()) }

// put writes a row as an operator or a worker does; s.mu must not be held.
func (s *platformStore) put(table, key string, value any) uint64 {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = &row{Table: table, Key: key, Value: data, Version: s.version}
	s.changed.Broadcast()
	return s.version
}

// remove deletes a row.
func (s *platformStore) remove(table, key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table+"/"+key] = &row{Table: table, Key: key, Version: s.version, Deleted: true}
	s.changed.Broadcast()
	return s.version
}

// listen opens a listener for the calls of one host and returns its address.
func (s *platformStore) listen(host string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.ln = append(s.ln, ln)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rattanhitch/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.tx(w, r) })
	mux.HandleFunc("GET /rattanhitch/rows-get", func(w http.ResponseWriter, r *http.Request) { s.get(w, r, host) })
	mux.HandleFunc("GET /rattanhitch/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.feed(w, r, host) })
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuse != nil {
			if status := s.refuse(host); status < 0 {
				panic(http.ErrAbortHandler)
			} else if status > 0 {
				w.WriteHeader(status)
				return
			}
		}
		time.Sleep(4 * time.Millisecond)
		mux.ServeHTTP(w, r)
	}))
	return ln.Addr().String()
}

func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	w.Write(data)
}

func (s *platformStore) tx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row `json:"precondition"`
		Puts         []row `json:"puts"`
		Remove       []row `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(400)
		return
	}
	for _, list := range [][]row{t.Puts, t.Remove} {
		for _, e := range list {
			if e.Table == "op" || e.Table == "servers" {
				w.WriteHeader(403)
				return
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []row{}
	holds := true
	for _, p := range t.Precondition {
		have := s.rows[p.Table+"/"+p.Key]
		version := uint64(0)
		if have != nil && !have.Deleted {
			version = have.Version
			current = append(current, *have)
		}
		holds = holds && version == p.Version
	}
	if !holds {
		reply(w, 412, map[string]any{"rows": current, "record_version": s.version, "now": s.now()})
		return
	}
	s.version++
	for _, p := range t.Puts {
		s.rows[p.Table+"/"+p.Key] = &row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value, Version: s.version}
	}
	for _, p := range t.Remove {
		if have := s.rows[p.Table+"/"+p.Key]; have != nil && !have.Deleted {
			s.rows[p.Table+"/"+p.Key] = &row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Deleted: true}
		}
	}
	s.changed.Broadcast()
	reply(w, 200, map[string]any{"record_version": s.version, "now": s.now()})
}

func (s *platformStore) get(w http.ResponseWriter, r *http.Request, host string) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	list := []row{}
	for _, e := range s.rows {
		if e.Table == q.Get("table") && e.Part == q.Get("part") && !e.Deleted && e.Key >= q.Get("source") &&
			(q.Get("to") == "" || e.Key < q.Get("to")) {
			list = append(list, *e)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Key < list[j].Key })
	more := len(list) > limit
	if more {
		list = list[:limit]
	}
	if s.seen != nil {
		s.seen(host, q.Get("table"), list)
	}
	reply(w, 200, map[string]any{"rows": list, "has_more": more, "record_version": version, "now": s.now()})
}

func (s *platformStore) feed(w http.ResponseWriter, r *http.Request, host string) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	list := []row{}
	for {
		for _, e := range s.rows {
			if e.Table == q.Get("table") && e.Version > after {
				list = append(list, *e)
			}
		}
		if len(list) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			break
		}
		s.changed.Wait()
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(list, func(i, j int) bool { return list[i].Version < list[j].Version })
	if s.seen != nil {
		s.seen(host, q.Get("table"), list)
	}
	reply(w, 200, map[string]any{"rows": list, "record_version": version, "now": s.now()})
}
