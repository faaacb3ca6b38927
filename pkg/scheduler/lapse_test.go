package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// cutOff lets the lease of an agent's runner expire, which refuses all calls. It returns the
// last report, with which the runner may be back.
func (h *crashHarness) cutOff(agent string) *framer.Report {
	r := h.runners[agent]
	delete(h.runners, agent)
	silent := *r
	silent.Unanswered = true
	silent.Listed = false
	h.cell.HandleReport(h.now, agent, silent)
	h.advance(MaxLease(testLease) + time.Second)
	return r
}

// back lets a runner that was cut off list its runs again.
func (h *crashHarness) back(agent string, r *framer.Report) {
	r.Running = nil
	h.runners[agent] = r
	h.advance(time.Second)
}

// breakGang ends the runs of a job's gang, if it has one.
func (h *crashHarness) breakGang(id string) {
	for agent, r := range h.runners {
		for _, status := range slices.Clone(r.Running) {
			if t := h.cell.taskByName(status.Task); t != nil && t.job.spec.ID == id && t.spec().Gang {
				h.finish(agent, status.RunRef, framer.FinishGangBroken)
			}
		}
	}
}

// A sound task must not be given up, and its job be shown as failed for good, because one
// runner crashed under it and others were cut off: only crashes that are proven may do that.
func TestTaskIsNotGivenUpForRunnersThatWereCutOff(t *testing.T) {
	gang := newStep(3, 500)
	gang.Gang = true
	for name, c := range map[string]struct {
		step Step
		// runs is how long the second run is at work before its runner is cut off.
		runs time.Duration
	}{
		"a single task": {
			step: newStep(1, 500),
		},
		"a job of many tasks": {
			step: newStep(20, 500),
		},
		"a gang": {
			step: gang,
		},
		"a task that has survived its start": {
			step: newStep(1, 500),
			runs: time.Second,
		},
		"a long-running task": {
			step: newLongRunningStep(500),
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newCrashHarness(t, 7)
			h.add("j", "checks", c.step)
			h.crash(h.start("j.0.0.0"))
			h.breakGang("j")
			h.advance(suspectDelay + maxTrial)
			agent := h.start("j.0.0.0")
			h.advance(c.runs)
			r := h.cutOff(agent)
			assert.Assert(t, h.cell.HasJob("j"), "one runner crashed, and one was cut off")
			assert.Equal(t, h.state("j"), StateRunning)
			h.breakGang("j")
			h.back(agent, r)
			assert.Equal(t, h.state("j"), StateRunning)
			assert.Assert(t, h.agentOf("j.0.0.0") != "", "it is started again")
			assert.Equal(t, h.cell.Counts.GivenUp, int64(0))
		})
	}
}

// replaced reports another runner at the address of an agent whose runner was cut off.
func (h *crashHarness) replaced(agent string, r *framer.Report) {
	h.runners[agent] = r
	h.crash(agent)
}

// A crash that shows only after the lease of the runner has expired must still be counted, and
// the task be given up once enough crashes are proven.
func TestTaskIsGivenUpOnceLapsesAreProven(t *testing.T) {
	h := newCrashHarness(t, 4)
	h.add("j", "checks", newStep(1, 500))
	h.crash(h.start("j.0.0.0"))
	h.advance(suspectDelay)
	agent := h.start("j.0.0.0")
	r := h.cutOff(agent)
	assert.Equal(t, h.state("j"), StateRunning, "one crash is proven")
	h.replaced(agent, r)
	assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	assert.Equal(t, h.state("j"), StateFailed, "its third run is being stopped")
}

// A task that crashes its runners must not be started without end while none of them is back:
// the start after maxCrashes lost runners waits until one of the losses is explained.
func TestTaskWaitsWhileItsLossesAreUnexplained(t *testing.T) {
	lose := func(t *testing.T) (h *crashHarness, agents []string, reports []*framer.Report) {
		t.Helper()
		h = newCrashHarness(t, maxCrashes+2)
		h.add("j", "checks", newStep(1, 500))
		for range maxCrashes {
			agent := h.start("j.0.0.0")
			agents = append(agents, agent)
			reports = append(reports, h.cutOff(agent))
		}
		h.advance(10 * time.Second)
		assert.Equal(t, h.agentOf("j.0.0.0"), "", "it waits for proof")
		assert.Equal(t, h.state("j"), StateRunning, "nothing is proven")
		assert.Equal(t, h.cell.unplacedCause(h.now, h.cell.taskByName("j.0.0.0"), &[refusalCount]int{}, false), causeCrashUnproven)
		return h, agents, reports
	}
	t.Run("a runner is back", func(t *testing.T) {
		h, agents, reports := lose(t)
		h.back(agents[0], reports[0])
		assert.Assert(t, h.agentOf("j.0.0.0") != "", "one of the runners did not crash")
	})
	t.Run("the runners are replaced", func(t *testing.T) {
		h, agents, reports := lose(t)
		for i, agent := range agents {
			h.replaced(agent, reports[i])
		}
		assert.Assert(t, !h.cell.HasJob("j"), "they crashed")
		assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	})
	t.Run("no runner is back", func(t *testing.T) {
		h, _, _ := lose(t)
		h.advance(lapseTTL)
		assert.Assert(t, h.agentOf("j.0.0.0") != "", "nothing is expected any more")
	})
}

// What the end of a lease says of a task must not become a fact with a change of the owner: the
// next one must be able to withdraw it, or to count it.
func TestLapseSurvivesItsOwner(t *testing.T) {
	succeed := func(t *testing.T) (h *crashHarness, agent string, r *framer.Report) {
		t.Helper()
		h = newCrashHarness(t, 4)
		h.add("j", "checks", newStep(2, 500))
		h.crash(h.start("j.0.0.0"))
		h.advance(suspectDelay)
		agent = h.start("j.0.0.0")
		r = h.cutOff(agent)
		former := h.cell.jobs["j"]
		h.cell = nextOwner(t, h.now)
		h.cell.SetQueues(testQueues())
		h.cell.Load(h.now, former.spec, former.progress())
		assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord(), crashRecord{
			crashes:   2,
			suspicion: sharedSuspicion + soleSuspicion,
		})
		return h, agent, r
	}
	t.Run("the runner is back", func(t *testing.T) {
		h, agent, r := succeed(t)
		h.back(agent, r)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord(), crashRecord{
			crashes:   1,
			suspicion: sharedSuspicion,
		})
	})
	t.Run("the agent reports a listing from before the end of the lease", func(t *testing.T) {
		h, agent, r := succeed(t)
		r.Listed = true
		r.ListingAgeMillis = (2 * time.Second).Milliseconds()
		h.cell.HandleReport(h.now, agent, *r)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord().crashes, 2)
	})
	t.Run("the runner is replaced", func(t *testing.T) {
		h, agent, r := succeed(t)
		h.replaced(agent, r)
		assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	})
	t.Run("the runner restarts under its id, elsewhere", func(t *testing.T) {
		h, _, r := succeed(t)
		r.Runner.Address = "elsewhere:80"
		r.Runner.Key.StartedAtMillis++
		r.Running = nil
		h.runners["x9"] = r
		h.report("x9")
		assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	})
}

// The lapses in a row must not make it larger than the store takes.
func TestLapsesFitIntoTheRow(t *testing.T) {
	spec := Spec{
		Steps: []Step{newStep(700, 100)},
	}
	h := newCrashHarness(t, 2)
	h.add("j", "checks", spec.Steps...)
	h.start("j.0.0.0")
	tasks := h.cell.jobs["j"].tasks()
	for lost := range 40 {
		key := framer.RunnerKey{
			ID:              fmt.Sprintf("i-%032d", lost),
			StartedAtMillis: h.now.UnixMilli(),
		}
		for _, task := range tasks {
			h.cell.lapses.add(h.now, key, "198.51.100.100:65535", task.taskState, crashRecord{
				crashes:   1,
				suspicion: sharedSuspicion,
			})
		}
	}
	p := h.cell.jobs["j"].progress()
	assert.Assert(t, len(p.Lapsed) > 0)
	assert.Assert(t, encodedSize(t, p) <= maxRowBytes)
	assert.Assert(t, p.size() <= maxRowBytes)
}

// A runner that announced its end must not count as crashed when it ends before its tasks.
func TestLeaseOfLeavingRunnerIsNoLapse(t *testing.T) {
	h := newCrashHarness(t, 3)
	h.add("j", "checks", newStep(1, 500))
	agent := h.start("j.0.0.0")
	h.runners[agent].Runner.Draining = true
	h.report(agent)
	h.cutOff(agent)
	assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord(), crashRecord{})
	assert.Assert(t, h.agentOf("j.0.0.0") != "", "it is started again")
}

// A runner that was only cut off must not be remembered as one that crashed under the task: its
// first crash would count as a repeated one, which says little, and the task start too often.
func TestRunnerThatIsBackHasNotCrashedBefore(t *testing.T) {
	h := newCrashHarness(t, 2)
	h.add("j", "checks", newStep(1, 500))
	agent := h.start("j.0.0.0")
	r := h.cutOff(agent)
	h.back(agent, r)
	assert.Equal(t, len(h.cell.taskByName("j.0.0.0").crashedAt), 0)
}

// A runner that is back after the job has ended must change nothing, and a lapse not outlive the
// task that it is about.
func TestLapseEndsWithItsTask(t *testing.T) {
	h := newCrashHarness(t, 3)
	h.add("j", "checks", newStep(1, 500))
	agent := h.start("j.0.0.0")
	r := h.cutOff(agent)
	next := h.start("j.0.0.0")
	h.finish(next, runRef("j.0.0.0", 2), framer.FinishDone)
	h.tickUntilIdle()
	assert.Assert(t, !h.cell.HasJob("j"), "it is completed")
	h.advance(time.Second)
	assert.Equal(t, len(h.cell.lapses.runners), 0)
	h.back(agent, r)
	assert.Equal(t, h.cell.Counts.GivenUp, int64(0))
}

// A restarted agent must not hide that its runner is the one that was cut off.
func TestRunnerIsBackWithRestartedAgent(t *testing.T) {
	h := newCrashHarness(t, 3)
	h.add("j", "checks", newStep(1, 500))
	agent := h.start("j.0.0.0")
	r := h.cutOff(agent)
	h.cell.AgentDisconnected(agent)
	h.back("restarted-"+agent, r)
	assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord(), crashRecord{})
}
