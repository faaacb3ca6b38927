package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	stopTime       = 100 * time.Millisecond
	gangTimeout    = 3 * time.Second
	checkpointTime = time.Second
	heartbeatTime  = 1100 * time.Millisecond
	beatTimeout    = time.Second
	maxHoldWait    = 2 * time.Second
)

// maxLease is the longest lease that a runner grants, MaxHoldMs of the site.
var maxLease = 6 * time.Second

// taskKey names a task: ID.K.STEP.INDEX.
type taskKey struct {
	id           string
	k, step, idx int
}

func (t taskKey) gang(run int) string { return fmt.Sprintf("%s.%d.%d/%d", t.id, t.k, t.step, run) }

func parseTask(name string) (taskKey, bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return taskKey{}, false
	}
	k, e1 := strconv.Atoi(p[1])
	s, e2 := strconv.Atoi(p[2])
	i, e3 := strconv.Atoi(p[3])
	return taskKey{id: p[0], k: k, step: s, idx: i}, e1 == nil && e2 == nil && e3 == nil
}

// activeRun is a run in progress on a runner.
type activeRun struct {
	r       *runner
	task    string
	key     taskKey
	run     int
	saved   string
	began   time.Time
	workAt  time.Time
	worked  time.Duration
	savedAt time.Duration
	stopAt  time.Time
	percent int
	fails   bool
}

type endedRun struct {
	n         int64
	task      string
	run       int
	how       string
	saved     string
	acked     bool
	lapsedGap bool
}

// runner is one incarnation of a runner. The lock of the world protects it.
type runner struct {
	w        *world
	id       string
	addr     string
	registry string
	zone     string
	labels   []string
	cpu, mem int64
	started  time.Time
	born     int64
	up       bool
	// backMs is how far the time of day is set back.
	backMs    int64
	draining  bool
	fence     uint64
	leaseEnd  int64
	leased    bool
	active    map[string]*activeRun
	highest   map[string]int
	ended     []*endedRun
	sequence  int64
	beats     int64
	beatsOff  bool
	changed   chan struct{}
	server    *http.Server
	conns     map[net.Conn]struct{}
	connsMu   sync.Mutex
	stopBeats context.CancelFunc
	// gate, if set, decides what becomes of a call before it is carried out; it returns
	// false if the call is not to be answered. late, if set, delays an order that gets no
	// answer.
	gate func(path string, w http.ResponseWriter) bool
	late func(path string) time.Duration
	// onStart, if set, is called after a run began.
	onStart func(a *activeRun)
}

func (r *runner) clock(now time.Time) int64 { return now.Sub(r.started).Milliseconds() + 1 }

// power starts the incarnation.
func (r *runner) power() error {
	l, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.started = time.Now()
	r.born = r.started.UnixMilli() - r.backMs
	r.up = true
	r.active, r.highest, r.changed = map[string]*activeRun{}, map[string]int{}, make(chan struct{})
	r.conns = map[net.Conn]struct{}{}
	r.server = &http.Server{Handler: r, ConnState: func(c net.Conn, s http.ConnState) {
		r.connsMu.Lock()
		defer r.connsMu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(r.conns, c)
		} else {
			r.conns[c] = struct{}{}
		}
	}}
	go r.server.Serve(l)
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeats = cancel
	go r.beat(ctx)
	r.w.note("runner up", "runner", r.id, "born", r.born, "addr", r.addr)
	return nil
}

// crash ends the incarnation at once: what runs there is gone, and its connections are
// reset. The lock of the world must be held.
func (r *runner) crash() {
	r.up = false
	r.stopBeats()
	var runs []*activeRun
	for _, a := range r.active {
		runs = append(runs, a)
	}
	r.active = map[string]*activeRun{}
	r.w.note("runner crashed", "runner", r.id, "born", r.born, "runs", len(runs))
	for _, a := range runs {
		r.w.breakGang(a, time.Now())
	}
	go func() {
		r.server.Close()
		r.connsMu.Lock()
		defer r.connsMu.Unlock()
		for c := range r.conns {
			if t, ok := c.(*net.TCPConn); ok {
				t.SetLinger(0)
			}
			c.Close()
		}
	}()
}

func (r *runner) heartbeat() map[string]any {
	state := "ready"
	if r.draining {
		state = "draining"
	}
	return map[string]any{
		"Service": serviceName, "Addr": r.addr, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": map[string]any{"Cpu": r.cpu, "MemMb": r.mem, "Gpu": 0}, "Labels": r.labels,
		"ClockMs": r.clock(time.Now()), "Seq": r.beats, "born": r.born,
	}
}

func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.w.mu.Lock()
		r.beats++
		body, off := r.heartbeat(), r.beatsOff
		r.w.mu.Unlock()
		if !off {
			r.w.putHeartbeat(r.registry, r.id, body)
		}
		select {
		case <-time.After(heartbeatTime):
		case <-ctx.Done():
		}
	}
}

// putHeartbeat sends a heartbeat, whoever writes it, and returns the status.
func (w *world) putHeartbeat(registry, id string, body any) int {
	data, _ := json.Marshal(body)
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+registry+"/instances/"+id, bytes.NewReader(data))
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

type call struct {
	Task      string
	Run       int
	Spec      string
	UntilMs   int64
	Fence     uint64
	Saved     string
	AckCursor int64
	WaitMs    int64
	Percent   int
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	var c call
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if id := q.Header.Get("X-Bilberrywalk-Expected-Instance"); id != "" && id != r.id {
		writeJSON(w, 421, struct{}{})
		return
	}
	r.w.mu.Lock()
	gate, late := r.gate, r.late
	r.w.mu.Unlock()
	if gate != nil && !gate(q.URL.Path, w) {
		return
	}
	if late != nil && q.URL.Path != "/hold" {
		if d := late(q.URL.Path); d > 0 {
			time.AfterFunc(d, func() {
				r.w.mu.Lock()
				defer r.w.mu.Unlock()
				// A later incarnation at the same id may carry it out.
				if at := r.w.byID(r.id); at != nil {
					at.execute(context.Background(), q.URL.Path, c)
				}
			})
			time.Sleep(2 * time.Second)
			hangUp(w)
			return
		}
	}
	r.w.mu.Lock()
	status, body := r.execute(q.Context(), q.URL.Path, c)
	body["ClockMs"], body["born"] = r.clock(time.Now()), r.born
	up := r.up
	r.w.mu.Unlock()
	if !up {
		hangUp(w)
		return
	}
	writeJSON(w, status, body)
}

// execute carries out a call. The lock of the world must be held; a hold releases it while
// it waits.
func (r *runner) execute(ctx context.Context, path string, c call) (int, map[string]any) {
	now := time.Now()
	if !r.up {
		return http.StatusServiceUnavailable, map[string]any{}
	}
	r.expire(now)
	if c.Fence < r.fence {
		return http.StatusConflict, map[string]any{"Reason": "fence"}
	}
	r.fence = c.Fence
	until := min(c.UntilMs, r.clock(now)+maxLease.Milliseconds())
	if until > r.leaseEnd {
		r.leaseEnd = until
	}
	if r.leaseEnd > r.clock(now) {
		r.leased = true
	}
	switch path {
	case "/run-start":
		return r.start(now, c)
	case "/run-stop":
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if a := r.active[c.Task]; a != nil && a.run <= c.Run && a.stopAt.IsZero() {
			a.stopAt = now.Add(stopTime)
			r.w.note("stop", "task", c.Task, "run", c.Run, "runner", r.id)
		}
		return http.StatusOK, map[string]any{}
	case "/pace":
		if a := r.active[c.Task]; a != nil && a.run == c.Run {
			a.percent = c.Percent
		}
		return http.StatusOK, map[string]any{}
	case "/hold":
		return r.hold(ctx, now, c)
	}
	return http.StatusBadRequest, map[string]any{}
}

func (r *runner) start(now time.Time, c call) (int, map[string]any) {
	a := r.active[c.Task]
	switch {
	case a != nil && a.run == c.Run:
		return http.StatusOK, map[string]any{}
	case c.Run <= r.highest[c.Task]:
		return http.StatusConflict, map[string]any{"Reason": "old"}
	case r.leaseEnd <= r.clock(now) || c.UntilMs <= r.clock(now):
		return http.StatusConflict, map[string]any{"Reason": "late"}
	case a != nil:
		return http.StatusConflict, map[string]any{"Reason": "room"}
	}
	key, ok := parseTask(c.Task)
	if !ok {
		return http.StatusBadRequest, map[string]any{}
	}
	a = &activeRun{r: r, task: c.Task, key: key, run: c.Run, saved: c.Saved, began: now, workAt: now, percent: 100}
	r.w.checkStart(now, r, a, c)
	r.highest[c.Task] = c.Run
	r.active[c.Task] = a
	a.worked = r.w.progressOf(c.Saved)
	a.savedAt = a.worked
	a.fails = r.w.fails(key, c.Run)
	r.w.note("start", "task", c.Task, "run", c.Run, "runner", r.id, "saved", c.Saved, "epoch", c.Fence)
	if r.onStart != nil {
		r.onStart(a)
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) hold(ctx context.Context, now time.Time, c call) (int, map[string]any) {
	kept := r.ended[:0:0]
	for _, e := range r.ended {
		if e.n <= c.AckCursor {
			e.acked = true
			continue
		}
		kept = append(kept, e)
	}
	if len(kept) < len(r.ended) {
		r.w.note("acked", "runner", r.id, "cursor", c.AckCursor)
	}
	r.ended = kept
	if len(r.ended) == 0 && c.WaitMs > 0 {
		changed := r.changed
		r.w.mu.Unlock()
		timer := time.NewTimer(min(maxHoldWait, time.Duration(c.WaitMs)*time.Millisecond))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		r.w.mu.Lock()
		if !r.up {
			return http.StatusServiceUnavailable, map[string]any{}
		}
		r.expire(time.Now())
	}
	running, ended := [][]any{}, [][]any{}
	for _, a := range r.active {
		spec := r.w.stepOf(a.key)
		percent := 100
		if spec.work > 0 {
			percent = int(min(99, 100*a.worked/spec.work))
		}
		running = append(running, []any{a.task, a.run, a.saved, percent, spec.Cpu})
	}
	for _, e := range r.ended[:min(len(r.ended), maxPageRows)] {
		ended = append(ended, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"Running": running, "Ended": ended}
}

// end ends a run and, if it is one of a gang, the others.
func (r *runner) end(now time.Time, a *activeRun, how string) {
	if r.active[a.task] != a {
		return
	}
	delete(r.active, a.task)
	if how == "stopped" && r.w.stepOf(a.key).Checkpoints {
		a.saved = r.w.checkpoint(a)
	}
	r.sequence++
	e := &endedRun{n: r.sequence, task: a.task, run: a.run, how: how, saved: a.saved}
	r.ended = append(r.ended, e)
	r.w.note("end", "task", a.task, "run", a.run, "runner", r.id, "how", how, "n", e.n)
	r.w.recordEnd(now, a, e)
	close(r.changed)
	r.changed = make(chan struct{})
	switch {
	case how == "done":
		r.w.finishGang(a, now)
	case how != "broken":
		r.w.breakGang(a, now)
	}
}

// expire ends everything once the lease has expired.
func (r *runner) expire(now time.Time) {
	if !r.leased || r.clock(now) <= r.leaseEnd {
		return
	}
	r.leased = false
	for _, e := range r.ended {
		e.lapsedGap = true
	}
	names := make([]string, 0, len(r.active))
	for name := range r.active {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if a := r.active[name]; a != nil {
			r.end(now, a, "lapsed")
		}
	}
}

// work advances what runs.
func (r *runner) work(now time.Time) {
	if !r.up {
		return
	}
	r.expire(now)
	for _, a := range r.active {
		spec := r.w.stepOf(a.key)
		step := now.Sub(a.workAt)
		a.workAt = now
		switch {
		case !a.stopAt.IsZero():
			if !now.Before(a.stopAt) {
				r.end(now, a, "stopped")
			}
			continue
		case spec.Gang && !r.w.gangPresent(a):
			if now.Sub(a.began) >= gangTimeout {
				r.end(now, a, "alone")
			}
			continue
		}
		a.worked += step * time.Duration(a.percent) / 100
		if spec.Checkpoints && a.worked-a.savedAt >= checkpointTime {
			a.savedAt = a.worked
			a.saved = r.w.checkpoint(a)
		}
		switch {
		case a.fails && a.worked >= spec.work/2:
			r.end(now, a, "failed")
		case spec.work > 0 && a.worked >= spec.work:
			r.end(now, a, "done")
		}
	}
}
