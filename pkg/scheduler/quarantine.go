package scheduler

import (
	"slices"
	"time"
)

const (
	// quarantineThreshold is the number of different jobs that must fail in a
	// row before a runner is quarantined.
	quarantineThreshold = 2
	minQuarantine       = 4 * time.Second
	maxQuarantine       = time.Minute
)

// quarantined reports whether other runners are to be used instead. After its
// quarantine, a runner gets one task at a time until one succeeds.
func (s *runnerState) quarantined(now time.Time) bool {
	if len(s.failedJobs) < quarantineThreshold && !s.stalled {
		return false
	}
	return !now.After(s.quarantinedUntil) || s.finiteTasks() > 0
}

// finiteTasks counts the tasks that finish by themselves.
func (s *runnerState) finiteTasks() int {
	n := 0
	for t := range s.tasks {
		if !t.spec().LongRunning {
			n++
		}
	}
	return n
}

// recordFailure counts a failed run, and reports whether the runner is newly
// quarantined. Several failures of one job count once.
func (s *runnerState) recordFailure(now time.Time, job string) bool {
	if !slices.Contains(s.failedJobs, job) {
		s.failedJobs = append(s.failedJobs, job)
	}
	return len(s.failedJobs) >= quarantineThreshold && s.startQuarantine(now)
}

// startQuarantine keeps tasks off the runner while others can hold them, each
// time for twice as long, up to maxQuarantine. It reports whether a quarantine
// was started; one in force is not extended.
func (s *runnerState) startQuarantine(now time.Time) bool {
	if now.Before(s.quarantinedUntil) {
		return false
	}
	s.quarantine = min(maxQuarantine, max(minQuarantine, 2*s.quarantine))
	s.quarantinedUntil = now.Add(s.quarantine)
	return true
}

// removeFailure removes a job from the runner's failures, because the job
// itself is at fault.
func (s *runnerState) removeFailure(job string) {
	s.failedJobs = slices.DeleteFunc(s.failedJobs, func(id string) bool { return id == job })
}

func (s *runnerState) recordSuccess() {
	s.failedJobs = nil
	s.stalled = false
	s.quarantine = 0
	s.quarantinedUntil = time.Time{}
}
