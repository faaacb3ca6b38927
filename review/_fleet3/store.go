package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the platform's store, as the users' pages state them.
const (
	maxRowBytes   = 65536
	maxKeyBytes   = 200
	maxTxEntries  = 100
	maxTxBytes    = 1 << 20
	maxPageRows   = 500
	maxPageBytes  = 1 << 20
	historyTime   = 20 * time.Second
	commitTime    = 8 * time.Millisecond
	readTime      = 4 * time.Millisecond
	operatorTable = "op"
)

type storeRow struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   []byte `json:"Value,omitempty"`
	Version uint64 `json:"RowVersion"`
	Deleted bool   `json:"Deleted,omitempty"`
}

func (r storeRow) id() [3]string { return [3]string{r.Table, r.Part, r.Key} }

type storePage struct {
	Rows    []storeRow `json:"rows"`
	HasMore bool       `json:"HasMore"`
	Version uint64     `json:"RowVersion"`
	NowMs   int64      `json:"NowMs"`
}

type pastRow struct {
	storeRow
	at time.Time
}

// store is the platform's store: linearizable, in memory.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]storeRow
	history []pastRow
	// forgotten is the newest version of which the history is gone.
	forgotten uint64
	version   uint64
	changed   chan struct{}
	started   time.Time
	writes    atomic.Int64
	rejected  atomic.Int64
	record    *recorder
}

func newStore(record *recorder) *store {
	return &store{rows: map[[3]string]storeRow{}, changed: make(chan struct{}), started: time.Now(), record: record}
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.commit)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	return mux
}

// put writes a row as the operator does.
func (s *store) put(row storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.write(row)
	s.notify()
}

func (s *store) write(row storeRow) {
	row.Version = s.version
	if row.Deleted {
		delete(s.rows, row.id())
	} else {
		s.rows[row.id()] = row
	}
	now := time.Now()
	s.history = append(s.history, pastRow{row, now})
	drop := 0
	for drop < len(s.history) && now.Sub(s.history[drop].at) > historyTime {
		s.forgotten = s.history[drop].Version
		drop++
	}
	if drop > 1000 {
		s.history = append([]pastRow(nil), s.history[drop:]...)
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) page() storePage {
	return storePage{Rows: []storeRow{}, Version: s.version, NowMs: time.Since(s.started).Milliseconds()}
}

func (s *store) reject(w http.ResponseWriter, why string) {
	s.rejected.Add(1)
	s.record.add("store rejects a transaction: %s", why)
	writeJSON(w, http.StatusBadRequest, map[string]any{})
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var change struct {
		ExpectedRev []storeRow
		Puts        []storeRow
		Remove      []storeRow
	}
	if json.NewDecoder(http.MaxBytesReader(w, r.Body, maxTxBytes)).Decode(&change) != nil {
		s.reject(w, "body")
		return
	}
	if len(change.ExpectedRev)+len(change.Puts)+len(change.Remove) > maxTxEntries {
		s.reject(w, "entries")
		return
	}
	for _, p := range change.Puts {
		if len(p.Value) > maxRowBytes || len(p.Key) > maxKeyBytes {
			s.reject(w, "row "+p.Table+" "+strconv.Itoa(len(p.Key))+" bytes of key, "+strconv.Itoa(len(p.Value))+" bytes of value")
			return
		}
	}
	time.Sleep(commitTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes.Add(1)
	page := s.page()
	mismatch := false
	for _, e := range change.ExpectedRev {
		row := s.rows[e.id()]
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
		s.write(p)
	}
	for _, d := range change.Remove {
		d.Deleted = true
		s.write(d)
	}
	s.notify()
	page.Rows, page.Version = []storeRow{}, s.version
	writeJSON(w, http.StatusOK, page)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit > maxPageRows {
		limit = maxPageRows
	}
	time.Sleep(readTime)
	s.mu.Lock()
	page := s.page()
	for id, row := range s.rows {
		if id[0] == q.Get("Table") && id[1] == q.Get("part") && id[2] >= q.Get("From") && (q.Get("To") == "" || id[2] < q.Get("To")) {
			page.Rows = append(page.Rows, row)
		}
	}
	s.mu.Unlock()
	sort.Slice(page.Rows, func(i, j int) bool { return strings.Compare(page.Rows[i].Key, page.Rows[j].Key) < 0 })
	size := 0
	for i, row := range page.Rows {
		size += len(row.Value)*4/3 + len(row.Key) + 100
		if i == limit || i > 0 && size > maxPageBytes {
			page.Rows, page.HasMore = page.Rows[:i], true
			break
		}
	}
	writeJSON(w, http.StatusOK, page)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("WaitMs"))
	if err != nil || waitErr != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		page, changed := s.page(), s.changed
		gone := after < s.forgotten
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Version > after })
		size := 0
		for _, row := range s.history[first:] {
			if row.Table != q.Get("Table") {
				continue
			}
			size += len(row.Value)*4/3 + len(row.Key) + 100
			newVersion := len(page.Rows) > 0 && page.Rows[len(page.Rows)-1].Version != row.Version
			if newVersion && (len(page.Rows) >= maxPageRows || size > maxPageBytes) {
				page.Version = page.Rows[len(page.Rows)-1].Version
				break
			}
			page.Rows = append(page.Rows, row.storeRow)
		}
		s.mu.Unlock()
		if gone {
			writeJSON(w, http.StatusGone, map[string]any{})
			return
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
	// The caller may have gone.
	_ = json.NewEncoder(w).Encode(body)
}
