package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// lateCrash is the age at which a run that survives its start crashes its runner.
const lateCrash = 600 * time.Millisecond

// startBeside lets a task start, and another one beside it later whose start explains a
// crash of the runner. It returns the agent.
func (h *crashHarness) startBeside(name, other string, age time.Duration) string {
	h.t.Helper()
	agent := h.start(name)
	h.advance(age)
	h.add(other, "checks", newStep(1, 500))
	assert.Equal(h.t, h.start(other+".0.0.0"), agent)
	return agent
}

// complete lets a task run that has crashed with its runner once.
func (h *crashHarness) complete(other string, delay time.Duration) {
	h.t.Helper()
	h.advance(delay)
	agent := h.start(other + ".0.0.0")
	h.finish(agent, framer.RunRef{
		Task: other + ".0.0.0",
		Run:  2,
	}, framer.FinishDone)
	h.tickUntilIdle()
}

// A task that crashes its runners some time after its start must be given up although other
// tasks start beside it all the time, before it is started for the third time after three
// crashes.
func TestTaskThatCrashesRunnersLateIsGivenUp(t *testing.T) {
	const age = maxLastTrial + time.Second
	h := newCrashHarness(t, 1)
	h.add("j", "checks", newStep(1, 500))
	for i := range maxCrashes {
		assert.Equal(t, h.cell.Counts.GivenUp, int64(0), "after %d crashes", i)
		sound := fmt.Sprintf("sound-%d", i)
		h.crash(h.startBeside("j.0.0.0", sound, age))
		delay := suspectDelay + maxLastTrial
		if i == maxCrashes-1 {
			assert.Equal(t, h.agentOf("j.0.0.0"), "", "it waits for what the last crash turns out to be")
			delay = suspectDelay
		}
		h.complete(sound, delay)
	}
	assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	assert.Assert(t, !h.cell.HasJob("j"), "the job has ended and its row is written")
	for i := range maxCrashes {
		assert.Assert(t, !h.cell.HasJob(fmt.Sprintf("sound-%d", i)), "it is done")
	}
}

// A task that is given up after another crash must be tried alone for longer, so that no
// other task is taken for the cause of that crash.
func TestLastTrialOfTaskThatCrashesRunnersLate(t *testing.T) {
	h := newCrashHarness(t, 3)
	drain := func(draining bool) {
		for _, agent := range []string{"x1", "x2"} {
			h.runners[agent].Runner.Draining = draining
			h.report(agent)
		}
	}
	drain(true)
	h.add("j", "checks", newStep(1, 500))
	for i := range maxCrashes - 1 {
		sound := fmt.Sprintf("sound-%d", i)
		agent := h.startBeside("j.0.0.0", sound, lateCrash)
		if i == maxCrashes-2 {
			drain(false)
		}
		h.crash(agent)
		if i < maxCrashes-2 {
			h.complete(sound, suspectDelay)
		}
	}
	agent := h.start("j.0.0.0")
	assert.Assert(t, agent != "x0", "x0 has crashed under it")
	h.advance(lateCrash)
	h.add("k", "checks", newStep(30, 1000))
	h.tickUntilIdle()
	assert.Equal(t, len(h.cell.taskByName("j.0.0.0").runner.tasks), 1)
	h.crash(agent)
	assert.Equal(t, h.agentOf("j.0.0.0"), "", "it waits for what the crash before turns out to be")
	h.complete(fmt.Sprintf("sound-%d", maxCrashes-2), 0)
	assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	assert.Assert(t, !h.cell.HasJob("j"))
}

// A crash that another start explains must count once that start is refuted, also for the
// next owner. Until then, or if the other task is given up, it must not.
func TestExplainedCrash(t *testing.T) {
	const sound, other = "sound.0.0.0", "j.0.0.0"
	explained := func(t *testing.T) *crashHarness {
		h := newCrashHarness(t, 1)
		h.add("sound", "checks", newStep(1, 500))
		h.start(sound)
		h.advance(time.Second)
		h.add("j", "checks", newStep(1, 500))
		h.crash(h.start(other))
		assert.Equal(t, h.cell.taskByName(sound).record, crashRecord{})
		assert.Equal(t, h.cell.taskByName(sound).unexplained, 1)
		return h
	}
	t.Run("the other task survives a start", func(t *testing.T) {
		h := explained(t)
		h.advance(suspectDelay)
		h.start(other)
		h.advance(minSurvival + 200*time.Millisecond)
		assert.Equal(t, h.cell.taskByName(sound).unexplained, 0)
		next := NewCell(Config{
			Epoch:           2,
			Assert:          strictAsserter(t),
			Lease:           testLease,
			FormerLeasesEnd: h.now,
		})
		next.Load(h.now, h.cell.jobs["sound"].spec, h.cell.jobs["sound"].progress())
		assert.Equal(t, next.taskByName(sound).record, crashRecord{
			explained: 1,
		})
		assert.Assert(t, !next.taskByName(sound).record.suspect())
	})
	t.Run("the other task is given up", func(t *testing.T) {
		h := explained(t)
		h.finish(h.start(sound), framer.RunRef{
			Task: sound,
			Run:  2,
		}, framer.FinishFailed)
		for range maxCrashes {
			if h.cell.HasJob("j") {
				h.advance(suspectDelay + maxTrial)
				h.crash(h.start(other))
			}
		}
		assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
		assert.Assert(t, !h.cell.HasJob("j"))
		assert.Equal(t, h.cell.taskByName(sound).unexplained, 0)
		assert.Equal(t, h.cell.taskByName(sound).record.explained, 0)
	})
	t.Run("the task itself works for longer", func(t *testing.T) {
		h := explained(t)
		h.advance(suspectDelay)
		h.start(other)
		h.start(sound)
		h.advance(4 * time.Second)
		assert.Equal(t, h.cell.taskByName(sound).record, crashRecord{})
	})
}

// A start that is alone on its runner must not be blamed if another run there was at the
// earlier crash too.
func TestTwoTasksThatCrashTogetherAreNotToldApart(t *testing.T) {
	h := newCrashHarness(t, 1)
	h.add("late", "checks", newStep(1, 500))
	for _, address := range []string{"x0:80", "x0:81"} {
		agent := h.start("late.0.0.0")
		h.runners[agent].Runner.Address = address
		h.advance(lateCrash)
		if !h.cell.HasJob("sound") {
			h.add("sound", "checks", newStep(1, 500))
		}
		assert.Equal(t, h.start("sound.0.0.0"), agent)
		h.crash(agent)
	}
	assert.Equal(t, h.cell.taskByName("late.0.0.0").unexplained, 2)
	r := h.cell.taskByName("sound.0.0.0").record
	assert.Equal(t, r.crashes, 2)
	assert.Assert(t, !r.conclusive(), "%v", r)
}

// A long-running task that crashes its runners after a long time at work must be given up,
// and one that outlasts its crashes must not.
func TestLongRunningTaskThatCrashesRunners(t *testing.T) {
	play := func(t *testing.T, ages ...time.Duration) *crashHarness {
		h := newCrashHarness(t, 2)
		h.add("j", "checks", newLongRunningStep(500))
		for _, age := range ages {
			agent := h.start("j.0.0.0")
			h.advance(age)
			h.crash(agent)
			h.advance(suspectDelay + time.Second)
		}
		return h
	}
	const age = provenWork + time.Second
	t.Run("at the same age", func(t *testing.T) {
		h := play(t, age, age, age, age, age)
		assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
		assert.Assert(t, !h.cell.HasJob("j"))
	})
	t.Run("soon after its start", func(t *testing.T) {
		h := play(t, lateCrash, lateCrash, lateCrash, lateCrash, lateCrash)
		assert.Equal(t, h.cell.Counts.GivenUp, int64(1))
	})
	t.Run("once it has worked for longer", func(t *testing.T) {
		h := play(t, age, age, age, age, crashAgeFactor*age+2*time.Second)
		assert.Equal(t, h.cell.Counts.GivenUp, int64(0))
		assert.Equal(t, h.state("j"), StateRunning)
	})
	t.Run("after a minute each", func(t *testing.T) {
		const long = maxProvingWork + 2*time.Second
		h := play(t, long, long, long, long, long, long)
		assert.Equal(t, h.cell.Counts.GivenUp, int64(0))
		assert.Equal(t, h.state("j"), StateRunning)
	})
}
