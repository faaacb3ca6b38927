package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table     string `json:"Table"`
	Partition string `json:"part"`
	Key       string `json:"Key"`
	Value     []byte `json:"Value,omitempty"`
	Version   uint64 `json:"RowVersion"`
	Deleted   bool   `json:"Deleted,omitempty"`
}

type storePage struct {
	Rows    []storeRow `json:"rows"`
	More    bool       `json:"HasMore"`
	Version uint64     `json:"RowVersion"`
	NowMs   int64      `json:"NowMs"`
}

// store is an in-memory stand-in for the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]storeRow
	history []storeRow
	version uint64
	changed chan struct{}
	started time.Time
}

func newStore() *store {
	return &store{
		rows:    map[[3]string]storeRow{},
		changed: make(chan struct{}),
		started: time.Now(),
	}
}

// handler serves the store's calls.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// put writes a row without a condition, as an operator does.
func (s *store) put(table, partition, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(storeRow{Table: table, Partition: partition, Key: key, Value: value})
	s.notify()
}

func (s *store) write(r storeRow) {
	r.Version = s.version
	id := [3]string{r.Table, r.Partition, r.Key}
	if r.Deleted {
		delete(s.rows, id)
	} else {
		s.rows[id] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) page() storePage {
	return storePage{Rows: []storeRow{}, Version: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var change struct {
		ExpectedRev []storeRow
		Puts        []storeRow
		Remove      []storeRow
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&change) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	// A transaction of a healthy store takes some milliseconds.
	time.Sleep(8 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(change.ExpectedRev)+len(change.Puts)+len(change.Remove) > 100 {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	for _, p := range change.Puts {
		if len(p.Value) > 65536 || p.Table == "op" || p.Table == "servers" {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	page := s.page()
	mismatch := false
	for _, e := range change.ExpectedRev {
		row := s.rows[[3]string{e.Table, e.Partition, e.Key}]
		mismatch = mismatch || row.Version != e.Version
		if row.Version > 0 {
			page.Rows = append(page.Rows, row)
		}
	}
	if mismatch {
		writeJSON(w, http.StatusPreconditionFailed, page)
		return
	}
	s.version++
	for _, p := range change.Puts {
		s.write(storeRow{Table: p.Table, Partition: p.Partition, Key: p.Key, Value: p.Value})
	}
	for _, d := range change.Remove {
		s.write(storeRow{Table: d.Table, Partition: d.Partition, Key: d.Key, Deleted: true})
	}
	s.notify()
	writeJSON(w, http.StatusOK, storePage{Rows: []storeRow{}, Version: s.version, NowMs: page.NowMs})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	page := s.page()
	for id, row := range s.rows {
		if id[0] == q.Get("Table") && id[1] == q.Get("part") && id[2] >= q.Get("From") && (q.Get("To") == "" || id[2] < q.Get("To")) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(a, b int) bool { return page.Rows[a].Key < page.Rows[b].Key })
	page.Rows, page.More = limitRows(page.Rows, limit)
	writeJSON(w, http.StatusOK, page)
}

// limitRows cuts a page to limit rows and to about 1 MB.
func limitRows(rows []storeRow, limit int) (cut []storeRow, more bool) {
	size := 0
	for i := range rows {
		size += len(rows[i].Value)*4/3 + 200
		if i == limit || i > 0 && size > 1<<20 {
			return rows[:i], true
		}
	}
	return rows, false
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		page := s.page()
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		for _, row := range s.history[first:] {
			if row.Table == q.Get("Table") {
				page.Rows = append(page.Rows, row)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if cut, more := limitRows(page.Rows, 500); more {
			// Resuming after a version must not skip the rest of a transaction.
			for len(cut) > 1 && len(cut) < len(page.Rows) && cut[len(cut)-1].Version == page.Rows[len(cut)].Version {
				cut = cut[:len(cut)-1]
			}
			page.Rows = cut
			page.Version = cut[len(cut)-1].Version
		}
		if len(page.Rows) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, page)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have gone; then nobody reads the response.
	_ = json.NewEncoder(w).Encode(body)
}
