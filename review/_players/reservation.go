package main

import (
	"fmt"
	"time"
)

func namedJob(n int, spec string, steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", 0x5c0e7a2200000000+uint64(n)), Spec: spec, Steps: steps}
}

// reservation lets a job that lasts arrive after a large gang that waits for room. Two fifths
// of each runner are in use.
func reservation(c *scene) error {
	const runners = 5
	s, err := newSystem(c.w, c.binary, smallShape(runners))
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return err
	}
	s.submit(0, namedJob(1, "survey", step{Count: runners, Cpu: 12800, MemMb: 8000, EstimateMs: 30000, AntiAffinity: 1, work: 30 * time.Second}))
	time.Sleep(time.Second)
	if c.trouble {
		s.submit(1, namedJob(2, "large", step{Count: runners, Gang: true, Cpu: 31000, MemMb: 8000, EstimateMs: 5000, work: 5 * time.Second}))
		time.Sleep(time.Second)
	}
	lasting := namedJob(3, "feed", step{Count: 2, Cpu: 2000, MemMb: 1000, EstimateMs: 500, LongRunning: true, MayMiss: 1})
	s.submit(2, lasting)
	time.Sleep(finishTime)
	s.checkIdle([]*job{lasting}, 3*time.Second)
	return nil
}
