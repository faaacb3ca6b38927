package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// process is a process of the system.
type process struct {
	name     string
	role     string
	settings string
	binary   string
	logs     string
	// env is added to the environment of the process.
	env  []string
	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	// turn is held while the process is restarted.
	turn sync.Mutex
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logs, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "fleet", p.role)
	cmd.Env = append(append(os.Environ(), "BILBERRYWALK_CONFIG="+p.settings), p.env...)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		cmd.Wait()
		log.Close()
		close(done)
	}()
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// end waits for the process to end.
func (p *process) end() {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	if done != nil {
		<-done
	}
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	p.mu.Lock()
	done := p.done
	p.mu.Unlock()
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// system is a small deployment: entries, and an agent beside each runner.
type system struct {
	w        *world
	dir      string
	binary   string
	entries  []*process
	callers  []string
	ready    []string
	agents   []*process
	doors    []*door
	registry []string
	client   *http.Client
}

// nextPort counts the ports in use on host, a loopback address of this process alone: no
// outgoing connection takes one of them.
var (
	host     = fmt.Sprintf("127.%d.%d.1", 64+os.Getpid()/250%128, 1+os.Getpid()%250)
	nextPort = 7100
)

func freeAddress() string {
	for {
		nextPort++
		address := fmt.Sprintf("%s:%d", host, nextPort)
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			return address
		}
		if nextPort > 9000 {
			return address
		}
	}
}

var zones = []string{"quito-norte", "quito-sur", "cumbaya"}

type shape struct {
	entries int
	runners []shapeRunner
}

type shapeRunner struct {
	cpu, mem int64
	labels   []string
}

func newSystem(w *world, binary string, sh shape) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{w: w, dir: dir, binary: binary, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	s.stopOnSignal()
	w.store.put("op", "config", s.config(1))
	for i := 0; i < sh.entries; i++ {
		name := fmt.Sprintf("front-%d", i+1)
		callers, ready := freeAddress(), freeAddress()
		s.callers, s.ready = append(s.callers, callers), append(s.ready, ready)
		p, err := s.process(name, "entry", zones[i%3], map[string]any{
			"callers": callers, "readiness": ready, "processors": 0.4, "max-reservations": 4, "drain-within": "0ms", "cold-runs": 0,
		})
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, p)
	}
	for i, sr := range sh.runners {
		registry, addr := freeAddress(), freeAddress()
		p, err := s.process(fmt.Sprintf("side-%d", i+1), "agent", zones[i%3], map[string]any{"registry": registry, "runner": addr})
		if err != nil {
			return nil, err
		}
		s.agents = append(s.agents, p)
		s.registry = append(s.registry, registry)
		r := &runner{
			w: w, id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), addr: addr, registry: registry, zone: zones[i%3],
			labels: sr.labels, cpu: sr.cpu, mem: sr.mem,
		}
		w.runners = append(w.runners, r)
	}
	return s, nil
}

// config is a configuration with one queue.
func (s *system) config(version int) []byte {
	data, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "checks", "Host": queueHost, "Prefix": queuePrefix, "Service": serviceName,
			"Priority": 0, "MaxAttempts": maxAttempts, "Stretch": 1.5, "TargetLatencyMs": 250,
		}},
		"Services": []any{map[string]any{"Name": serviceName, "EnforcesCapacity": false}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144, "MaxHeaderBytes": 16384, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 30000},
	})
	return data
}

func (s *system) process(name, role, zone string, more map[string]any) (*process, error) {
	d := &door{store: s.w.store}
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		return nil, err
	}
	go http.Serve(l, d)
	s.doors = append(s.doors, d)
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nfailure-domain = %q\nlink = %q\nstore = %q\nlongest-lease = \"%dms\"\ngrace = \"6s\"\n", name, zone, freeAddress(), l.Addr(), maxLease.Milliseconds())
	for k, v := range more {
		if text, ok := v.(string); ok {
			fmt.Fprintf(&b, "%s = %q\n", k, text)
		} else {
			fmt.Fprintf(&b, "%s = %v\n", k, v)
		}
	}
	path := filepath.Join(s.dir, name+".toml")
	if err := os.WriteFile(path, []byte(b.String()), 0o644); err != nil {
		return nil, err
	}
	return &process{name: name, role: role, settings: path, binary: s.binary, logs: filepath.Join(s.dir, name+".log")}, nil
}

func (s *system) doorOf(p *process) *door {
	for i, q := range append(append([]*process{}, s.entries...), s.agents...) {
		if p == q {
			return s.doors[i]
		}
	}
	return nil
}

// start starts all processes and runners and waits until a job is accepted.
func (s *system) start() error {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	s.w.mu.Lock()
	for _, r := range s.w.runners {
		if err := r.power(); err != nil {
			s.w.mu.Unlock()
			return err
		}
	}
	s.w.mu.Unlock()
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, a := range s.ready {
			if resp, err := s.client.Get("http://" + a + "/ready"); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(s.ready) {
			time.Sleep(2 * time.Second)
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entries are ready", ready, len(s.ready))
		}
	}
}

// stopOnSignal ends all processes if this one is told to end.
func (s *system) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.stop()
		os.Exit(exitUnrun)
	}()
}

// stop ends all processes.
func (s *system) stop() {
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
	}
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.end()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

// request sends a request of a client to an entry; status 0 means no answer.
func (s *system) request(entry int, method, id string, body any, timeout time.Duration) (int, map[string]any) {
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.callers[entry]+queuePrefix+id, bytes.NewReader(data))
	if err != nil {
		return 0, nil
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Bilberrywalk-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	var out map[string]any
	json.NewDecoder(resp.Body).Decode(&out)
	return resp.StatusCode, out
}

// submit hands a job in, at other entries again while there is no answer.
func (s *system) submit(entry int, j *job) {
	s.w.mu.Lock()
	s.w.jobs[j.id] = j
	s.w.mu.Unlock()
	for try := 0; try < 5; try++ {
		at := (entry + try) % len(s.callers)
		status, _ := s.request(at, http.MethodPost, j.id, j, 3*time.Second)
		s.w.mu.Lock()
		s.w.note("POST", "id", j.id, "entry", at+1, "status", status)
		switch {
		case status/100 == 2:
			j.accepted = time.Now()
			s.w.mu.Unlock()
			return
		case status == 429 || status == 503:
			j.rejectedBy++
		default:
			j.unknown++
		}
		s.w.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
}

func (s *system) cancel(entry int, j *job) {
	s.w.mu.Lock()
	j.cancelSent = time.Now()
	s.w.mu.Unlock()
	for try := 0; try < 5; try++ {
		at := (entry + try) % len(s.callers)
		status, _ := s.request(at, http.MethodDelete, j.id, nil, 3*time.Second)
		s.w.mu.Lock()
		s.w.note("DELETE", "id", j.id, "entry", at+1, "status", status)
		if status/100 == 2 || status == 410 {
			j.cancelAck = time.Now()
			s.w.mu.Unlock()
			return
		}
		s.w.mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	}
}

// state asks for a job's state.
func (s *system) state(j *job) string {
	for try := 0; try < 2*len(s.callers); try++ {
		status, out := s.request(try%len(s.callers), http.MethodGet, j.id, nil, 3*time.Second)
		if status == http.StatusOK {
			state, _ := out["State"].(string)
			return state
		}
		if status == http.StatusGone {
			return "gone"
		}
	}
	return "unanswered"
}
