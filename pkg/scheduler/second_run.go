package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// copyRowRoom is how many runs a copy counts as in the limit of a job's row: it is listed
// on its own, with the name of its runner.
const copyRowRoom = 1 + (idleTaskBytes+placedTaskBytes)/runnerPositionBytes

// runs returns the current run of the task and its copy; the copy may be nil, and either
// may not be placed.
func (t *taskState) runs() [2]*task {
	return [2]*task{t.current, t.copy}
}

// runOn returns the run with a number on a runner, or nil.
func (t *taskState) runOn(s *runnerState, run int) *task {
	for _, r := range t.runs() {
		if r != nil && r.runner == s && r.run == run {
			return r
		}
	}
	return nil
}

// stopAll requests the stop of all runs of a task.
func (c *Cell) stopAll(t *task) {
	for _, r := range t.runs() {
		if r != nil {
			c.stop(r)
		}
	}
}

// countPlaced counts a run that is placed, or reverts that.
func (c *Cell) countPlaced(t *task, n int) {
	if t == t.copy || t.done {
		t.job.extraRuns += n
		return
	}
	t.job.placed += n
}

// endRun records that a run of a task has ended. Its copy, if there is one, becomes the
// current run. Otherwise, the next run gets a number above those of both.
func (c *Cell) endRun(t *task) {
	switch other := t.copy; {
	case t == other:
		t.copy = nil
	case other != nil:
		c.replaceCurrent(other)
	default:
		t.run = t.lastRun
	}
	c.listCopy(t.taskState)
}

// replaceCurrent makes the copy of a task its current run.
func (c *Cell) replaceCurrent(t *task) {
	if s := t.trialRunner; s != nil && s.trial == t.current {
		s.trial = nil
		s.index.improved(s)
	}
	c.countPlaced(t, -1)
	t.current = t
	t.copy = nil
	t.occurrence.steps[t.step][t.index] = t
	c.countPlaced(t, 1)
	if !t.done {
		// It is the only run of its task now.
		c.freeBudget(t)
		c.watchForCopies(t)
	}
}

// ended reports whether the job is in a final state and none of its runs is left.
func (j *job) ended() bool {
	return j.state.Final() && j.placed+j.extraRuns == 0
}

// rowRoom returns how many more runs the job's row can hold.
func (c *Cell) rowRoom(j *job) int {
	runs := max(1, j.spec.maxPlaced(j.gangCheckpointSize, j.listedCopies, len(c.runners)))
	return runs - j.placed - j.extraRuns
}

// listCopy records whether the row must list the copy of a task: there is one, or its
// number is above the one of the current run.
func (c *Cell) listCopy(t *taskState) {
	listed := t.copy != nil || t.lastRun > t.current.run
	if listed == t.listedCopy {
		return
	}
	t.listedCopy = listed
	if listed {
		t.job.listedCopies++
	} else {
		t.job.listedCopies--
	}
}

// copyProgress returns the copy of the task with an index as it is stored.
func (t *taskState) copyProgress(index int) CopyProgress {
	p := CopyProgress{
		Task: index,
		Run:  t.lastRun,
	}
	if t.copy != nil {
		p.Run = t.copy.run
		p.RunnerID = t.copy.runner.key.ID
		p.RunnerStartedAtMillis = t.copy.runner.key.StartedAtMillis
		p.Address = t.copy.runner.info.Address
	}
	return p
}

// loadCopy restores the copy of a task.
func (c *Cell) loadCopy(seenAt time.Time, j *job, tasks []*task, row CopyProgress) {
	fits := row.Task >= 0 && row.Task < len(tasks) && row.Run > tasks[row.Task].run && tasks[row.Task].copy == nil
	if !c.cfg.Assert.Holds(fits, "copy-fits-job", "job", j.spec.ID) {
		return
	}
	t := tasks[row.Task]
	t.lastRun = row.Run
	if row.RunnerID != "" {
		t.copy = &task{
			taskState:    t.taskState,
			run:          row.Run,
			committedRun: row.Run,
			copyOf:       t.run,
			copyService:  c.service(t.job),
		}
		c.copies.millis[t.copy.copyService] += t.spec().Needs.ProcessorMillis
		c.loadRun(seenAt, t.copy, framer.RunnerKey{
			ID:              row.RunnerID,
			StartedAtMillis: row.RunnerStartedAtMillis,
		}, row.Address)
		if t.runner == nil {
			c.replaceCurrent(t.copy)
		}
	}
	c.listCopy(t.taskState)
}

// failExhausted ends the job of a task that may not be started again: it has failed as often
// as the queue allows, and the run that it still had has ended.
func (c *Cell) failExhausted(now time.Time, t *task) {
	if !t.spec().mayHaveCopies() || t.done || t.current.runner != nil || t.job.state.Final() {
		return
	}
	if t.failures >= c.terms(t.job).MaxFailures {
		c.endJob(now, t.job, StateFailed)
	}
}

// unsettledRun is the other run of a task that is done. The zero value is none.
type unsettledRun struct {
	task *task
	run  int
}

// unsettledRun returns the run that a task still has although a run of it was done. The end
// of that one must not be acknowledged while the other may start: no run may start after
// the runner has dropped that end.
func (c *Cell) unsettledRun(e framer.FinishedRun) unsettledRun {
	t := c.taskByName(e.Task)
	if t == nil || !t.done || e.Reason != framer.FinishDone || t.current.runner == nil {
		return unsettledRun{}
	}
	return unsettledRun{
		task: t.current,
		run:  t.current.run,
	}
}

// mayStart reports whether the run has neither ended nor been listed.
func (u unsettledRun) mayStart() bool {
	t := u.task
	return t != nil && t.runner != nil && t.run == u.run && (!t.listed || t.superseded)
}
