package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	gangTimeout       = 3 * time.Second
	stopTime          = 100 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
	maxWait           = 2 * time.Second
	maxListedEnds     = 500
	saveInterval      = 2 * time.Second
	statusOtherRunner = 421
)

// work is what the payload of a job says of the tasks of each of its steps.
type work struct {
	Steps []stepWork `json:"s"`
}

type stepWork struct {
	// Millis is how long a task works; 0 lasts.
	Millis int64 `json:"ms"`
	// Gang is the number of members of a gang; 0 for other tasks.
	Gang int `json:"g,omitempty"`
	// Fails says that each run fails after its time.
	Fails bool `json:"f,omitempty"`
	// Saves says that the task checkpoints its progress.
	Saves bool `json:"c,omitempty"`
	// Figure is the fifth entry of the task's row while it runs.
	Figure float64 `json:"m,omitempty"`
}

type activeRun struct {
	task    string
	run     int
	step    stepWork
	worked  time.Duration
	since   time.Time
	lastAt  time.Time
	stopAt  time.Time
	percent int
	saved   string
	savedAt time.Duration
}

type endedRun struct {
	sequence int64
	task     string
	run      int
	how      string
	saved    string
}

// runner is a runner of the platform with one incarnation at a time.
type runner struct {
	w        *world
	id       string
	zone     string
	labels   []string
	listen   string
	registry string
	capacity int64
	maxHold  int64
	slow     int64
	mu       sync.Mutex
	up       bool
	born     time.Time
	fence    uint64
	until    int64
	leased   bool
	active   map[string]*activeRun
	highest  map[string]int
	ended    []endedRun
	sequence int64
	beats    int64
	draining bool
	cut      bool
	// refusing says that a cut off runner's connections are reset.
	refusing  bool
	changed   chan struct{}
	server    *http.Server
	lapses    int
	stopBeats context.CancelFunc
}

// start begins a new incarnation.
func (r *runner) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up {
		return
	}
	listener, err := net.Listen("tcp", r.listen)
	for tries := 0; err != nil && tries < 40; tries++ {
		time.Sleep(50 * time.Millisecond)
		listener, err = net.Listen("tcp", r.listen)
	}
	if err != nil {
		r.w.broken("cannot listen: " + err.Error())
		return
	}
	r.up, r.born, r.fence, r.until, r.leased = true, time.Now(), 0, 0, false
	r.active, r.highest, r.ended, r.sequence, r.beats, r.draining = map[string]*activeRun{}, map[string]int{}, nil, 0, 0, false
	r.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handle(r.handleStart))
	mux.HandleFunc("POST /run-stop", r.handle(r.handleStop))
	mux.HandleFunc("POST /pace", r.handle(r.handlePace))
	mux.HandleFunc("POST /hold", r.handle(r.handleHold))
	r.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go r.server.Serve(listener)
	ctx, cancel := context.WithCancel(context.Background())
	r.stopBeats = cancel
	go r.sendHeartbeats(ctx, r.born)
	r.w.record.add("runner %s up, born %d", r.id, r.born.UnixMilli())
}

// crash ends the incarnation: what runs on it ends unseen.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.w.record.add("runner %s down", r.id)
	for _, a := range r.active {
		r.w.ended(r, a.task, a.run, "crashed", false)
	}
	r.active = map[string]*activeRun{}
	server, cancel := r.server, r.stopBeats
	r.mu.Unlock()
	cancel()
	server.Close()
}

func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.w.record.add("runner %s cut %v", r.id, cut)
}

// setRefusing cuts the runner off so that connections to it are reset, or ends that.
func (r *runner) setRefusing(refusing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusing, r.cut = refusing, refusing
	close(r.changed)
	r.changed = make(chan struct{})
	r.w.record.add("runner %s cut off, with resets: %v", r.id, refusing)
}

func (r *runner) clock(now time.Time) int64 {
	return now.Sub(r.born).Milliseconds()*(100-r.slow)/100 + 1
}

func (r *runner) sendHeartbeats(ctx context.Context, born time.Time) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		r.mu.Lock()
		r.beats++
		state := "ready"
		if r.draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"Service": r.w.service, "Addr": r.listen, "Zone": r.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
			"Capacity": map[string]any{"Cpu": r.capacity, "MemMb": 125000, "Gpu": 0}, "Labels": r.labels,
			"ClockMs": r.clock(time.Now()), "Seq": r.beats, "born": born.UnixMilli(),
		})
		cut := r.cut
		r.mu.Unlock()
		if !cut {
			q, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.registry+"/instances/"+r.id, bytes.NewReader(body))
			q.Header.Set("Content-Type", "application/json")
			if resp, err := client.Do(q); err == nil {
				resp.Body.Close()
			}
		}
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

type runnerCall struct {
	Task      string
	Run       int
	Spec      string
	UntilMs   int64
	Fence     uint64
	AckCursor int64
	WaitMs    int64
	Percent   int
	Saved     string
}

func (r *runner) handle(execute func(ctx context.Context, c runnerCall) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		var c runnerCall
		if json.NewDecoder(q.Body).Decode(&c) != nil {
			writeJSON(w, http.StatusBadRequest, map[string]any{})
			return
		}
		if id := q.Header.Get("X-Bilberrywalk-Expected-Instance"); id != "" && id != r.id {
			writeJSON(w, statusOtherRunner, map[string]any{})
			return
		}
		r.mu.Lock()
		if r.refusing {
			r.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if r.cut {
			r.mu.Unlock()
			<-q.Context().Done()
			return
		}
		defer r.mu.Unlock()
		if !r.up {
			panic(http.ErrAbortHandler)
		}
		r.expire(time.Now())
		status, body := http.StatusConflict, map[string]any{"Reason": "fence"}
		if c.Fence >= r.fence {
			r.fence = c.Fence
			now := time.Now()
			until := min(c.UntilMs, r.clock(now)+r.maxHold)
			r.until = max(r.until, until)
			r.leased = r.until >= r.clock(now)
			status, body = execute(q.Context(), c)
		}
		if r.cut {
			panic(http.ErrAbortHandler)
		}
		body["ClockMs"], body["born"] = r.clock(time.Now()), r.born.UnixMilli()
		writeJSON(w, status, body)
	}
}

func (r *runner) handleStart(_ context.Context, c runnerCall) (int, map[string]any) {
	now := time.Now()
	a := r.active[c.Task]
	switch {
	case a != nil && a.run == c.Run:
		return http.StatusOK, map[string]any{}
	case c.Run <= r.highest[c.Task]:
		return http.StatusConflict, map[string]any{"Reason": "old"}
	case r.until <= r.clock(now):
		return http.StatusConflict, map[string]any{"Reason": "late"}
	}
	var what work
	if json.Unmarshal([]byte(c.Spec), &what) != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	parts := strings.Split(c.Task, ".")
	step := 0
	for _, d := range parts[2] {
		step = step*10 + int(d-'0')
	}
	run := &activeRun{task: c.Task, run: c.Run, step: what.Steps[step], since: now, lastAt: now, percent: 100, saved: c.Saved}
	r.highest[c.Task] = c.Run
	r.active[c.Task] = run
	r.w.began(r, run)
	return http.StatusOK, map[string]any{}
}

func (r *runner) handleStop(_ context.Context, c runnerCall) (int, map[string]any) {
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if a := r.active[c.Task]; a != nil && a.run <= c.Run && a.stopAt.IsZero() {
		a.stopAt = time.Now().Add(stopTime)
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) handlePace(_ context.Context, c runnerCall) (int, map[string]any) {
	if a := r.active[c.Task]; a != nil && a.run == c.Run {
		a.percent = c.Percent
	}
	return http.StatusOK, map[string]any{}
}

func (r *runner) handleHold(ctx context.Context, c runnerCall) (int, map[string]any) {
	for len(r.ended) > 0 && r.ended[0].sequence <= c.AckCursor {
		r.w.acked(r, r.ended[0])
		r.ended = r.ended[1:]
	}
	if len(r.ended) == 0 && c.WaitMs > 0 {
		changed := r.changed
		r.mu.Unlock()
		timer := time.NewTimer(min(time.Duration(c.WaitMs)*time.Millisecond, maxWait))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		r.mu.Lock()
		if !r.up {
			panic(http.ErrAbortHandler)
		}
	}
	running, ended := [][]any{}, [][]any{}
	names := make([]string, 0, len(r.active))
	for name := range r.active {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		a := r.active[name]
		percent := 100
		if a.step.Millis > 0 {
			percent = int(min(99, 100*a.worked.Milliseconds()/a.step.Millis))
		}
		running = append(running, []any{a.task, a.run, a.saved, percent, a.step.Figure})
	}
	for _, e := range r.ended[:min(len(r.ended), maxListedEnds)] {
		ended = append(ended, []any{e.sequence, e.task, e.run, e.how, e.saved})
	}
	return http.StatusOK, map[string]any{"Running": running, "Ended": ended}
}

// expire kills everything once the lease is over.
func (r *runner) expire(now time.Time) {
	if !r.leased || r.clock(now) <= r.until {
		return
	}
	r.leased = false
	r.lapses++
	if len(r.active) > 0 {
		r.w.record.add("runner %s: the lease has expired with %d runs", r.id, len(r.active))
	}
	for _, a := range r.active {
		r.end(a, "lapsed")
	}
}

// end lists the end of a run. mu is held.
func (r *runner) end(a *activeRun, how string) {
	delete(r.active, a.task)
	r.sequence++
	if how == "stopped" {
		r.w.save(a)
	}
	r.ended = append(r.ended, endedRun{r.sequence, a.task, a.run, how, a.saved})
	r.w.ended(r, a.task, a.run, how, true)
	close(r.changed)
	r.changed = make(chan struct{})
}

// tick advances what runs on the runner, but for gangs.
func (r *runner) tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return
	}
	r.expire(now)
	for _, a := range r.active {
		if !a.stopAt.IsZero() && !now.Before(a.stopAt) {
			r.end(a, "stopped")
			continue
		}
		if a.step.Gang > 0 {
			continue
		}
		a.worked += now.Sub(a.lastAt) * time.Duration(a.percent) / 100
		a.lastAt = now
		if a.worked-a.savedAt >= saveInterval {
			r.w.save(a)
		}
		if a.step.Millis > 0 && a.stopAt.IsZero() && a.worked.Milliseconds() >= a.step.Millis {
			how := "done"
			if a.step.Fails {
				how = "failed"
			}
			r.end(a, how)
		}
	}
}
