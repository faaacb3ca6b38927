package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// record is the record of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// process is a process of the project.
type process struct {
	name     string
	role     string
	settings string
	cmd      *exec.Cmd
	done     chan struct{}
}

// system is a small deployment: the project's processes and stand-ins for all
// that is around them.
type system struct {
	rec     *record
	dir     string
	store   *store
	runners []*runner
	entries []*process
	agents  []*process
	callers []string
	address string
	servers []*http.Server

	mu   sync.Mutex
	live []liveRun
	// starts counts the starts of each task.
	starts map[string]int
	// faults are the broken rules.
	faults []string
	// endedAt is when the last run of a task ended.
	endedAt map[string]time.Time
	// maxHoldMs is the longest lease that a runner grants, in milliseconds.
	maxHoldMs int64
}

// defaultMaxHoldMs is the bound MaxHoldMs of condor-hq.
const defaultMaxHoldMs = 6000

// liveRun is a run that is at work.
type liveRun struct {
	runner string
	task   string
	run    int
}

// Addresses are taken from below the ports that the system gives to outgoing
// connections, from a random one on, so that cases can run side by side.
const (
	firstPort = 12000
	lastPort  = 32000
)

var nextPort = firstPort + rand.Intn(lastPort-firstPort)

// freeAddress returns a free loopback address, each one once.
func freeAddress() string {
	for range lastPort - firstPort {
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
	fail("no free port")
	return ""
}

// current is the system of the case that is played.
var current *system

// fail ends the case as one that could not run, and all that was started for it.
func fail(format string, args ...any) {
	fmt.Printf("could not run: "+format+"\n", args...)
	if current != nil {
		current.rec.add("could not run: "+format, args...)
		current.stop()
		os.RemoveAll(current.dir)
	}
	os.Exit(exitNotRun)
}

func newSystem(rec *record, dir string, sc scenario) *system {
	s := &system{
		rec:    rec,
		dir:    dir,
		store:  newStore(),
		starts: map[string]int{},

		endedAt: map[string]time.Time{},

		maxHoldMs: cmp.Or(sc.maxHoldMs, defaultMaxHoldMs),
	}
	current = s
	s.address = s.serve(s.store.handler())
	for i := range sc.entries {
		p := &process{name: fmt.Sprintf("front-%d", i+1), role: "entry"}
		callers := freeAddress()
		s.callers = append(s.callers, callers)
		s.writeSettings(p, map[string]string{"Listen.Front": callers, "Listen.Readiness": freeAddress()})
		s.entries = append(s.entries, p)
	}
	for i := range sc.runners {
		r := &runner{
			rec: rec, name: fmt.Sprintf("runner-%d", i+1), addr: freeAddress(), registry: freeAddress(), service: "polls",
			labels: []string{"a", "r1-1"}, behave: sc.behave, cpuOf: sc.cpuOf, maxHoldMs: s.maxHoldMs, capacity: 32000, memory: 128000,
			onStart: s.runStarted, onEnd: s.runEnded, onCrash: func(*runner, string) {},
		}
		p := &process{name: fmt.Sprintf("side-%d", i+1), role: "agent"}
		s.writeSettings(p, map[string]string{"Listen.Control": r.registry, "app": r.addr})
		s.agents = append(s.agents, p)
		s.runners = append(s.runners, r)
	}
	return s
}

func (s *system) serve(h http.Handler) string {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		fail("no free port: %v", err)
	}
	server := &http.Server{Handler: h}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// writeSettings fills in the template of a role as the deploy file has it.
func (s *system) writeSettings(p *process, more map[string]string) {
	text, err := os.ReadFile(filepath.Join("deploy", p.role+".toml.tmpl"))
	if err != nil {
		fail("%v", err)
	}
	host, port, _ := net.SplitHostPort(freeAddress())
	values := map[string]string{
		"Node": p.name, "Zone": "north", "Ip": host, "InternalPorts.0": port, "platform.Addr": s.address,
		"Bounds.MaxHoldMs": strconv.FormatInt(s.maxHoldMs, 10), "Bounds.GraceS": "6", "Limits.CpuShare": "0.4",
	}
	for k, v := range more {
		values[k] = v
	}
	filled := placeholder.ReplaceAllStringFunc(string(text), func(m string) string { return values[m[2:len(m)-2]] })
	p.settings = filepath.Join(s.dir, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(filled), 0o600); err != nil {
		fail("%v", err)
	}
}

// command returns the command of a role in the deploy file.
func command(role string) []string {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		fail("%v", err)
	}
	m := regexp.MustCompile(`(?s)\[roles\.` + role + `\].*?run = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		fail("the deploy file has no role %s", role)
	}
	return strings.Fields(string(m[1]))
}

// startProcess starts a process of the project.
func (s *system) startProcess(p *process) {
	words := command(p.role)
	p.cmd = exec.Command(words[0], words[1:]...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.dir, "LANG=C.UTF-8", "BILBERRYWALK_CONFIG=" + p.settings}
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		fail("starting %s: %v", p.name, err)
	}
	s.rec.add("%s is started, pid %d", p.name, p.cmd.Process.Pid)
	p.done = make(chan struct{})
	go func() {
		_ = p.cmd.Wait()
		log.Close()
		close(p.done)
	}()
}

// start starts the runners and the project's processes.
func (s *system) start() {
	for _, r := range s.runners {
		if err := r.start("i-" + r.name); err != nil {
			fail("%v", err)
		}
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		s.startProcess(p)
	}
}

// stop ends everything that was started.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	for _, r := range s.runners {
		r.mu.Lock()
		if r.up {
			r.up = false
			r.cancel()
			_ = r.server.Close()
		}
		r.mu.Unlock()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// configure writes the operator's configuration.
func (s *system) configure(version int, routes ...map[string]any) {
	value, err := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": []map[string]any{{"Name": "polls", "EnforcesCapacity": false}},
		"Limits": map[string]any{"MaxBodyBytes": 262144},
	})
	if err != nil {
		fail("%v", err)
	}
	s.store.put("op", "", "config", value)
	names := []string{}
	for _, r := range routes {
		names = append(names, r["Name"].(string))
	}
	s.rec.add("the operator writes version %d with the routes %v", version, names)
}

func route(name string, attempts, priority int) map[string]any {
	return map[string]any{
		"Name": name, "Host": "polls.example", "Prefix": "/" + name + "/", "Service": "polls", "TargetLatencyMs": 250,
		"Priority": priority, "MaxAttempts": attempts, "Stretch": 2.0,
	}
}

var client = &http.Client{Timeout: 3 * time.Second}

// request sends a client's request to an entry; the status is 0 without an answer.
func (s *system) request(entry int, method, path string, body any) (status int, answer map[string]any) {
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			fail("%v", err)
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(context.Background(), method, "http://"+s.callers[entry]+path, in)
	if err != nil {
		fail("%v", err)
	}
	req.Host = "polls.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Bilberrywalk-Deadline-Ms", "3000")
	resp, err := client.Do(req)
	if err != nil {
		s.rec.add("client: %s %s at %s: no answer (%v)", method, path, s.entries[entry].name, err)
		return 0, nil
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	s.rec.add("client: %s %s at %s: %d %v", method, path, s.entries[entry].name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted; after a refusal or without an
// answer it asks again, as clients do.
func (s *system) submit(queue, id string, job map[string]any) {
	for try := 0; try < 100; try++ {
		status, _ := s.request(try%len(s.callers), http.MethodPost, "/"+queue+"/"+id, job)
		if status == http.StatusOK {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	fail("job %s was not accepted", id)
}

// state returns the state of a job as a client is told it, or "" without one.
func (s *system) state(entry int, queue, id string) string {
	_, answer := s.request(entry, http.MethodGet, "/"+queue+"/"+id, nil)
	state, _ := answer["State"].(string)
	return state
}

// warmUp waits until a job of one short task on each runner was completed.
func (s *system) warmUp(queue string) {
	id := "00000000000000aa"
	s.submit(queue, id, job(step(len(s.runners), 100)))
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if s.state(0, queue, id) == "completed" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	fail("the deployment does not serve")
}

func job(steps ...map[string]any) map[string]any {
	return map[string]any{"Spec": "work", "Steps": steps}
}

func step(count, cpu int) map[string]any {
	return map[string]any{"Count": count, "Cpu": cpu, "MemMb": 64, "EstimateMs": 1000}
}

func (s *system) broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.rec.add("BROKEN: %s", text)
	s.faults = append(s.faults, text)
}

// report is like broken, for a caller that does not hold mu.
func (s *system) report(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken(format, args...)
}

// runStarted checks that a task does not run twice at the same time.
func (s *system) runStarted(r *runner, task string, run int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.live {
		if l.task == task {
			s.broken("TWICE: %s starts as run %d on %s while run %d is at work on %s", task, run, r.name, l.run, l.runner)
		}
	}
	s.live = append(s.live, liveRun{runner: r.name, task: task, run: run})
	s.starts[task]++
}

func (s *system) runEnded(r *runner, task string, run int, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, l := range s.live {
		if l.task == task && l.run == run && l.runner == r.name {
			s.live = append(s.live[:i], s.live[i+1:]...)
			break
		}
	}
	s.endedAt[task] = time.Now()
}

// startCount returns how many times a task was started.
func (s *system) startCount(task string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[task]
}
