package scheduler

import "time"

// Cancel applies a committed cancellation. It does nothing if the job is
// missing or in a final state.
func (c *Cell) Cancel(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	j.cancelled = true
	c.endJob(now, j, StateCancelled)
}

// endJob moves a job to a final state and stops its remaining runs.
func (c *Cell) endJob(now time.Time, j *job, state State) {
	j.state = state
	j.endedAt = now
	if state == StateCompleted {
		c.recordCompletion(now, j)
	}
	c.Counts.JobsEnded++
	c.cfg.LogEvent("job ended", "job", j.spec.ID, "state", state)
	c.markChanged(j)
	for _, t := range j.tasks() {
		c.stopAll(t)
	}
}

// stop requests the stop of a task's run. A run that was never sent to an agent
// is released at once.
func (c *Cell) stop(t *task) {
	if t.runner == nil || t.stopping {
		return
	}
	if !t.startSent {
		c.release(t)
		return
	}
	t.stopping = true
	t.runner.needsSync()
}

// markChanged records that a job's row must be written.
func (c *Cell) markChanged(j *job) {
	c.change++
	if _, changed := c.changed[j]; !changed {
		c.changed[j] = c.change
	}
}

func (c *Cell) bind(s *runnerState, t *task) {
	s.bind(t)
	c.countPlaced(t, 1)
	t.job.idleSince = time.Time{}
}

// release removes a task from its runner once its run has provably ended.
func (c *Cell) release(t *task) {
	t.runner.needsSync()
	t.runner.release(t)
	c.countPlaced(t, -1)
	c.addUnplaced(t.job)
	c.forgetCopy(t)
	t.startSent = false
	t.confirmed = false
	t.listed = false
	t.listedIn = 0
	t.missing = missing{}
	t.percent = 0
	t.up = false
	t.stalledFor = 0
	t.stopping = false
	t.placedAt = time.Time{}
	t.placedHere = false
	t.superseded = false
	c.endRun(t)
	c.markChanged(t.job)
}

// terms returns the terms of a job: those of its queue, the last ones if it was dropped,
// or else those under which the job was accepted.
func (c *Cell) terms(j *job) Terms {
	if q := c.queues.LastKnown(j.spec.Queue); q != nil {
		return q.Terms
	}
	if j.spec.Terms != (Terms{}) {
		return j.spec.Terms
	}
	return defaultTerms()
}

// service returns the service whose runners run a job, by the same rule as terms.
func (c *Cell) service(j *job) string {
	if q := c.queues.LastKnown(j.spec.Queue); q != nil {
		return q.Service
	}
	return j.spec.Service
}
