package scheduler

import (
	"math"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Reported takes an agent's report. The runner's clock was read before now.
func (c *Cell) Reported(now time.Time, agent string, r framer.Report) {
	if r.Runner.Key.ID == "" {
		return
	}
	s := c.meet(now, agent, r.Runner)
	if r.ClockMillis > s.clockMillis {
		s.clockMillis = r.ClockMillis
		s.clockAt = now
	}
	listed := s.noteListing(now, r)
	s.dirty = true
	for _, ref := range r.Started {
		c.confirm(s, ref)
	}
	for _, status := range r.Running {
		c.running(s, status)
	}
	if listed {
		c.learn(now, s, r.Running)
		c.watch(now, s, r.Running)
	}
	for ref := range s.strays {
		if !lists(r.Running, ref) {
			delete(s.strays, ref)
		}
	}
	for _, e := range r.Finished {
		delete(s.fences, e.RunRef)
		if e.Reason != framer.FinishNeverStarted && e.Sequence <= s.endNoted {
			continue
		}
		c.ended(now, s, e)
		s.noteEnd(e.Sequence, c.change)
	}
	s.confirmEnds(c.committed)
}

// meet books the life of a runner that an agent reports.
func (c *Cell) meet(now time.Time, agent string, info framer.RunnerInfo) *site {
	s := c.site(info.Key)
	before := c.agents[agent]
	if before != nil && before != s {
		before.agent = ""
	}
	for key, old := range c.sites {
		if key.StartedAtMillis >= info.Key.StartedAtMillis {
			continue
		}
		switch {
		case key.ID == info.Key.ID:
			c.supersede(now, old, s)
		case info.Address != "" && old.info.Address == info.Address:
			// Calls to the former runner name its id, so none can reach this
			// one.
			c.emptied(old, "another runner listens at its address")
			delete(c.sites, key)
		}
	}
	if !s.known {
		// A former owner may have granted it a lease just now.
		s.leaseEnd = maxTime(s.leaseEnd, now.Add(c.longestLease()))
		c.cfg.Log("runner met", "runner", info.Key.ID, "born-millis", info.Key.StartedAtMillis, "agent", agent)
	}
	draining := info.Draining && !s.info.Draining
	s.known = true
	s.agent = agent
	s.info = info
	c.agents[agent] = s
	if info.Left && s.leaseEnd.After(now.Add(leftMargin)) {
		s.leaseEnd = now.Add(leftMargin)
	}
	if draining {
		c.drain(now, s)
	}
	return s
}

// supersede ends an earlier life of a runner that came back under its id. What
// the earlier life was told to start not long ago, or never listed, may come
// through in the new one, so it is stopped there first.
func (c *Cell) supersede(now time.Time, old, s *site) {
	for _, t := range old.placed() {
		if t.ordered && (!t.listed || old.heldUp(now, t.ref())) {
			old.release(t)
			s.bind(t)
			t.stopping = true
			c.mark(t.job)
		}
	}
	for ref := range old.ordered {
		if old.heldUp(now, ref) && c.find(s, ref) == nil {
			s.fences[ref] = struct{}{}
		}
	}
	c.emptied(old, "the runner came back with nothing")
	// A call for the earlier life that was held up may still reach this one,
	// with a lease by the other's clock.
	s.leaseEnd = maxTime(s.leaseEnd, now.Add(heldUp+c.longestLease()))
	delete(c.sites, old.key)
}

// emptied returns all tasks of a site that provably runs none of them.
func (c *Cell) emptied(s *site, why string) {
	for _, t := range s.placed() {
		c.Counts.Lost++
		c.cfg.Log("run lost", "task", t.name(), "run", t.run, "runner", s.key.ID, "why", why)
		c.release(t)
	}
}

// drain moves what can be resumed off a runner that is leaving.
func (c *Cell) drain(_ time.Time, s *site) {
	c.cfg.Log("runner drains", "runner", s.key.ID, "tasks", len(s.tasks))
	for _, t := range s.placed() {
		step := t.spec()
		if step.LongRunning || step.Checkpoints {
			c.stop(t)
		}
	}
}

// AgentDisconnected notes that the link to an agent is down.
func (c *Cell) AgentDisconnected(agent string) {
	if s := c.agents[agent]; s != nil {
		s.agent = ""
		delete(c.agents, agent)
	}
}

// find returns the task that a run belongs to, if it is the task's current
// run and placed on the site.
func (c *Cell) find(s *site, ref framer.RunRef) *task {
	t := c.named(ref.Task)
	if t == nil || t.site != s || t.run != ref.Run {
		return nil
	}
	return t
}

func (c *Cell) named(name string) *task {
	id, k, step, index, ok := parseTaskName(name)
	if !ok {
		return nil
	}
	j := c.jobs[id]
	if j == nil || k >= len(j.rounds) || step >= len(j.rounds[k].steps) || index >= len(j.rounds[k].steps[step]) {
		return nil
	}
	return j.rounds[k].steps[step][index]
}

func (c *Cell) confirm(s *site, ref framer.RunRef) {
	t := c.find(s, ref)
	if t == nil || t.confirmed {
		return
	}
	t.confirmed = true
	c.begin(t.job)
}

// begin notes that a runner has had a run of the job.
func (c *Cell) begin(j *job) {
	if !j.begun {
		j.begun = true
		c.mark(j)
	}
}

func (c *Cell) running(s *site, status framer.RunStatus) {
	t := c.find(s, status.RunRef)
	if t == nil {
		var needs publisher.Resources
		if other := c.named(status.Task); other != nil {
			needs = other.spec().room()
		}
		if _, known := s.strays[status.RunRef]; known {
			return
		}
		s.strays[status.RunRef] = needs
		c.cfg.Log("stray run", "task", status.Task, "run", status.Run, "runner", s.key.ID)
		return
	}
	c.confirm(s, status.RunRef)
	t.listed = true
	if status.Checkpoint != "" {
		t.checkpoint = status.Checkpoint
	}
}

// learn takes the figures of a runner on which tasks serve. Those of both kinds
// cover the same half second, so they belong together whatever changes there.
// On a slow runner they tell of that.
func (c *Cell) learn(now time.Time, s *site, running []framer.RunStatus) {
	if len(s.serving) == 0 || now.Sub(s.learntAt) < learnInterval || s.speed.slow(now) {
		return
	}
	s.learntAt = now
	fillers := mix{}
	loads := map[string]*mean{}
	for _, status := range running {
		t := c.find(s, status.RunRef)
		if t == nil {
			continue
		}
		step := t.spec()
		switch {
		case step.BestEffort:
			fillers[step.Image] += status.Measurement / float64(max(1, s.info.ProcessorMillis))
		case step.TargetMillis > 0 && status.Measurement > 0:
			if loads[step.Image] == nil {
				loads[step.Image] = &mean{}
			}
			loads[step.Image].add(math.Log(status.Measurement / step.TargetMillis))
		}
	}
	for image, load := range loads {
		c.interference.observe(image, fillers, load.value())
	}
}

// ended takes the end of a run.
func (c *Cell) ended(now time.Time, s *site, e framer.FinishedRun) {
	delete(s.strays, e.RunRef)
	t := c.find(s, e.RunRef)
	if t == nil {
		if e.Reason != framer.FinishNeverStarted {
			c.cfg.Log("end of a former run", "task", e.Task, "run", e.Run, "runner", s.key.ID, "kind", e.Reason)
		}
		return
	}
	c.cfg.Log("run ended", "task", e.Task, "run", e.Run, "runner", s.key.ID, "kind", e.Reason)
	if e.Reason != framer.FinishNeverStarted {
		c.begin(t.job)
	}
	switch e.Reason {
	case framer.FinishDone:
		c.doneRun(now, s, t)
	case framer.FinishFailed:
		c.failedRun(now, s, t)
	case framer.FinishNeverStarted:
		c.Counts.NeverStarted++
		c.release(t)
	default:
		c.Counts.Stopped++
		if e.Checkpoint != "" {
			t.checkpoint = e.Checkpoint
		}
		c.release(t)
	}
}

func (c *Cell) doneRun(now time.Time, s *site, t *task) {
	c.Counts.Done++
	s.noteSuccess()
	if t.spec().LongRunning {
		t.checkpoint = ""
		c.release(t)
		t.notBefore = now.Add(lastingPause)
		return
	}
	c.release(t)
	c.finish(t)
	if t.spec().Gang {
		// One end stands for all members.
		for _, member := range t.round.steps[t.step] {
			if member.site != nil {
				c.release(member)
			}
			c.finish(member)
		}
	}
	if t.job.open == 0 && !t.job.state.Final() {
		c.end(now, t.job, StateCompleted)
	}
}

// finish counts a task as done.
func (c *Cell) finish(t *task) {
	if t.done {
		return
	}
	t.done = true
	t.job.open--
	t.round.left[t.step]--
}

func (c *Cell) failedRun(now time.Time, s *site, t *task) {
	c.Counts.Failed++
	t.failures++
	t.avoid = append(t.avoid, s.key.ID)
	c.blame(now, s, t.job)
	c.release(t)
	t.notBefore = now
	if t.spec().LongRunning {
		t.notBefore = now.Add(lastingPause)
		return
	}
	limit := defaultMaxFailures
	if q := c.queue(t.job); q != nil {
		limit = max(1, q.MaxFailures)
	}
	if t.failures >= limit && !t.job.state.Final() {
		c.end(now, t.job, StateFailed)
	}
}

// blame sets a runner aside that fails the runs of different jobs. A job that
// fails on several runners is at fault itself.
func (c *Cell) blame(now time.Time, s *site, j *job) {
	for _, id := range j.failedOn {
		if id != s.key.ID {
			for _, other := range c.sites {
				other.forgive(j.spec.ID)
			}
			return
		}
	}
	j.failedOn = append(j.failedOn, s.key.ID)
	if s.noteFailure(now, j.spec.ID) {
		c.cfg.Log("runner set aside", "runner", s.key.ID, "for", s.setAside, "jobs", s.failedJobs)
	}
}

func lists(running []framer.RunStatus, ref framer.RunRef) bool {
	for _, r := range running {
		if r.RunRef == ref {
			return true
		}
	}
	return false
}
