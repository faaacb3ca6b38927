package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

// owner returns the entry that acquired the cell last, by the logs.
func (s *system) owner() *process {
	var best *process
	latest := ""
	for _, p := range s.entries {
		data, _ := os.ReadFile(p.logs)
		for _, line := range bytes.Split(data, []byte("\n")) {
			if !bytes.Contains(line, []byte(`"cell acquired"`)) {
				continue
			}
			_, rest, _ := bytes.Cut(line, []byte(`"@timestamp":"`))
			if at := string(rest[:min(len(rest), 27)]); at > latest {
				latest, best = at, p
			}
		}
	}
	return best
}

// restarted loses a runner some time after it is back under its id, together with the owner
// if OWNER is set. Its task lasts, and another runner has room for it. LOST_AFTER is that
// time in milliseconds, and MAX_HOLD_MS the longest lease.
func restarted(c *scene) error {
	if millis, err := strconv.Atoi(os.Getenv("MAX_HOLD_MS")); err == nil {
		maxLease = time.Duration(millis) * time.Millisecond
	}
	sh := smallShape(4)
	sh.runners[0].labels[0], sh.runners[1].labels[0] = "b", "b"
	s, err := newSystem(c.w, c.binary, sh)
	if err != nil {
		return err
	}
	defer s.stop()
	spare := c.w.runners[1]
	c.w.runners[1] = c.w.runners[3]
	c.w.runners = c.w.runners[:3]
	if err := s.start(); err != nil {
		return err
	}
	lasting := namedJob(1, "feed", step{Count: 1, Cpu: 2000, MemMb: 1000, EstimateMs: 500, LongRunning: true, Requires: "b"})
	s.submit(0, lasting)
	time.Sleep(2 * time.Second)
	c.w.mu.Lock()
	old := c.w.runners[0]
	old.crash()
	c.w.mu.Unlock()
	time.Sleep(300 * time.Millisecond)
	again := &runner{w: c.w, id: old.id, addr: old.addr, registry: old.registry, zone: old.zone, labels: old.labels, cpu: old.cpu, mem: old.mem}
	c.w.mu.Lock()
	c.w.runners[0] = again
	for try := 0; again.power() != nil && try < 50; try++ {
		time.Sleep(20 * time.Millisecond)
	}
	c.w.mu.Unlock()
	for end := time.Now().Add(15 * time.Second); len(again.tasks()) == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the task isn't started on the restarted runner")
		}
	}
	c.w.mu.Lock()
	c.w.runners = append(c.w.runners, spare)
	if err := spare.power(); err != nil {
		return err
	}
	c.w.mu.Unlock()
	after, err := strconv.Atoi(os.Getenv("LOST_AFTER"))
	if err != nil {
		after = 2600
	}
	time.Sleep(time.Duration(after) * time.Millisecond)
	owner := s.owner()
	lostAt := time.Now()
	if c.trouble {
		c.w.mu.Lock()
		again.crash()
		if os.Getenv("OWNER") != "" {
			c.w.note("TROUBLE owner killed", "process", owner.name)
			owner.signal(syscall.SIGKILL)
		}
		c.w.mu.Unlock()
		if os.Getenv("OWNER") != "" {
			owner.end()
			time.Sleep(500 * time.Millisecond)
			owner.start()
		}
	}
	for time.Since(lostAt) < 30*time.Second {
		c.w.mu.Lock()
		back := len(spare.active) > 0 || again.up
		c.w.mu.Unlock()
		if back {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	down := time.Since(lostAt)
	c.w.note("down", "for", down)
	fmt.Println("down for", down.Round(10*time.Millisecond))
	if c.trouble && down > 9*time.Second {
		c.w.breakRule("LOST", fmt.Sprintf("a task that lasts doesn't run for %v, with room for it", down))
	}
	return nil
}

func (r *runner) tasks() []string {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	var list []string
	for t := range r.active {
		list = append(list, t)
	}
	return list
}
