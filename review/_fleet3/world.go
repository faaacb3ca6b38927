package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// recorder writes what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	return &recorder{file: file, start: time.Now()}, err
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// process is a process of the system.
type process struct {
	w        *world
	name     string
	words    []string
	settings string

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.words[0], p.words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "LANG=C.UTF-8", "HOME=" + p.w.dir, "BILBERRYWALK_CONFIG=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd = cmd
	p.w.record.add("process %s started, pid %d", p.name, cmd.Process.Pid)
	go p.wait(cmd)
	return nil
}

// wait restarts the process after its end, as the platform does.
func (p *process) wait(cmd *exec.Cmd) {
	err := cmd.Wait()
	p.mu.Lock()
	p.cmd = nil
	over := p.stopped
	p.mu.Unlock()
	p.w.record.add("process %s ended: %v", p.name, err)
	if over {
		return
	}
	time.Sleep(500 * time.Millisecond)
	_ = p.start()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.w.record.add("process %s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) stop() {
	p.mu.Lock()
	p.stopped = true
	cmd := p.cmd
	p.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill()
	}
}

type runKey struct {
	task string
	run  int
}

type runRecord struct {
	runner  *runner
	born    time.Time
	began   time.Time
	ended   time.Time
	how     string
	lapses  int
	ackedAt time.Time
	gang    string
}

// world is the platform around the system's processes.
type world struct {
	dir     string
	ip      string
	port    int
	service string
	record  *recorder
	store   *store
	entries []*process
	callers []string
	ready   []string
	agents  []*process
	runners []*runner
	client  *http.Client

	mu     sync.Mutex
	fatal  string
	faults []string
	runs   map[string][]*runRecord
	byKey  map[runKey]*runRecord
	alones int
	starts int
	// saved maps each saved value to the task or gang whose it is.
	saved map[string]string
	saves int
	// savedBytes is the length of saved values.
	savedBytes int
	gangSaved  map[string]string
	gangDone   map[string]bool
	// cancelled is when the cancelling of a job was acknowledged.
	cancelled map[string]time.Time
}

// cancelTime is how long tasks of a job may start after the acknowledgement of its cancelling.
const cancelTime = 3 * time.Second

func newWorld(recordPath string) (*world, error) {
	dir, err := os.MkdirTemp("", "fleet3")
	if err != nil {
		return nil, err
	}
	record, err := newRecorder(recordPath)
	if err != nil {
		return nil, err
	}
	w := &world{
		dir: dir, ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)), service: "polls", record: record,
		runs: map[string][]*runRecord{}, byKey: map[runKey]*runRecord{},
		savedBytes: 16,
		saved:      map[string]string{}, gangSaved: map[string]string{}, gangDone: map[string]bool{},
		cancelled: map[string]time.Time{},
		client:    &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 50, IdleConnTimeout: 20 * time.Second}},
	}
	w.store = newStore(record)
	return w, nil
}

func (w *world) broken(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fatal == "" {
		w.fatal = why
	}
}

func (w *world) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.record.add("BROKEN %s", text)
	w.faults = append(w.faults, text)
}

// address returns a free address. Ports are below those of outgoing connections.
func (w *world) address() string {
	for {
		w.port++
		address := net.JoinHostPort(w.ip, strconv.Itoa(20000+w.port))
		if listener, err := net.Listen("tcp", address); err == nil {
			listener.Close()
			return address
		}
	}
}

// serveStore opens a way to the store for one process, which trouble may hinder.
func (w *world) serveStore(trouble func(http.Handler) http.Handler) string {
	address := w.address()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		w.broken(err.Error())
		return address
	}
	h := w.store.handler()
	if trouble != nil {
		h = trouble(h)
	}
	go (&http.Server{Handler: h, ReadHeaderTimeout: time.Minute}).Serve(listener)
	return address
}

// configure writes the configuration as the operator does.
func (w *world) configure(routes ...map[string]any) {
	value, _ := json.Marshal(map[string]any{
		"Version": 1, "Routes": routes,
		"Services": []map[string]any{{"Name": w.service, "EnforcesCapacity": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	w.store.put(storeRow{Table: operatorTable, Key: "config", Value: value})
}

func (w *world) route(name string) map[string]any {
	return map[string]any{
		"Name": name, "Host": name + ".example", "Prefix": "/" + name + "/", "TargetLatencyMs": 250, "Priority": 0,
		"Service": w.service, "MaxAttempts": 3, "Stretch": 2.0,
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeSettings fills in the template of the deploy file.
func (w *world) writeSettings(role, name, zone, link, storeAddress string, more map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join("deploy", role+".toml.tmpl"))
	if err != nil {
		return "", err
	}
	host, port, _ := net.SplitHostPort(link)
	values := map[string]string{
		"Node": name, "Zone": zone, "Ip": host, "InternalPorts.0": port, "platform.Addr": storeAddress,
		"Bounds.MaxHoldMs": "6000", "Bounds.GraceS": "6", "Limits.CpuShare": "0.4",
	}
	for key, value := range more {
		values[key] = value
	}
	lines := strings.ReplaceAll(string(text), "{{^Bounds.ColdTolerance}}0{{/Bounds.ColdTolerance}}", "0")
	filled := placeholder.ReplaceAllStringFunc(lines, func(m string) string { return values[strings.Trim(m, "{}")] })
	path := filepath.Join(w.dir, name+".toml")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

var zones = []string{"quito-norte", "quito-sur", "cumbaya"}

const binary = "target/bilberrywalk"

func (w *world) addEntry(trouble func(http.Handler) http.Handler) {
	i := len(w.entries)
	callers, ready, link := w.address(), w.address(), w.address()
	name := fmt.Sprintf("front-%d", i+1)
	settings, err := w.writeSettings("entry", name, zones[i%len(zones)], link, w.serveStore(trouble),
		map[string]string{"Listen.Front": callers, "Listen.Readiness": ready})
	p := &process{w: w, name: name, words: []string{binary, "fleet", "entry"}, settings: settings}
	if err == nil {
		err = p.start()
	}
	if err != nil {
		w.broken(err.Error())
	}
	w.entries, w.callers, w.ready = append(w.entries, p), append(w.callers, callers), append(w.ready, ready)
}

func (w *world) addRunner(capacity int64, labels []string) {
	i := len(w.agents)
	link, registry, listen := w.address(), w.address(), w.address()
	name := fmt.Sprintf("side-%d", i+1)
	settings, err := w.writeSettings("agent", name, zones[i%len(zones)], link, w.serveStore(nil),
		map[string]string{"Listen.Control": registry, "app": listen})
	p := &process{w: w, name: name, words: []string{binary, "fleet", "agent"}, settings: settings}
	r := &runner{w: w, id: fmt.Sprintf("i-7f3a91%02x", i+1), zone: zones[i%len(zones)], labels: labels, listen: listen, registry: registry,
		capacity: capacity, maxHold: 6000, slow: int64(i % 3)}
	if err == nil {
		err = p.start()
	}
	if err != nil {
		w.broken(err.Error())
	}
	r.start()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.agents, w.runners = append(w.agents, p), append(append([]*runner{}, w.runners...), r)
}

func (w *world) addEntries() {
	for range zones {
		w.addEntry(nil)
	}
}

func (w *world) addRunners(n int, millis int64) {
	for range n {
		w.addRunner(millis, []string{"a", "r1-1"})
	}
}

// startTime is how long the system has before the first request.
const startTime = 3 * time.Second

// begin lets the world run, and reports whether the system is ready for traffic.
func (w *world) begin() bool {
	w.run()
	if !w.waitReady(10 * time.Second) {
		w.broken("no entry is ready")
		return false
	}
	time.Sleep(startTime)
	return true
}

// run advances the runners.
func (w *world) run() {
	go func() {
		for ; ; time.Sleep(tickInterval) {
			now := time.Now()
			for _, r := range w.allRunners() {
				r.tick(now)
			}
			w.tickGangs(now)
		}
	}()
}

func (w *world) allRunners() []*runner {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runners
}

type member struct {
	r *runner
	a *activeRun
}

// tickGangs advances the gangs: their members work only together.
func (w *world) tickGangs(now time.Time) {
	gangs := map[string][]member{}
	for _, r := range w.allRunners() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.up {
			continue
		}
		for _, a := range r.active {
			if a.step.Gang > 0 {
				key := fmt.Sprintf("%s %d", a.task[:strings.LastIndexByte(a.task, '.')], a.run)
				gangs[key] = append(gangs[key], member{r, a})
			}
		}
	}
	for _, members := range gangs {
		whole := len(members) == members[0].a.step.Gang
		for _, m := range members {
			started := m.a.worked > 0
			switch {
			case whole:
				m.a.worked += max(time.Microsecond, now.Sub(m.a.lastAt))
				m.a.lastAt = now
				if m.a.worked-m.a.savedAt >= saveInterval {
					w.save(m.a)
				}
			case started:
				m.r.end(m.a, "broken")
			case now.Sub(m.a.since) >= gangTimeout:
				m.r.end(m.a, "alone")
			default:
				m.a.lastAt = now
			}
		}
		if whole && members[0].a.step.Millis > 0 && members[0].a.worked.Milliseconds() >= members[0].a.step.Millis {
			for i, m := range members {
				switch {
				case !m.a.step.Fails:
					m.r.end(m.a, "done")
				case i == 0:
					m.r.end(m.a, "failed")
				default:
					m.r.end(m.a, "broken")
				}
			}
		}
	}
}

// saveKey names whose saved values a run may carry: its task's, or its gang's.
func (a *activeRun) saveKey() string {
	if a.step.Gang > 0 {
		return a.task[:strings.LastIndexByte(a.task, '.')]
	}
	return a.task
}

// save produces a new value of a task that checkpoints its progress.
func (w *world) save(a *activeRun) {
	if !a.step.Saves {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.saves++
	a.saved, a.savedAt = fmt.Sprintf("%0*x", w.savedBytes, w.saves), a.worked
	w.saved[a.saved] = a.saveKey()
}

// began checks the start of a run by the rules.
func (w *world) began(r *runner, a *activeRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	task, run := a.task, a.run
	w.starts++
	w.record.add("start %s run %d on %s saved %q", task, run, r.id, a.saved)
	if a.saved != "" && w.saved[a.saved] != a.saveKey() {
		w.fault("UNASKED: %s run %d carries a value that is not its own: %q", task, run, a.saved)
	}
	id := task[:strings.IndexByte(task, '.')]
	if at, ok := w.cancelled[id]; ok && time.Since(at) > cancelTime {
		w.fault("UNASKED: %s run %d starts %v after its job's cancelling was acknowledged", task, run, time.Since(at))
	}
	if a.step.Gang > 0 {
		key := fmt.Sprintf("%s %d", a.saveKey(), run)
		if value, ok := w.gangSaved[key]; ok && value != a.saved {
			w.fault("GANG: members of %s carry %q and %q", key, value, a.saved)
		}
		w.gangSaved[key] = a.saved
		if w.gangDone[a.saveKey()] {
			w.fault("TWICE: %s starts as run %d after an end of its gang that was taken note of", task, run)
		}
	}
	for _, other := range w.runs[task] {
		if other.ended.IsZero() {
			w.fault("TWICE: %s runs on %s and, as run %d, on %s", task, other.runner.id, run, r.id)
		}
		if other.how == "done" && !other.ackedAt.IsZero() {
			w.fault("TWICE: %s starts on %s as run %d after an end that was taken note of", task, r.id, run)
		}
	}
	x := &runRecord{runner: r, born: r.born, began: time.Now(), lapses: r.lapses}
	if a.step.Gang > 0 {
		x.gang = a.saveKey()
	}
	w.runs[task] = append(w.runs[task], x)
	w.byKey[runKey{task, run}] = x
}

func (w *world) ended(r *runner, task string, run int, how string, listed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.record.add("end %s run %d on %s: %s", task, run, r.id, how)
	if x := w.byKey[runKey{task, run}]; x != nil && x.runner == r {
		x.ended, x.how, x.lapses = time.Now(), how, r.lapses
	}
}

// acked notes that the end of a run was taken note of, unless a lease lapsed between.
func (w *world) acked(r *runner, e endedRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.byKey[runKey{e.task, e.run}]
	if x == nil || x.runner != r || e.how != "done" || r.lapses != x.lapses {
		return
	}
	x.ackedAt = time.Now()
	if x.gang != "" {
		w.gangDone[x.gang] = true
	}
	for _, other := range w.runs[e.task] {
		if other != x && other.began.After(x.ended) {
			w.fault("TWICE: the end of %s run %d is taken note of although a later run was started", e.task, e.run)
		}
	}
}

// call sends a request of a client to an entry and returns the status, 0 for none.
func (w *world) call(method, entry, queue, id string, body any) (int, string) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	q, err := http.NewRequest(method, "http://"+entry+"/"+queue+"/"+id, bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	q.Host = queue + ".example"
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Bilberrywalk-Deadline-Ms", "3000")
	resp, err := w.client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	answer, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer)
}

// readyEntry returns an entry that is ready, as the balancer chooses one.
func (w *world) readyEntry() string {
	order := rand.Perm(len(w.callers))
	for _, i := range order {
		resp, err := w.client.Get("http://" + w.ready[i] + "/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return w.callers[i]
		}
	}
	return w.callers[order[0]]
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job in like a client: again, at any entry, until it is accepted or rejected.
func (w *world) submit(queue, id string, job any) bool {
	for try := 0; try < 5; try++ {
		status, answer := w.call(http.MethodPost, w.readyEntry(), queue, id, job)
		w.record.add("POST %s: %d %s", id, status, answer)
		switch {
		case status >= 200 && status < 300:
			return true
		case status == 404 || status == 400 || status == 413:
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// cancel cancels a job like a client: again until the answer says that it is done.
func (w *world) cancel(queue, id string) bool {
	for range 20 {
		status, _ := w.call(http.MethodDelete, w.readyEntry(), queue, id, nil)
		w.record.add("DELETE %s: %d", id, status)
		if status >= 200 && status < 300 || status == http.StatusGone {
			w.mu.Lock()
			w.cancelled[id] = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

func (w *world) state(queue, id string) (int, string) {
	status, answer := w.call(http.MethodGet, w.readyEntry(), queue, id, nil)
	var body struct{ State string }
	_ = json.Unmarshal([]byte(answer), &body)
	return status, body.State
}

// waitReady waits until an entry is ready and takes jobs.
func (w *world) waitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, address := range w.ready {
			resp, err := w.client.Get("http://" + address + "/ready")
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
	}
	return false
}

// owner returns the entry that owns the cell by the logs of the processes.
func (w *world) owner() *process {
	var best *process
	newest := -1.0
	for _, p := range w.entries {
		data, err := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, "\"cell acquired\"") {
				continue
			}
			var e struct {
				Epoch float64 `json:"epoch"`
			}
			if json.Unmarshal([]byte(line), &e) == nil && e.Epoch > newest {
				newest, best = e.Epoch, p
			}
		}
	}
	return best
}

func (w *world) close() {
	for _, p := range append(append([]*process{}, w.entries...), w.agents...) {
		p.stop()
	}
	for _, r := range w.runners {
		r.crash()
	}
	time.Sleep(200 * time.Millisecond)
	os.RemoveAll(w.dir)
}

// runningTasks returns how many tasks run.
func (w *world) runningTasks() int {
	n := 0
	for _, r := range w.runners {
		r.mu.Lock()
		n += len(r.active)
		r.mu.Unlock()
	}
	return n
}

func (w *world) waitRunning(tasks int, limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if w.runningTasks() == tasks {
			return true
		}
	}
	return false
}

// idleTasks counts the tasks of the first step of a job of which nothing has run for a time.
func (w *world) idleTasks(id string, tasks int, limit time.Duration) (idle int, longest time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range tasks {
		var last time.Time
		runs := false
		for _, x := range w.runs[fmt.Sprintf("%s.0.0.%d", id, i)] {
			runs = runs || x.ended.IsZero()
			if x.ended.After(last) {
				last = x.ended
			}
		}
		if since := time.Since(last); !runs && since > limit {
			idle++
			longest = max(longest, since)
		}
	}
	return idle, longest
}

// waitsForNothing reports whether all tasks of a job's first step have ended done, for a time,
// and none of the second one has been started.
func (w *world) waitsForNothing(id string, tasks int, limit time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last time.Time
	for i := range tasks {
		ended := false
		for _, x := range w.runs[fmt.Sprintf("%s.0.0.%d", id, i)] {
			if x.how == "done" {
				ended = true
			}
			if x.ended.After(last) {
				last = x.ended
			}
		}
		if !ended {
			return false
		}
	}
	return len(w.runs[id+".0.1.0"]) == 0 && time.Since(last) > limit
}

// waitRun waits for a run of a task and returns its runner, or nil.
func (w *world) waitRun(task string, run int, limit time.Duration) *runner {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		x := w.byKey[runKey{task, run}]
		w.mu.Unlock()
		if x != nil {
			return x.runner
		}
	}
	return nil
}

// freeMillis returns what is free on the runner with the most room, if all tasks take as much
// as those of the scenario "added".
func (w *world) freeMillis() int64 {
	most := int64(0)
	for _, r := range w.runners {
		r.mu.Lock()
		most = max(most, r.capacity-int64(len(r.active))*addedCPU)
		r.mu.Unlock()
	}
	return most
}
