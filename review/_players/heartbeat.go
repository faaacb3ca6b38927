package main

import (
	"fmt"
	"net/http"
	"time"
)

const finishTime = 14 * time.Second

// smallJob is a job of one step of two short tasks.
func smallJob(n int) *job {
	return &job{
		id:    fmt.Sprintf("%016x", 0x5c0e7a2100000000+uint64(n)),
		Spec:  fmt.Sprintf("list %d", n),
		Steps: []step{{Count: 2, Cpu: 500, MemMb: 256, EstimateMs: 600, work: 600 * time.Millisecond}},
	}
}

func smallShape(runners int) shape {
	sh := shape{entries: 3}
	for i := 0; i < runners; i++ {
		sh.runners = append(sh.runners, shapeRunner{cpu: 32000, mem: 128000, labels: []string{"a", fmt.Sprintf("r1-%d", i/3+1)}})
	}
	return sh
}

// heartbeat sends each agent one heartbeat that another writer made: it names the runner
// and its start, lacks Version, Slots, ColdLeftMs and ClockMs, and has a count of its own.
func heartbeat(c *scene) error {
	s, err := newSystem(c.w, c.binary, smallShape(4))
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	first := smallJob(0)
	s.submit(0, first)
	time.Sleep(3 * time.Second)
	if state := s.state(first); state != "completed" {
		return fmt.Errorf("before the disruption, the first job is %s", state)
	}
	if c.trouble {
		for _, r := range c.w.runners {
			c.w.mu.Lock()
			body := r.heartbeat()
			c.w.mu.Unlock()
			for _, field := range []string{"Version", "Slots", "ColdLeftMs", "ClockMs"} {
				delete(body, field)
			}
			body["Seq"] = time.Now().UnixMilli()
			status := s.w.putHeartbeat(r.registry, r.id, body)
			c.w.mu.Lock()
			c.w.note("TROUBLE heartbeat of another writer", "runner", r.id, "body", body, "status", status)
			c.w.mu.Unlock()
		}
	}
	time.Sleep(5 * time.Second)
	var jobs []*job
	for n := 1; n <= 6; n++ {
		j := smallJob(n)
		jobs = append(jobs, j)
		s.submit(n%3, j)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(finishTime)
	s.checkIdle(jobs, 3*time.Second)
	return nil
}

// checkIdle breaks LOST for each job that was accepted, is not over and has nothing running
// for a time, while the runners are idle. The jobs' tasks are small.
func (s *system) checkIdle(jobs []*job, span time.Duration) {
	ran := map[string]bool{}
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.w.mu.Lock()
		for _, r := range s.w.runners {
			for _, a := range r.active {
				ran[a.key.id] = true
			}
		}
		s.w.mu.Unlock()
	}
	for _, j := range jobs {
		status, out := s.request(0, http.MethodGet, j.id, nil, 3*time.Second)
		s.w.mu.Lock()
		s.w.note("GET", "id", j.id, "status", status, "body", out)
		state, _ := out["State"].(string)
		over := state == "completed" || state == "failed" || state == "cancelled"
		if !j.accepted.IsZero() && !over && !ran[j.id] {
			s.w.breakRule("LOST", fmt.Sprintf("%s was accepted, is %q (%d) and has had nothing running for %v", j.id, state, status, span))
		}
		s.w.mu.Unlock()
	}
}
