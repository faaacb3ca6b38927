package main

import (
	"fmt"
	"net/http"
	"time"
)

// foreign hands in a job under an id that the pages don't allow: another job's id with a
// suffix. It says what becomes of the other job.
func foreign(c *scene) error {
	s, err := newSystem(c.w, c.binary, smallShape(3))
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	lasting := namedJob(1, "feed", step{Count: 2, Cpu: 2000, MemMb: 1000, EstimateMs: 500, LongRunning: true})
	s.submit(0, lasting)
	time.Sleep(2 * time.Second)
	if c.trouble {
		other := smallJob(1)
		status, _ := s.request(1, http.MethodPost, lasting.id+"/cancel", other, 3*time.Second)
		c.w.mu.Lock()
		c.w.note("TROUBLE POST", "id", lasting.id+"/cancel", "status", status)
		c.w.mu.Unlock()
	}
	time.Sleep(3 * time.Second)
	state := s.state(lasting)
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if state != "running" {
		c.w.breakRule("LOST", fmt.Sprintf("%s is shown as %q, and nobody has cancelled it", lasting.id, state))
	}
	return nil
}
