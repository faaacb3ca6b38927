package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat    = 1100 * time.Millisecond
	stopDuration = 50 * time.Millisecond
	advanceEvery = 5 * time.Millisecond
	checkpointS  = 2
)

// behaviour is what a task does once it has started.
type behaviour struct {
	// runtime is how long it works until it ends, for ever if it is zero; how is
	// the way in which it ends.
	runtime time.Duration
	how     string
	// crashAfter is how long after its start it ends its runner, if not zero.
	crashAfter time.Duration
	// tail is its tail latency in milliseconds if it serves.
	tail int
}

// activeRun is a run in progress.
type activeRun struct {
	task    string
	run     int
	started time.Time
	do      behaviour
	stopAt  time.Time
	cpu     int
	// pace is the share of its speed at which it works, worked what it has worked.
	pace   int
	worked time.Duration
	seenAt time.Time
}

type endedRun struct {
	n    int
	task string
	run  int
	how  string
}

// runner is a stand-in for a worker on the instance of one agent. It starts
// whatever it is told to start, and keeps the lease, the fence and the numbers of
// runs as the pages say.
type runner struct {
	rec      *record
	name     string
	addr     string
	registry string
	service  string
	labels   []string
	behave   func(task string, run int) behaviour
	cpuOf    func(task string) int
	// onStart and onEnd are told of each run that begins or ends.
	onStart func(r *runner, task string, run int)
	onEnd   func(r *runner, task string, run int, how string)
	// onCrash is told that the runner has crashed under a task.
	onCrash func(r *runner, task string)

	mu       sync.Mutex
	id       string
	born     int64
	started  time.Time
	up       bool
	state    string
	seq      int
	fence    uint64
	leaseMs  int64
	runs     map[string]*activeRun
	highest  map[string]int
	ended    []endedRun
	lastEnd  int
	changed  chan struct{}
	server   *http.Server
	cancel   context.CancelFunc
	capacity int
	// maxHoldMs is the longest lease that it grants, in milliseconds.
	maxHoldMs int64
	// mute makes it leave all calls without an answer and without effect.
	mute   bool
	memory int
}

// start begins a new life of the runner.
func (r *runner) start(id string) error {
	listener, err := net.Listen("tcp", r.addr)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.id = id
	r.started = time.Now()
	r.born = r.started.UnixMilli()
	r.up = true
	r.state = "ready"
	r.seq = 0
	r.fence = 0
	r.leaseMs = 0
	r.runs = map[string]*activeRun{}
	r.highest = map[string]int{}
	r.ended = nil
	r.lastEnd = 0
	r.changed = make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", r.handleStart)
	mux.HandleFunc("POST /run-stop", r.handleStop)
	mux.HandleFunc("POST /hold", r.handleHold)
	mux.HandleFunc("POST /pace", r.handlePace)
	r.server = &http.Server{Handler: mux}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	server := r.server
	r.mu.Unlock()
	r.rec.add("runner %s is up, id %s, born %d", r.name, id, r.born)
	go func() { _ = server.Serve(listener) }()
	go r.beat(ctx)
	go r.advanceLoop(ctx)
	return nil
}

// crash ends the runner with everything on it, without notice.
func (r *runner) crash(why string) {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	runs := r.runs
	r.runs = map[string]*activeRun{}
	r.cancel()
	server := r.server
	r.mu.Unlock()
	_ = server.Close()
	r.rec.add("runner %s crashes (%s) with %d runs", r.name, why, len(runs))
	for _, a := range runs {
		r.onEnd(r, a.task, a.run, "crashed")
	}
}

func (r *runner) clock(now time.Time) int64 { return now.Sub(r.started).Milliseconds() + 1 }

func (r *runner) advanceLoop(ctx context.Context) {
	t := time.NewTicker(advanceEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			if task := r.advance(time.Now()); task != "" {
				r.crash("task " + task)
				r.onCrash(r, task)
				return
			}
		}
	}
}

// advance ends the runs that are over, and returns a task that ends the runner.
func (r *runner) advance(now time.Time) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return ""
	}
	expired := r.clock(now) > r.leaseMs
	for _, a := range r.runs {
		a.worked += now.Sub(a.seenAt) * time.Duration(a.pace) / 100
		a.seenAt = now
		switch {
		case expired:
			r.end(a, "lapsed")
		case a.do.crashAfter > 0 && now.Sub(a.started) >= a.do.crashAfter:
			return a.task
		case a.do.runtime > 0 && a.worked >= a.do.runtime && a.stopAt.IsZero():
			r.end(a, a.do.how)
		case !a.stopAt.IsZero() && !now.Before(a.stopAt):
			r.end(a, "stopped")
		}
	}
	return ""
}

func (r *runner) end(a *activeRun, how string) {
	delete(r.runs, a.task)
	r.lastEnd++
	r.ended = append(r.ended, endedRun{n: r.lastEnd, task: a.task, run: a.run, how: how})
	close(r.changed)
	r.changed = make(chan struct{})
	r.rec.add("runner %s: run %s/%d ends %s", r.name, a.task, a.run, how)
	r.onEnd(r, a.task, a.run, how)
}

// call is the body of a call to a runner.
type call struct {
	Task      string
	Run       int
	Spec      string
	UntilMs   int64
	Fence     uint64
	AckCursor int
	WaitMs    int
	Percent   int
}

// admit decodes a call and checks for whom it is and its fence. It must be called
// with mu held.
func (r *runner) admit(w http.ResponseWriter, q *http.Request, c *call) bool {
	now := time.Now()
	if id := q.Header.Get("X-Bilberrywalk-Expected-Instance"); id != "" && id != r.id {
		writeJSON(w, 421, struct{}{})
		return false
	}
	if c.Fence < r.fence {
		writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": r.clock(now), "born": r.born, "Reason": "fence"})
		return false
	}
	r.fence = c.Fence
	r.leaseMs = max(r.leaseMs, min(c.UntilMs, r.clock(now)+r.maxHoldMs))
	return true
}

func (r *runner) setMute(mute bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mute = mute
}

func (r *runner) isMute() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mute
}

func (r *runner) decodeCall(w http.ResponseWriter, q *http.Request) (call, bool) {
	var c call
	if r.isMute() {
		<-q.Context().Done()
		return c, false
	}
	if json.NewDecoder(q.Body).Decode(&c) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return c, false
	}
	return c, true
}

func (r *runner) handleStart(w http.ResponseWriter, q *http.Request) {
	c, ok := r.decodeCall(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(w, q, &c) {
		return
	}
	now := time.Now()
	answer := map[string]any{"ClockMs": r.clock(now), "born": r.born}
	status := http.StatusOK
	a := r.runs[c.Task]
	switch {
	case a != nil && a.run == c.Run:
	case c.Run <= r.highest[c.Task]:
		status = http.StatusConflict
		answer["Reason"] = "old"
	case r.leaseMs <= r.clock(now):
		status = http.StatusConflict
		answer["Reason"] = "late"
	default:
		r.highest[c.Task] = c.Run
		r.runs[c.Task] = &activeRun{task: c.Task, run: c.Run, started: now, do: r.behave(c.Task, c.Run), cpu: r.cpuOf(c.Task), pace: 100, seenAt: now}
		r.rec.add("runner %s: run %s/%d starts, fence %d", r.name, c.Task, c.Run, c.Fence)
		r.onStart(r, c.Task, c.Run)
	}
	writeJSON(w, status, answer)
}

func (r *runner) handleStop(w http.ResponseWriter, q *http.Request) {
	c, ok := r.decodeCall(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.UntilMs = 0
	if !r.admit(w, q, &c) {
		return
	}
	now := time.Now()
	r.highest[c.Task] = max(r.highest[c.Task], c.Run)
	if a := r.runs[c.Task]; a != nil && a.run <= c.Run && a.stopAt.IsZero() {
		a.stopAt = now.Add(stopDuration)
	}
	r.rec.add("runner %s: stop of %s/%d", r.name, c.Task, c.Run)
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock(now), "born": r.born})
}

func (r *runner) handlePace(w http.ResponseWriter, q *http.Request) {
	c, ok := r.decodeCall(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c.UntilMs = 0
	if !r.admit(w, q, &c) {
		return
	}
	if a := r.runs[c.Task]; a != nil && a.run == c.Run {
		a.pace = c.Percent
	}
	r.rec.add("runner %s: pace of %s/%d is %d", r.name, c.Task, c.Run, c.Percent)
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock(time.Now()), "born": r.born})
}

func (r *runner) handleHold(w http.ResponseWriter, q *http.Request) {
	c, ok := r.decodeCall(w, q)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.admit(w, q, &c) {
		return
	}
	for len(r.ended) > 0 && r.ended[0].n <= c.AckCursor {
		r.rec.add("runner %s: end %d of %s/%d is taken note of", r.name, r.ended[0].n, r.ended[0].task, r.ended[0].run)
		r.ended = r.ended[1:]
	}
	if len(r.ended) == 0 && c.WaitMs > 0 {
		changed := r.changed
		timer := time.NewTimer(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
		defer timer.Stop()
		r.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
		case <-q.Context().Done():
		}
		r.mu.Lock()
	}
	if !r.up {
		return
	}
	now := time.Now()
	running := [][]any{}
	for _, a := range r.runs {
		percent := 100
		saved := ""
		if a.do.runtime > 0 {
			percent = int(min(99, 100*a.worked/a.do.runtime))
		}
		if n := int(a.worked.Seconds()) / checkpointS; n > 0 {
			saved = fmt.Sprintf("%016x", n)
		}
		figure := a.cpu * a.pace / 100
		if a.do.tail > 0 {
			figure = a.do.tail
		}
		running = append(running, []any{a.task, a.run, saved, percent, figure})
	}
	ended := [][]any{}
	for _, e := range r.ended {
		if len(ended) == 500 {
			break
		}
		ended = append(ended, []any{e.n, e.task, e.run, e.how, ""})
	}
	writeJSON(w, http.StatusOK, map[string]any{"ClockMs": r.clock(now), "born": r.born, "Running": running, "Ended": ended})
}

// beat sends heartbeats to the agent.
func (r *runner) beat(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		r.seq++
		body := r.heartbeatBody()
		id := r.id
		r.mu.Unlock()
		// An agent that is not up yet gets a later one.
		_ = r.sendHeartbeat(ctx, id, body)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

func (r *runner) heartbeatBody() map[string]any {
	return map[string]any{
		"Service": r.service, "Addr": r.addr, "Zone": "north", "Version": "v1", "Slots": 8, "State": r.state, "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": r.capacity, "MemMb": r.memory, "Gpu": 0}, "Labels": r.labels,
		"ClockMs": r.clock(time.Now()), "Seq": r.seq, "born": r.born,
	}
}

func (r *runner) sendHeartbeat(ctx context.Context, id string, body map[string]any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.registry+"/instances/"+id, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// running returns how many runs of a job are at work on the runner, and how many
// thousandths of a processor all runs there use.
func (r *runner) running(job string) (runs, millis int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.runs {
		millis += a.cpu
		if strings.HasPrefix(a.task, job+".") {
			runs++
		}
	}
	return runs, millis
}
