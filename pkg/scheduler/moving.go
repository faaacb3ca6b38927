package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// movesPerRound bounds the steps for which another runner is looked for at a time.
	movesPerRound = 16
	// maxMoveHold is how long room is held for a task on its way: its stop, its placement
	// and its start.
	maxMoveHold = 5 * time.Second
)

// hold is room that is kept for a task on its way from a domain that is drained.
type hold struct {
	task  *task
	until time.Time
}

// held returns the room that is held for another task.
func (s *runnerState) held(t *task) publisher.Resources {
	if s.hold.task == nil || s.hold.task == t {
		return publisher.Resources{}
	}
	return s.hold.task.spec().allocation()
}

// dropHolds ends the holds whose task is placed or no longer to run, and those that took
// too long.
func (c *Cell) dropHolds(now time.Time) {
	c.holders = slices.DeleteFunc(c.holders, func(s *runnerState) bool {
		t := s.hold.task
		onItsWay := t.runner == nil || t.stopping
		over := !onItsWay || t.done || t.job.state.Final() || s.domainClosed || !now.Before(s.hold.until)
		if over {
			t.roomOn = nil
			s.hold = hold{}
			s.index.improved(s)
		}
		return over
	})
}

// moveTasks stops long-running tasks in failure domains that are drained, so that they start
// elsewhere: one task of a step at a time, and only if another runner can hold it now. Tasks
// that end by themselves run to completion, and gangs are never split.
func (c *Cell) moveTasks(now time.Time) {
	steps := c.stepsToMove()
	for range min(movesPerRound, len(steps)) {
		c.nextMove++
		c.moveOne(now, steps[c.nextMove%len(steps)])
	}
}

// stepsToMove returns the long-running steps with tasks on runners whose failure domain is
// drained, in the order of their jobs.
func (c *Cell) stepsToMove() []waitingStep {
	seen := map[waitingStep]bool{}
	var steps []waitingStep
	for _, s := range c.runners {
		if !s.domainClosed {
			continue
		}
		for t := range s.tasks {
			key := waitingStep{
				occurrence: t.occurrence,
				step:       t.step,
			}
			if step := t.spec(); step.LongRunning && !step.Gang && !seen[key] {
				seen[key] = true
				steps = append(steps, key)
			}
		}
	}
	slices.SortFunc(steps, func(a, b waitingStep) int {
		return compareTasks(a.occurrence.steps[a.step][0], b.occurrence.steps[b.step][0])
	})
	return steps
}

// moveOne stops the first task of a step that may be moved now, if there is one.
func (c *Cell) moveOne(now time.Time, key waitingStep) {
	tasks := key.occurrence.steps[key.step]
	if !mayMoveOne(now, tasks) {
		return
	}
	t := tasks[slices.IndexFunc(tasks, func(t *task) bool { return t.movable(now) })]
	target := c.moveTarget(now, t)
	if target == nil {
		return
	}
	target.hold = hold{
		task:  t,
		until: now.Add(maxMoveHold),
	}
	c.holders = append(c.holders, target)
	target.index.worsened(target)
	t.moving = true
	t.roomOn = target
	c.Counts.Moved++
	c.cfg.LogEvent("task moved out of failure domain", "task", t.name(), "run", t.run, "runner", t.runner.key.ID,
		"domain", t.runner.info.FailureDomain, "room-on", target.key.ID)
	c.stop(t)
}

// mayMoveOne reports whether one more task of a step may be stopped: none of them is being
// moved, and fewer than the step's MaxUnavailable are not at work for any reason.
func mayMoveOne(now time.Time, tasks []*task) bool {
	unavailable, movable := 0, false
	for _, t := range tasks {
		switch {
		case t.done:
		case t.moving && !t.atWork(now):
			return false
		case !t.atWork(now):
			unavailable++
		default:
			t.moving = false
			movable = movable || t.movable(now)
		}
	}
	limit := tasks[0].spec().MaxUnavailable
	return movable && (limit == 0 || unavailable < limit)
}

// movable reports whether a task is at work in a failure domain that is drained.
func (t *task) movable(now time.Time) bool {
	return t.runner != nil && t.runner.domainClosed && t.atWork(now)
}

// atWork reports whether a long-running task is at work: its run listed that it is up.
func (t *task) atWork(now time.Time) bool {
	return t.up && t.waitCause(now) == causeNone
}

// moveTarget returns the runner that can hold a task of a domain that is drained now, or nil:
// the one with the most idle processors.
func (c *Cell) moveTarget(now time.Time, t *task) *runnerState {
	w := candidate{
		job:        t.job,
		occurrence: t.occurrence,
		step:       t.step,
		urgency:    c.terms(t.job).Urgency,
	}
	c.index.refresh()
	service := c.index.service(c.service(t.job))
	for _, s := range service.byIdle.runners {
		if s.hold.task == nil && c.mayPlace(now, s, &w, t) {
			return s
		}
	}
	return nil
}

// coldSteps is how many steps the load of a cold runner grows in until it is warm.
const coldSteps = 4

// setCold records how much longer the runner is cold.
func (s *runnerState) setCold(now time.Time, left time.Duration) {
	switch {
	case left == 0:
		s.coldSince, s.coldUntil = time.Time{}, time.Time{}
	case s.coldUntil.IsZero():
		s.coldSince = now
		fallthrough
	default:
		s.coldUntil = now.Add(left)
	}
}

// cold reports whether the runner is not warm yet.
func (s *runnerState) cold(now time.Time) bool {
	return now.Before(s.coldUntil)
}

// coldAllowance returns the processors that may be allocated on a cold runner now: a share
// that grows in steps from when it was first seen cold until it is warm.
func (s *runnerState) coldAllowance(now time.Time) int64 {
	passed, whole := now.Sub(s.coldSince), s.coldUntil.Sub(s.coldSince)
	step := 1 + int64(passed)*(coldSteps-1)/max(1, int64(whole))
	return s.info.ProcessorMillis * min(coldSteps, step) / coldSteps
}

// tooCold reports whether one more task would be too much for a cold runner.
func (c *Cell) tooCold(now time.Time, s *runnerState, step *Step) bool {
	if c.cfg.ColdRuns == 0 || !s.cold(now) || len(s.tasks) < c.cfg.ColdRuns {
		return false
	}
	return s.allocated.ProcessorMillis+cmp.Or(step.Needs.ProcessorMillis, 1) > s.coldAllowance(now)
}
