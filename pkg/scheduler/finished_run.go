package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// provenWork is how long a long-running task must have run until its failure is
// no evidence against its runner.
const provenWork = 10 * time.Second

// runFinished processes a finished run in a report.
func (c *Cell) runFinished(now time.Time, s *runnerState, r framer.Report, e framer.FinishedRun) {
	s.removeUnexpected(e.RunRef)
	t := c.currentTask(s, e.RunRef)
	if t == nil {
		c.requireFor(s, r, e)
		if e.Reason != framer.FinishNeverStarted {
			c.cfg.LogEvent("finished run is not current", "task", e.Task, "run", e.Run, "runner", s.key.ID, "kind", e.Reason,
				"number", e.Sequence, "lease-until-millis", s.grantedUntilMillis, "clock-millis", s.clockMillis)
		}
		return
	}
	c.cfg.LogEvent("run finished", "task", e.Task, "run", e.Run, "runner", s.key.ID, "kind", e.Reason, "number", e.Sequence)
	if t.done {
		// Another run of the task was done before.
		c.release(t)
		return
	}
	if e.Reason != framer.FinishNeverStarted {
		c.markBegun(t.job)
	}
	defer c.failExhausted(now, t)
	switch e.Reason {
	case framer.FinishDone:
		c.runDone(now, s, t)
	case framer.FinishFailed:
		c.runFailed(now, s, t)
	case framer.FinishNeverStarted:
		c.Counts.NeverStarted++
		if !t.stopping && s.startRefusals.add(now) {
			c.cfg.LogEvent("runner did not start a run", "task", e.Task, "run", e.Run, "runner", s.key.ID, "for", s.startRefusals.backoff)
		}
		c.release(t)
	default:
		c.Counts.Stopped++
		if e.Checkpoint != "" {
			t.setCheckpoint(e.Checkpoint)
		}
		c.release(t)
	}
}

func (c *Cell) runDone(now time.Time, s *runnerState, t *task) {
	c.Counts.Done++
	c.learnEstimate(now, t)
	s.recordSuccess()
	if t.spec().LongRunning {
		t.checkpoint = ""
		c.release(t)
		t.notBefore = now.Add(longRunningRestartDelay)
		return
	}
	c.recordDuration(now, t)
	c.recordWin(t)
	c.loadCompleted(now, t)
	c.markDone(t)
	c.release(t)
	c.stop(t.current)
	if t.spec().Gang {
		// One finished run completes the whole gang.
		for _, member := range t.occurrence.steps[t.step] {
			if member.runner != nil {
				c.release(member)
			}
			c.markDone(member)
		}
	}
	if t.job.unfinished == 0 && !t.job.state.Final() {
		c.endJob(now, t.job, StateCompleted)
	}
}

// markDone counts a task as done.
func (c *Cell) markDone(t *task) {
	if t.done {
		return
	}
	c.placementDue = true
	if t.current.runner != nil {
		t.job.placed--
		t.job.extraRuns++
	}
	t.done = true
	t.job.unfinished--
	t.occurrence.unfinished[t.step]--
}

func (c *Cell) runFailed(now time.Time, s *runnerState, t *task) {
	c.Counts.Failed++
	t.failures++
	t.avoid = append(t.avoid, s.key.ID)
	if !t.provesRunner(now) {
		c.attributeFailure(now, s, t.job)
	}
	c.release(t)
	t.notBefore = now
	if t.spec().LongRunning {
		t.notBefore = now.Add(longRunningRestartDelay)
		return
	}
	if t.current.runner == nil && t.failures >= c.terms(t.job).MaxFailures && !t.job.state.Final() {
		c.endJob(now, t.job, StateFailed)
	}
}

// provesRunner reports whether a run was at work for so long that its end is no
// evidence against its runner. Long-running tasks may fail at any time.
func (t *task) provesRunner(now time.Time) bool {
	return t.spec().LongRunning && t.listed && now.Sub(t.listedSince) >= provenWork
}

// attributeFailure attributes a failed run either to its runner or to its job.
// A runner that fails the runs of different jobs is quarantined. A job that
// fails on several runners is itself at fault, and its failures no longer count
// against any runner.
func (c *Cell) attributeFailure(now time.Time, s *runnerState, j *job) {
	for _, id := range j.failedOn {
		if id != s.key.ID {
			for _, other := range c.runners {
				other.removeFailure(j.spec.ID)
			}
			return
		}
	}
	j.failedOn = append(j.failedOn, s.key.ID)
	if s.recordFailure(now, j.spec.ID) {
		c.cfg.LogEvent("runner quarantined", "runner", s.key.ID, "for", s.quarantine, "jobs", s.failedJobs)
	}
}
