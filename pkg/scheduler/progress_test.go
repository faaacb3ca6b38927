package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// advanceWithProgress advances the time while the runs of the agent "x" make
// progress, except for the stalled ones.
func (f *cellFixture) advanceWithProgress(d time.Duration, stalled func(task string) bool) {
	for end := f.now.Add(d); f.now.Before(end); {
		running := f.runners["x"].Running
		for i := range running {
			running[i].Measurement = 10_000
			if !stalled(running[i].Task) {
				running[i].Percent = (running[i].Percent + 3) % 100
			}
		}
		f.advance(100 * time.Millisecond)
	}
}

// A runner may list its runs while none of them makes progress. Its tasks must
// be started elsewhere, without a false alarm after a gap between listings or
// for runs that are long-running or throttled.
func TestStalledRunnerIsQuarantined(t *testing.T) {
	all := func(string) bool { return true }
	newStalledRunner := func(t *testing.T, steps ...Step) *cellFixture {
		t.Helper()
		f := newCellFixture(t, "x")
		for i, step := range steps {
			f.add(fmt.Sprintf("j%d", i), "checks", step)
		}
		f.tickUntilIdle()
		f.acceptStarts("x")
		for i := range f.runners["x"].Running {
			f.runners["x"].Running[i].Percent = 0
		}
		return f
	}
	stops := func(f *cellFixture) []framer.RunRef { return f.cell.Sync(f.now, "x", true).Stops }
	t.Run("has its runs stopped within 2 s and gets no tasks", func(t *testing.T) {
		f := newStalledRunner(t, newStep(2, 1000))
		f.advanceWithProgress(2*time.Second, all)
		assert.Equal(t, len(stops(f)), 2)
		f.add("next", "checks", newStep(1, 1000))
		f.tickUntilIdle()
		assert.Equal(t, len(f.acceptStarts("x")), 0)
	})
	t.Run("gets one task after the quarantine", func(t *testing.T) {
		f := newStalledRunner(t, newStep(2, 1000))
		f.advanceWithProgress(2*time.Second, all)
		assert.Equal(t, f.cell.agents["x"].quarantine, minQuarantine, "regardless of the number of stalled runs")
		for _, ref := range stops(f) {
			f.finish("x", ref, framer.FinishStopped)
		}
		f.advance(minQuarantine)
		assert.Equal(t, len(f.acceptStarts("x")), 1)
	})
	t.Run("is not stalled while one of its runs makes progress", func(t *testing.T) {
		f := newStalledRunner(t, newStep(2, 1000))
		f.advanceWithProgress(5*time.Second, func(task string) bool { return task == "j0.0.0.0" })
		assert.Equal(t, len(stops(f)), 0)
	})
	t.Run("is not stalled after a gap between listings", func(t *testing.T) {
		f := newStalledRunner(t, newStep(2, 1000))
		f.advanceWithProgress(500*time.Millisecond, all)
		f.now = f.now.Add(10 * time.Second)
		f.report("x")
		assert.Equal(t, len(stops(f)), 0)
	})
	t.Run("is not stalled by long-running or throttled runs", func(t *testing.T) {
		longRunning := newStep(1, 1000)
		longRunning.LongRunning = true
		bestEffort := newStep(1, 32_000)
		bestEffort.BestEffort = true
		f := newStalledRunner(t, longRunning, bestEffort)
		f.advanceWithProgress(5*time.Second, all)
		assert.Equal(t, len(stops(f)), 0)
	})
}

// A long-running task never finishes, so it must not count as the single task
// that a runner gets after its quarantine. Otherwise the runner would get no
// more tasks.
func TestQuarantinedRunnerWithLongRunningTaskIsRetried(t *testing.T) {
	f := newCellFixture(t, "x")
	longRunning := newStep(1, 1000)
	longRunning.LongRunning = true
	f.add("s", "checks", longRunning)
	f.tickUntilIdle()
	f.acceptStarts("x")
	for i := range quarantineThreshold {
		f.add(fmt.Sprintf("f%d", i), "checks", newStep(1, 1000))
	}
	f.tickUntilIdle()
	f.acceptStarts("x")
	for i := range quarantineThreshold {
		f.finish("x", runRef(fmt.Sprintf("f%d.0.0.0", i), 1), framer.FinishFailed)
	}
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 0)
	f.advance(minQuarantine + time.Second)
	assert.Equal(t, len(f.acceptStarts("x")), 1)
}

func TestSlowRunnerIsChosenLast(t *testing.T) {
	f := newCellFixture(t, "x", "y")
	for i := range 4 {
		f.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 1000))
	}
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("x")), 2)
	assert.Equal(t, len(f.acceptStarts("y")), 2)
	percent := map[string]int{
		"x": 1,
		"y": 8,
	}
	for i := range 10 {
		for agent, by := range percent {
			for n := range f.runners[agent].Running {
				f.runners[agent].Running[n].Percent = i * by
			}
		}
		f.advance(100 * time.Millisecond)
	}
	// The slow runner has more free capacity.
	f.add("large", "checks", newStep(1, 5000))
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("y")), 1)
	f.add("next", "checks", newStep(2, 1000))
	f.tickUntilIdle()
	assert.Equal(t, len(f.acceptStarts("y")), 2)
	t.Run("but gets tasks that fit nowhere else", func(t *testing.T) {
		f.add("huge", "checks", newStep(1, 27_000))
		f.tickUntilIdle()
		assert.Equal(t, len(f.acceptStarts("x")), 1)
	})
	t.Run("and is no longer slow after a while", func(t *testing.T) {
		f.runners["x"].Running = nil
		f.advance(4 * speedHalfLife)
		assert.Assert(t, !f.cell.agents["x"].speed.slow(f.now))
	})
}

// Several runs that fail at the same time start one quarantine; they must not
// double it each.
func TestBurstOfFailuresQuarantinesOnce(t *testing.T) {
	f := newCellFixture(t, "x")
	for i := range 5 {
		f.add(fmt.Sprintf("f%d", i), "checks", newStep(1, 1000))
	}
	f.tickUntilIdle()
	f.acceptStarts("x")
	for i := range 5 {
		f.finish("x", runRef(fmt.Sprintf("f%d.0.0.0", i), 1), framer.FinishFailed)
	}
	assert.Equal(t, f.cell.agents["x"].quarantine, minQuarantine)
	t.Run("and a success resets the quarantine", func(t *testing.T) {
		x := f.cell.agents["x"]
		x.recordSuccess()
		assert.Assert(t, x.schedulable(f.now))
		x.recordFailure(f.now, "a")
		x.recordFailure(f.now, "b")
		assert.Assert(t, !x.schedulable(f.now))
		assert.Equal(t, x.quarantinedUntil, f.now.Add(minQuarantine))
	})
}
