package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const (
	// lateCrash is how long after its start a task ends its runner, and so it has survived
	// its start.
	lateCrash = 600 * time.Millisecond
	// toleratedCrashes is the number of crashes after which the task may be started fewer
	// than toleratedStarts times.
	toleratedCrashes = 3
	toleratedStarts  = 3
)

// crashLate starts a task, starts another job beside it right before the runner crashes, and
// returns whether the task had been started.
func crashLate(h *crashHarness, name, beside string) bool {
	h.t.Helper()
	h.tickUntilIdle()
	h.acceptAllStarts()
	agent := h.agentOf(name)
	if agent == "" {
		return false
	}
	h.advance(lateCrash)
	h.add(beside, "checks", newStep(4*len(h.runners), 50))
	h.tickUntilIdle()
	h.acceptAllStarts()
	h.crash(agent)
	return true
}

// A task that ends its runner long after each start must not be started without end because
// other tasks have just started beside it whenever the runner crashes (BUDGET).
func TestTaskThatCrashesBusyRunnersLateIsGivenUp(t *testing.T) {
	h := newCrashHarness(t, 4)
	h.add("j", "checks", newStep(1, 500))
	crashes := 0
	startsAfter := 0
	for i := range 20 {
		if !h.cell.HasJob("j") {
			break
		}
		if crashLate(h, "j.0.0.0", fmt.Sprintf("beside%d", i)) {
			if crashes >= toleratedCrashes {
				startsAfter++
			}
			crashes++
		}
		h.advance(suspectDelay)
	}
	assert.Assert(t, startsAfter < toleratedStarts, "%d starts after %d crashes", startsAfter, toleratedCrashes)
	assert.Assert(t, !h.cell.HasJob("j"), "the task is given up")
	assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
}

// A sound task under which runners have crashed for other reasons must not lose the runs that
// it has left to the starts of other tasks beside it, and be given up for that.
func TestNoTaskStartsBesideOneThatLostManyRunners(t *testing.T) {
	h := newCrashHarness(t, 4)
	h.add("j", "checks", newStep(1, 500))
	for i := range quietCrashes {
		assert.Assert(t, crashLate(h, "j.0.0.0", fmt.Sprintf("beside%d", i)))
		h.advance(suspectDelay)
	}
	// The tasks beside it are suspects as well, and each is tried alone first.
	h.advance(time.Second)
	h.start("j.0.0.0")
	s := h.cell.taskByName("j.0.0.0").runner
	h.advance(lateCrash)
	assert.Assert(t, h.cell.taskByName("j.0.0.0").survivedStart())
	assert.Assert(t, !s.schedulable(h.now), "another task may start beside it")
	h.advance(10 * time.Second)
	assert.Assert(t, s.schedulable(h.now), "other tasks wait for its end for long")
}

// A task under which many runners have crashed must not be tried on runners that have just
// restarted, or it is given up for runners that crash again and again without it.
func TestTaskThatLostManyRunnersIsTriedOnSettledRunner(t *testing.T) {
	h := newCrashHarness(t, 4)
	settled := "x3"
	h.runners[settled].ClockMillis = time.Hour.Milliseconds()
	h.report(settled)
	h.add("load", "checks", newStep(1, 500))
	h.add("j", "checks", newStep(1, 500))
	task := h.cell.taskByName("j.0.0.0")
	task.record.crashes = quietCrashes
	assert.Equal(t, h.start("j.0.0.0"), settled)
}

// A crash must not be counted twice: a run that is to be stopped in the next incarnation of its
// runner, which crashes in turn, ended with the first one, whoever owns the cell then.
func TestCrashIsCountedOnceAcrossOwners(t *testing.T) {
	h := newCrashHarness(t, 2)
	h.add("j", "checks", newStep(1, 500))
	agent := h.start("j.0.0.0")
	restart := func(c *Cell) {
		r := h.runners[agent]
		r.Runner.Key.StartedAtMillis++
		r.ClockMillis = 5
		r.Running = nil
		c.HandleReport(h.now, agent, *r)
	}
	restart(h.cell)
	assert.Equal(t, h.cell.taskByName("j.0.0.0").record.crashes, 1)
	assert.Equal(t, h.agentOf("j.0.0.0"), agent, "its start may still reach the next incarnation")
	data, err := cbor.Marshal(h.cell.jobs["j"].progress())
	assert.NilError(t, err)
	var p Progress
	assert.NilError(t, cbor.Unmarshal(data, &p))
	next := nextOwner(t, h.now)
	next.Load(h.now, h.cell.jobs["j"].spec, p)
	restart(next)
	restart(next)
	assert.Equal(t, next.taskByName("j.0.0.0").record.crashes, 1)
}

// A long-running task that ends its runner seconds after each start must not be started
// without end because its work up to then clears its record (BUDGET).
func TestLongRunningTaskThatCrashesRunnersLateIsGivenUp(t *testing.T) {
	for _, delay := range []time.Duration{lateCrash, provenWork + time.Second, 50 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			h := newCrashHarness(t, 4)
			step := newStep(1, 500)
			step.LongRunning = true
			h.add("j", "checks", step)
			for range maxCrashes {
				agent := h.start("j.0.0.0")
				h.advance(delay)
				h.crash(agent)
				h.advance(longRunningRestartDelay + suspectDelay)
			}
			assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
			assert.Assert(t, !h.cell.HasJob("j"))
		})
	}
}
