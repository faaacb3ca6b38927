package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// HandleReport processes an agent's report. now must be later than the time at
// which the runner's clock was read.
func (c *Cell) HandleReport(now time.Time, agent string, r framer.Report) {
	if r.Runner.Key.ID == "" {
		return
	}
	s := c.registerRunner(now, agent, r.Runner, r.Listed)
	if r.ClockMillis > s.clockMillis {
		s.clockMillis = r.ClockMillis
		s.clockAt = now
	}
	c.proveExpiry(s, r)
	c.recordFence(now, s, r)
	s.limitDelayedLease()
	s.setUnanswered(now, r.Unanswered)
	if r.Claimed {
		s.claimedAt = now
	}
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
		c.runFinished(now, s, r, e)
		s.recordFinished(e.Sequence, c.change, j, c.unsettledRun(e))
	}
	if listed {
		c.stopMissing(now, s)
	}
	s.ackCommitted(c.committed)
}

// registerRunner updates the state of the runner incarnation that an agent
// reports. It replaces earlier ones only once it has answered a call: until then, nothing
// proves that it is there, and the leases of the earlier ones run on.
func (c *Cell) registerRunner(now time.Time, agent string, info framer.RunnerInfo, answered bool) *runnerState {
	s := c.runner(info.Key)
	previous := c.agents[agent]
	if previous != nil && previous != s {
		previous.unlinked()
	}
	draining := info.Draining && !s.info.Draining
	before := s.info.Address
	s.setInfo(info)
	c.incarnations.moved(s, before)
	if answered {
		c.replaceEarlier(now, s)
	}
	if !s.reported {
		// The owner has granted it nothing yet, a former one may have.
		s.leaseEnd = maxTime(s.leaseEnd, now.Add(c.maxLease()))
		c.cfg.LogEvent("runner registered", "runner", info.Key.ID, "born-millis", info.Key.StartedAtMillis, "agent", agent)
	}
	s.reported = true
	s.reportedBy(now, agent)
	s.setCold(now, time.Duration(info.ColdMillis)*time.Millisecond)
	c.updateDomain(now, s)
	c.agents[agent] = s
	if info.Left {
		s.limitLeases(now.Add(leaveMargin))
	}
	if draining {
		c.drain(now, s)
	}
	return s
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
		s.unlinked()
		delete(c.agents, agent)
	}
}

// currentTask returns the task of a run, or nil unless the run is the task's
// current one, or its copy, and placed on the runner.
func (c *Cell) currentTask(s *runnerState, ref framer.RunRef) *task {
	t := c.taskByName(ref.Task)
	if t == nil {
		return nil
	}
	return t.runOn(s, ref.Run)
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
	if s.startsHeld {
		s.needsSync()
	}
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
	t.up = t.up || status.Percent >= fullPercent
	t.listedAt = s.listedAt
	c.clearRecord(now, t)
	if status.Checkpoint != "" {
		t.setCheckpoint(status.Checkpoint)
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

func containsRun(running []framer.RunStatus, ref framer.RunRef) bool {
	for _, r := range running {
		if r.RunRef == ref {
			return true
		}
	}
	return false
}
