package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// crashHarness is a harness whose runners can crash.
type crashHarness struct {
	*cellHarness
	lives int64
}

func newCrashHarness(t *testing.T, runners int) *crashHarness {
	t.Helper()
	agents := make([]string, runners)
	for i := range agents {
		agents[i] = fmt.Sprintf("x%d", i)
	}
	h := &crashHarness{
		cellHarness: newCellHarness(t, agents...),
	}
	for agent, r := range h.runners {
		r.Runner.Address = agent + ":80"
		h.report(agent)
	}
	return h
}

// crash reports that an agent's runner refuses calls, and replaces it by another one at
// its address.
func (h *crashHarness) crash(agent string) {
	h.lives++
	r := h.runners[agent]
	r.Unanswered = true
	r.Listed = false
	h.cell.HandleReport(h.now, agent, *r)
	r.Unanswered = false
	r.Runner.Draining = false
	r.Runner.Key = framer.RunnerKey{
		ID:              fmt.Sprintf("i-%s-%d", agent, h.lives),
		StartedAtMillis: 1000 + 1000*h.lives,
	}
	r.ClockMillis = 5
	r.Running = nil
	r.Finished = nil
	h.report(agent)
	h.tickUntilIdle()
}

// agentOf returns the agent of the runner that has a task, or nothing.
func (h *crashHarness) agentOf(name string) string {
	if t := h.cell.taskByName(name); t != nil && t.runner != nil {
		return t.runner.agent
	}
	return ""
}

// start lets all runners accept what they are to start, and returns the agent of the
// one that has a task.
func (h *crashHarness) start(name string) string {
	h.t.Helper()
	h.tickUntilIdle()
	h.acceptAllStarts()
	agent := h.agentOf(name)
	assert.Assert(h.t, agent != "", "%s has no runner", name)
	return agent
}

// A task that crashes each runner that starts it must not be started without end.
func TestTaskThatCrashesRunnersIsGivenUp(t *testing.T) {
	h := newCrashHarness(t, 4)
	h.add("j", "checks", newStep(1, 500))
	h.crash(h.start("j.0.0.0"))
	assert.Equal(t, h.state("j"), StateRunning)
	h.advance(suspectDelay)
	h.crash(h.start("j.0.0.0"))
	assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	assert.Equal(t, h.cell.Counts.Crashes, int64(2))
	assert.Assert(t, !h.cell.HasJob("j"), "the job has ended and its row is written")
}

// The count of crashes must survive a change of the owner, which the task may cause or
// outlive.
func TestCrashRecordSurvivesItsOwner(t *testing.T) {
	h := newCrashHarness(t, 4)
	h.add("j", "checks", newStep(1, 500), newStep(2, 500))
	h.crash(h.start("j.0.0.0"))
	p := h.cell.jobs["j"].progress()
	assert.DeepEqual(t, p.Crashes, []byte{1, 0, 0})
	assert.DeepEqual(t, p.Suspicions, []byte{sharedSuspicion, 0, 0})
	next := nextOwner(t, h.now)
	next.Load(h.now, h.cell.jobs["j"].spec, p)
	assert.Equal(t, next.taskByName("j.0.0.0").record, crashRecord{
		crashes:   1,
		suspicion: sharedSuspicion,
	})
}

// A sound task must not be given up for crashes that it has nothing to do with.
func TestSoundTaskIsNotBlamedForCrashesBesideIt(t *testing.T) {
	t.Run("a run that survived its start is not evidence", func(t *testing.T) {
		h := newCrashHarness(t, 8)
		h.add("j", "checks", newStep(1, 500))
		for range maxCrashes - 1 {
			agent := h.start("j.0.0.0")
			h.advance(time.Second)
			h.crash(agent)
			h.advance(time.Second)
			assert.Equal(t, h.cell.taskByName("j.0.0.0").record.suspicion, 0)
		}
		assert.Equal(t, h.state("j"), StateRunning)
	})
	t.Run("a run that survives its start refutes the suspicion", func(t *testing.T) {
		h := newCrashHarness(t, 4)
		h.add("j", "checks", newStep(1, 500))
		h.crash(h.start("j.0.0.0"))
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record.suspicion, sharedSuspicion)
		h.advance(suspectDelay)
		h.start("j.0.0.0")
		h.advance(time.Second)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{
			crashes: 1,
		})
	})
	t.Run("long work of a long-running task clears its record", func(t *testing.T) {
		h := newCrashHarness(t, 4)
		step := newStep(1, 500)
		step.LongRunning = true
		h.add("j", "checks", step)
		h.crash(h.start("j.0.0.0"))
		h.advance(suspectDelay)
		h.start("j.0.0.0")
		h.advance(soundWork + time.Second)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{})
	})
	t.Run("a runner that crashes again says little", func(t *testing.T) {
		h := newCrashHarness(t, 1)
		h.add("j", "checks", newStep(1, 500))
		h.crash(h.start("j.0.0.0"))
		h.advance(suspectDelay)
		h.crash(h.start("j.0.0.0"))
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{
			crashes:   2,
			suspicion: sharedSuspicion + doubtfulSuspicion,
		})
	})
	t.Run("a runner that is silent for long before it is replaced may have been cut off", func(t *testing.T) {
		h := newCrashHarness(t, 2)
		h.add("j", "checks", newStep(1, 500))
		agent := h.start("j.0.0.0")
		h.now = h.now.Add(maxCrashDelay + time.Millisecond)
		h.crash(agent)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{
			crashes:   1,
			suspicion: doubtfulSuspicion,
		})
	})
	t.Run("a run that survived its start beside another start is counted and not suspected", func(t *testing.T) {
		h := newCrashHarness(t, 1)
		h.add("sound", "checks", newStep(1, 500))
		h.start("sound.0.0.0")
		h.advance(time.Second)
		h.add("j", "checks", newStep(1, 500))
		h.crash(h.start("j.0.0.0"))
		assert.Equal(t, h.cell.taskByName("sound.0.0.0").record, crashRecord{
			crashes: 1,
		})
		assert.Assert(t, !h.cell.taskByName("sound.0.0.0").suspect())
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{
			crashes:   1,
			suspicion: sharedSuspicion,
		})
	})
	t.Run("a runner that announced its end did not crash", func(t *testing.T) {
		h := newCrashHarness(t, 2)
		h.add("j", "checks", newStep(1, 500))
		agent := h.start("j.0.0.0")
		h.runners[agent].Runner.Draining = true
		h.report(agent)
		h.crash(agent)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{})
		assert.Equal(t, h.cell.Counts.Crashes, int64(0))
	})
}

// Tasks that were lost with a suspect must not start beside it again, or each crash
// makes suspects of all of them.
func TestSuspectIsTriedAlone(t *testing.T) {
	h := newCrashHarness(t, 4)
	h.add("a", "checks", newStep(1, 500))
	agent := h.start("a.0.0.0")
	h.advance(time.Second)
	h.add("j", "checks", newStep(4, 500))
	h.start("j.0.0.0")
	suspect := ""
	for i := range 4 {
		if name := fmt.Sprintf("j.0.0.%d", i); h.agentOf(name) == agent {
			suspect = name
		}
	}
	assert.Assert(t, suspect != "", "a task starts beside the first one")
	h.crash(agent)
	h.add("k", "checks", newStep(12, 500))
	h.advance(suspectDelay)
	h.start(suspect)
	s := h.cell.taskByName(suspect).runner
	assert.Assert(t, s.agent != agent, "it is tried on another runner")
	assert.Equal(t, s.suspects().unproven, 1, "no other run there may have caused a crash")
	assert.Assert(t, s.onTrial(h.now))
	h.advance(time.Second)
	assert.Assert(t, !s.onTrial(h.now), "the run has survived its start")
}

// All members of a gang are lost with the one that crashes its runner; only that one
// counts again and again.
func TestGangWithMemberThatCrashesRunnersIsGivenUp(t *testing.T) {
	h := newCrashHarness(t, 4)
	step := newStep(3, 20_000)
	step.Gang = true
	h.add("g", "checks", step)
	for range maxCrashes {
		if !h.cell.HasJob("g") {
			break
		}
		agent := h.start("g.0.0.1")
		h.crash(agent)
		for other, r := range h.runners {
			for _, status := range append([]framer.RunStatus(nil), r.Running...) {
				h.finish(other, status.RunRef, framer.FinishGangBroken)
			}
		}
		h.advance(maxTrial + suspectDelay)
	}
	assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	assert.Assert(t, h.cell.Counts.Crashes <= 3)
}

// A crash must be counted although the runner is back only after its lease, and the end
// of a lease must not be taken for a crash if the runner was merely cut off.
func TestEndOfLeaseCountsAsCrashUntilRefuted(t *testing.T) {
	silence := func(t *testing.T) (h *crashHarness, agent string, r *framer.Report) {
		h = newCrashHarness(t, 3)
		h.add("j", "checks", newStep(1, 500))
		agent = h.start("j.0.0.0")
		r = h.runners[agent]
		delete(h.runners, agent)
		h.cell.AgentDisconnected(agent)
		h.advance(MaxLease(testLease) + time.Second)
		lost := h.cell.taskByName("j.0.0.0")
		assert.Equal(t, lost.presumedRecord(), crashRecord{
			crashes:   1,
			suspicion: doubtfulSuspicion,
		})
		assert.Equal(t, lost.record, crashRecord{}, "nothing is proven")
		return h, agent, r
	}
	t.Run("the runner is replaced", func(t *testing.T) {
		h, agent, r := silence(t)
		h.runners[agent] = r
		h.crash(agent)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").record, crashRecord{
			crashes:   1,
			suspicion: doubtfulSuspicion,
		}, "it is counted once")
		assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord().crashes, 1)
	})
	t.Run("the runner is back", func(t *testing.T) {
		h, agent, r := silence(t)
		h.runners[agent] = r
		r.Running = nil
		h.report(agent)
		assert.Equal(t, h.cell.taskByName("j.0.0.0").presumedRecord(), crashRecord{})
	})
}

// A long-running suspect must not be tried on a runner that restarted a moment ago, since
// it would wait there for long if that was lost.
func TestLongRunningSuspectAvoidsRestartedRunner(t *testing.T) {
	h := newCrashHarness(t, 3)
	h.add("j", "checks", newLongRunningStep(500))
	assert.Equal(t, h.start("j.0.0.0"), "x0")
	load := newLongRunningStep(500)
	load.Requires = "rack-2"
	h.add("load", "checks", load)
	assert.Equal(t, h.start("load.0.0.0"), "x2")
	h.runners["x1"].Runner.Key.StartedAtMillis += 500_000
	h.report("x1")
	h.crash("x0")
	h.advance(suspectDelay + maxTrial)
	assert.Equal(t, h.agentOf("j.0.0.0"), "x2", "x0 crashed under it, and x1 restarted")
}
