package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	commitTime  = 8 * time.Millisecond
	readTime    = 4 * time.Millisecond
	maxPageRows = 500
	maxRowBytes = 65536
)

// row is a row of the platform's store.
type row struct {
	Table      string
	Part       string `json:"part"`
	Key        string
	Value      []byte `json:",omitempty"`
	RowVersion uint64
	Deleted    bool `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

func (r *row) id() rowKey { return rowKey{table: r.Table, part: r.Part, key: r.Key} }

type page struct {
	Rows       []row `json:"rows"`
	HasMore    bool
	RowVersion uint64
	NowMs      int64
}

// store is a stand-in for the platform's store.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{
		rows:    map[rowKey]row{},
		changed: make(chan struct{}),
		started: time.Now(),
	}
}

func (s *store) page() page {
	return page{Rows: []row{}, RowVersion: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func (s *store) write(r row) {
	r.RowVersion = s.version
	if r.Deleted {
		delete(s.rows, r.id())
	} else {
		s.rows[r.id()] = r
	}
	s.history = append(s.history, r)
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row{Table: table, Key: key, Value: value})
	close(s.changed)
	s.changed = make(chan struct{})
}

type change struct {
	ExpectedRev []row
	Puts        []row
	Remove      []row
}

// apply carries out a transaction.
func (s *store) apply(c change) (int, page) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.page()
	mismatch := false
	for _, e := range c.ExpectedRev {
		r := s.rows[e.id()]
		mismatch = mismatch || r.RowVersion != e.RowVersion
		if r.RowVersion > 0 {
			p.Rows = append(p.Rows, r)
		}
	}
	if mismatch {
		return http.StatusPreconditionFailed, p
	}
	for _, r := range c.Puts {
		if len(r.Value) > maxRowBytes || len(r.Key) > 200 {
			return http.StatusBadRequest, page{}
		}
	}
	s.version++
	for _, r := range c.Puts {
		s.write(r)
	}
	for _, r := range c.Remove {
		r.Deleted = true
		s.write(r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return http.StatusOK, page{Rows: []row{}, RowVersion: s.version, NowMs: p.NowMs}
}

// door is the store as one process reaches it.
type door struct {
	store *store
	// gate, if set, decides what becomes of a call: it returns false if the call is not
	// to be answered or was answered already.
	gate func(w http.ResponseWriter, r *http.Request) bool
	mu   sync.Mutex
	// lose, if set, decides whether the answer of a write is lost, and how much later the
	// write is done then.
	lose func() (lost bool, delay time.Duration)
}

func (d *door) set(gate func(w http.ResponseWriter, r *http.Request) bool, lose func() (bool, time.Duration)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.gate, d.lose = gate, lose
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	gate, lose := d.gate, d.lose
	d.mu.Unlock()
	if gate != nil && !gate(w, r) {
		return
	}
	switch r.URL.Path {
	case "/rows-tx":
		d.commit(w, r, lose)
	case "/rows-get":
		d.get(w, r)
	case "/rows-feed":
		d.feed(w, r)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func (d *door) commit(w http.ResponseWriter, r *http.Request, lose func() (bool, time.Duration)) {
	var c change
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&c) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	time.Sleep(commitTime)
	if lose != nil {
		if lost, delay := lose(); lost {
			if delay > 0 {
				time.AfterFunc(delay, func() { d.store.apply(c) })
			} else {
				d.store.apply(c)
			}
			hangUp(w)
			return
		}
	}
	status, p := d.store.apply(c)
	writeJSON(w, status, p)
}

func (d *door) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil {
		limit = maxPageRows
	}
	time.Sleep(readTime)
	s := d.store
	s.mu.Lock()
	p := s.page()
	for id, r := range s.rows {
		if id.table == q.Get("Table") && id.part == q.Get("part") && id.key >= q.Get("From") && (q.Get("To") == "" || id.key < q.Get("To")) {
			p.Rows = append(p.Rows, r)
		}
	}
	s.mu.Unlock()
	sort.Slice(p.Rows, func(i, j int) bool { return strings.Compare(p.Rows[i].Key, p.Rows[j].Key) < 0 })
	if limit = min(limit, maxPageRows); len(p.Rows) > limit {
		p.Rows, p.HasMore = p.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, p)
}

func (d *door) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s := d.store
	for {
		s.mu.Lock()
		p, changed := s.page(), s.changed
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].RowVersion > after })
		for _, r := range s.history[first:] {
			if r.Table == q.Get("Table") {
				p.Rows = append(p.Rows, r)
			}
		}
		s.mu.Unlock()
		if len(p.Rows) > 0 {
			writeJSON(w, http.StatusOK, p)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, p)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// hangUp closes a connection without an answer.
func hangUp(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if conn, _, err := h.Hijack(); err == nil {
			conn.Close()
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
