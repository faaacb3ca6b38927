package main

import (
	"syscall"
	"time"
)

const (
	// savedBytes is the size of a runner's Saved, and savedTasks how many tasks have one.
	savedBytes = 64
	savedTasks = 640
	// outageTime is how long all entries are down; the site file has it.
	outageTime = 9500 * time.Millisecond
)

// saved kills all entries at once while a wide job runs whose tasks save their progress. They
// are down for longer than a lease lasts.
func saved(c *scene) error {
	c.w.savedBytes = savedBytes
	s, err := newSystem(c.w, c.binary, smallShape(8))
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	j := namedJob(1, "weighting", step{Count: savedTasks, Cpu: 390, MemMb: 100, EstimateMs: 20000, Checkpoints: true, work: 20 * time.Second})
	s.submit(0, j)
	time.Sleep(3 * time.Second)
	if c.trouble {
		c.w.mu.Lock()
		c.w.note("TROUBLE all entries killed", "for", outageTime)
		c.w.mu.Unlock()
		for _, p := range s.entries {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(outageTime)
		for _, p := range s.entries {
			if err := p.start(); err != nil {
				return err
			}
		}
	} else {
		time.Sleep(outageTime)
	}
	time.Sleep(finishTime)
	s.checkIdle([]*job{j}, 3*time.Second)
	return nil
}
