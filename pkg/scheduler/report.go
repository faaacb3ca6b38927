package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// provenWork is how long a long-running task must have run until its failure is
// no evidence against its runner.
const provenWork = 10 * time.Second

// HandleReport processes an agent's report. now must be later than the time at
// which the runner's clock was read.
func (c *Cell) HandleReport(now time.Time, agent string, r framer.Report) {
	if r.Runner.Key.ID == "" {
		return
	}
	s := c.registerRunner(now, agent, r.Runner)
	if r.ClockMillis > s.clockMillis {
		s.clockMillis = r.ClockMillis
		s.clockAt = now
	}
	c.recordFence(now, s, r)
	s.setUnanswered(now, r.Unanswered)
	listed := s.recordListing(now, r)
	if c.renewalDue(now, s) {
		s.needsSync()
	}
	for _, ref := range r.Started {
		c.confirm(s, ref)
	}
	for _, status := range r.Running {
		c.recordRunning(now, s, status)
	}
	if listed {
		c.refuteLapses(s)
		c.updateModels(now, s, r.Running)
		c.detectStall(now, s, r.Running)
	}
	for ref := range s.unexpectedRuns {
		if !containsRun(r.Running, ref) {
			s.removeUnexpected(ref)
		}
	}
	for _, e := range r.Finished {
		delete(s.fences, e.RunRef)
		if e.Reason != framer.FinishNeverStarted && e.Sequence <= s.recordedSequence {
			continue
		}
		var j *job
		if t := c.taskByName(e.Task); t != nil {
			j = t.job
		}
		c.runFinished(now, s, e)
		s.recordFinished(e.Sequence, c.change, j)
	}
	if listed {
		c.stopMissing(now, s)
	}
	s.ackCommitted(c.committed)
}

// registerRunner updates the state of the runner incarnation that an agent
// reports.
func (c *Cell) registerRunner(now time.Time, agent string, info framer.RunnerInfo) *runnerState {
	s := c.runner(info.Key)
	previous := c.agents[agent]
	if previous != nil && previous != s {
		previous.setAgent("")
	}
	draining := info.Draining && !s.info.Draining
	before := s.info.Address
	s.setInfo(info)
	c.incarnations.moved(s, before)
	c.replaceEarlier(now, s)
	if !s.reported {
		// The owner has granted it nothing yet, a former one may have.
		s.leaseEnd = maxTime(s.leaseEnd, now.Add(c.maxLease()))
		c.cfg.LogEvent("runner registered", "runner", info.Key.ID, "born-millis", info.Key.StartedAtMillis, "agent", agent)
	}
	s.reported = true
	s.setAgent(agent)
	c.agents[agent] = s
	if info.Left {
		s.limitLeases(now.Add(leaveMargin))
	}
	if draining {
		c.drain(now, s)
	}
	return s
}

// replaceEarlier replaces the earlier incarnations of a runner and the earlier
// runners with its address.
func (c *Cell) replaceEarlier(now time.Time, s *runnerState) {
	for _, old := range c.incarnations.earlier(s) {
		if old.key.ID == s.key.ID {
			c.supersede(now, old, s)
			continue
		}
		c.recordCrash(now, old)
		// Calls to the former runner carry its id, so none of them takes effect
		// on this one.
		c.loseRuns(old, "another runner uses its address")
		c.removeRunner(old)
	}
}

// supersede replaces an earlier incarnation of a runner that restarted with the
// same id. Delayed start requests for the earlier incarnation may still reach
// the new one, so recent and unlisted runs are stopped there before they start
// elsewhere.
func (c *Cell) supersede(now time.Time, old, s *runnerState) {
	c.recordCrash(now, old)
	for _, t := range old.placed() {
		if t.startSent && (!t.listed || old.startMayArrive(now, t.ref())) {
			old.release(t)
			s.bind(t)
			t.stopping = true
			c.markChanged(t.job)
		}
	}
	for ref := range old.startsSent {
		if old.startMayArrive(now, ref) && c.currentTask(s, ref) == nil {
			s.fences[ref] = struct{}{}
		}
	}
	c.loseRuns(old, "runner restarted without runs")
	// A delayed call to the earlier incarnation may still reach this one, with
	// a lease by the earlier incarnation's clock, which this one shortens to the
	// longest that it grants. A higher epoch makes this one reject such calls.
	s.delayedLeaseEnd = now.Add(maxCallDelay + MaxLease(c.cfg.LongestLease))
	s.fenceEpoch = c.cfg.Epoch + 1
	c.requiredEpoch = s.fenceEpoch
	c.removeRunner(old)
}

// loseRuns releases all tasks of a runner that provably runs none of them.
func (c *Cell) loseRuns(s *runnerState, why string) {
	for _, t := range s.placed() {
		c.loseRun(t, why)
	}
}

func (c *Cell) loseRun(t *task, why string) {
	c.Counts.Lost++
	c.cfg.LogEvent("run lost", "task", t.name(), "run", t.run, "runner", t.runner.key.ID, "why", why,
		"start-sent", t.startSent, "confirmed", t.confirmed, "listed", t.listed)
	c.release(t)
}

// drain stops the long-running and checkpointed tasks of a leaving runner, so
// that they continue elsewhere.
func (c *Cell) drain(_ time.Time, s *runnerState) {
	c.cfg.LogEvent("runner draining", "runner", s.key.ID, "tasks", len(s.tasks))
	for _, t := range s.placed() {
		step := t.spec()
		if step.LongRunning || step.Checkpoints {
			c.stop(t)
		}
	}
}

// AgentDisconnected records that the link to an agent is down.
func (c *Cell) AgentDisconnected(agent string) {
	if s := c.agents[agent]; s != nil {
		s.setAgent("")
		delete(c.agents, agent)
	}
}

// currentTask returns the task of a run, or nil unless the run is the task's
// current one and placed on the runner.
func (c *Cell) currentTask(s *runnerState, ref framer.RunRef) *task {
	t := c.taskByName(ref.Task)
	if t == nil || t.runner != s || t.run != ref.Run {
		return nil
	}
	return t
}

func (c *Cell) taskByName(name string) *task {
	id, occurrence, step, index, ok := parseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[id]
	if j == nil || occurrence >= len(j.occurrences) || step >= len(j.occurrences[occurrence].steps) || index >= len(j.occurrences[occurrence].steps[step]) {
		return nil
	}
	return j.occurrences[occurrence].steps[step][index]
}

func (c *Cell) confirm(s *runnerState, ref framer.RunRef) {
	t := c.currentTask(s, ref)
	if t == nil || t.confirmed {
		return
	}
	t.confirmed = true
	s.startRefusals.accepted()
	c.markBegun(t.job)
}

// markBegun records that a run of the job has reached a runner.
func (c *Cell) markBegun(j *job) {
	if !j.begun {
		j.begun = true
		c.markChanged(j)
	}
}

func (c *Cell) recordRunning(now time.Time, s *runnerState, status framer.RunStatus) {
	t := c.currentTask(s, status.RunRef)
	if t == nil {
		var needs publisher.Resources
		if other := c.taskByName(status.Task); other != nil {
			needs = other.spec().allocation()
		}
		if _, known := s.unexpectedRuns[status.RunRef]; known {
			return
		}
		s.addUnexpected(status.RunRef, needs)
		c.cfg.LogEvent("unexpected run listed", "task", status.Task, "run", status.Run, "runner", s.key.ID)
		return
	}
	s.removeUnexpected(status.RunRef)
	c.confirm(s, status.RunRef)
	if !t.listed {
		t.listed = true
		t.listedSince = now
	}
	t.listedIn = s.listings
	t.listedAt = s.listedAt
	c.clearRecord(now, t)
	if status.Checkpoint != "" {
		t.checkpoint = status.Checkpoint
	}
}

// updateModels updates the interference models with the measurements of a
// runner that has latency-critical tasks. The measurements of best-effort and
// latency-critical tasks cover the same half second, so they match even if the
// set of tasks changes. Those of a slow runner are ignored, because they
// reflect its speed and not interference.
func (c *Cell) updateModels(now time.Time, s *runnerState, running []framer.RunStatus) {
	if len(s.latencyCritical) == 0 || now.Sub(s.observedAt) < learnInterval || s.speed.slow(now) {
		return
	}
	s.observedAt = now
	shares := imageShares{}
	loads := map[string]*mean{}
	for _, status := range running {
		t := c.currentTask(s, status.RunRef)
		if t == nil {
			continue
		}
		step := t.spec()
		switch {
		case step.BestEffort:
			shares[step.Image] += status.Measurement / float64(max(1, s.info.ProcessorMillis))
		case step.TargetMillis > 0 && status.Measurement > 0:
			if loads[step.Image] == nil {
				loads[step.Image] = &mean{}
			}
			loads[step.Image].add(math.Log(status.Measurement / step.TargetMillis))
		}
	}
	for image, load := range loads {
		c.interference.observe(image, shares, load.value())
	}
}

// runFinished processes a finished run.
func (c *Cell) runFinished(now time.Time, s *runnerState, e framer.FinishedRun) {
	s.removeUnexpected(e.RunRef)
	t := c.currentTask(s, e.RunRef)
	if t == nil {
		if e.Reason != framer.FinishNeverStarted {
			c.cfg.LogEvent("finished run is not current", "task", e.Task, "run", e.Run, "runner", s.key.ID, "kind", e.Reason)
		}
		return
	}
	c.cfg.LogEvent("run finished", "task", e.Task, "run", e.Run, "runner", s.key.ID, "kind", e.Reason)
	if e.Reason != framer.FinishNeverStarted {
		c.markBegun(t.job)
	}
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
			t.checkpoint = e.Checkpoint
		}
		c.release(t)
	}
}

func (c *Cell) runDone(now time.Time, s *runnerState, t *task) {
	c.Counts.Done++
	s.recordSuccess()
	if t.spec().LongRunning {
		t.checkpoint = ""
		c.release(t)
		t.notBefore = now.Add(longRunningRestartDelay)
		return
	}
	c.release(t)
	c.markDone(t)
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
	limit := defaultMaxFailures
	if q := c.queue(t.job); q != nil {
		limit = max(1, q.MaxFailures)
	}
	if t.failures >= limit && !t.job.state.Final() {
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

func containsRun(running []framer.RunStatus, ref framer.RunRef) bool {
	for _, r := range running {
		if r.RunRef == ref {
			return true
		}
	}
	return false
}
