package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// burstJobs is 2.6 times the traffic of the site, 8.57 jobs a second, for 4 s.
	burstJobs = 88
	burstTime = 4 * time.Second
	// burstRuns is how many times each of the jobs runs, once a minute.
	burstRuns = 5000
	// memoryLook is how often the platform looks at a process's memory.
	memoryLook = 10 * time.Millisecond
)

// residentMegabytes returns the memory that a process has resident now.
func (p *process) residentMegabytes() int {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// limitMemory does for an entry what the platform does: it kills a process that takes more
// memory than its machine has, and starts it again. kills counts that.
func (s *system) limitMemory(p *process, end <-chan struct{}, kills *int) {
	for {
		select {
		case <-end:
			return
		case <-time.After(memoryLook):
		}
		resident := p.residentMegabytes()
		if resident <= frontMegabytes {
			continue
		}
		p.signal(syscall.SIGKILL)
		p.end()
		s.w.mu.Lock()
		*kills++
		s.w.note("killed for its memory", "process", p.name, "mib", resident, "limit-mib", frontMegabytes)
		s.w.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		p.start()
	}
}

// timed hands in large jobs at once: each runs many times, the first time in an hour.
func timed(c *scene) error {
	s, err := newSystem(c.w, c.binary, smallShape(4))
	if err != nil {
		return err
	}
	defer s.stop()
	for _, p := range s.entries {
		// The platform's machines show one core.
		p.env = []string{"GOMAXPROCS=1"}
	}
	if err := s.start(); err != nil {
		return err
	}
	end := make(chan struct{})
	kills := make([]int, len(s.entries))
	var watchers, group sync.WaitGroup
	for i, p := range s.entries {
		watchers.Add(1)
		go func() {
			defer watchers.Done()
			s.limitMemory(p, end, &kills[i])
		}()
	}
	lasting := namedJob(1, "feed", step{Count: 2, Cpu: 2000, MemMb: 1000, EstimateMs: 500, LongRunning: true})
	s.submit(0, lasting)
	if c.trouble {
		for n := 0; n < burstJobs; n++ {
			j := namedJob(1000+n, "every minute", step{Count: 1, Cpu: 500, MemMb: 256, EstimateMs: 600, work: 600 * time.Millisecond})
			j.RunCount, j.IntervalMs, j.StartAtMs = burstRuns, 60_000, time.Now().Add(time.Hour).UnixMilli()
			group.Add(1)
			go func() {
				defer group.Done()
				s.submit(n%3, j)
			}()
			time.Sleep(burstTime / burstJobs)
		}
	}
	jobs := []*job{lasting}
	for n := 0; n < 6; n++ {
		j := smallJob(60 + n)
		jobs = append(jobs, j)
		group.Add(1)
		go func() {
			defer group.Done()
			s.submit(n%3, j)
		}()
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	time.Sleep(finishTime)
	s.checkIdle(jobs, 3*time.Second)
	close(end)
	watchers.Wait()
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	machines := 0
	for i, n := range kills {
		c.w.note("kills", "process", s.entries[i].name, "count", n)
		if n >= 3 {
			machines++
		}
	}
	if machines >= 2 {
		c.w.breakRule("Fault", fmt.Sprintf("on %d machines, a process took more memory than the machine has three times", machines))
	}
	return nil
}
