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
func (h *cellHarness) advanceWithProgress(d time.Duration, stalled func(task string) bool) {
	for end := h.now.Add(d); h.now.Before(end); {
		running := h.runners["x"].Running
		for i := range running {
			running[i].Measurement = 10_000
			if !stalled(running[i].Task) {
				running[i].Percent = (running[i].Percent + 3) % 100
			}
		}
		h.advance(100 * time.Millisecond)
	}
}

// A runner may list its runs while none of them makes progress. Its tasks must
// be started elsewhere, without a false alarm after a gap between listings or
// for runs that are long-running or throttled.
func TestStalledRunnerIsQuarantined(t *testing.T) {
	all := func(string) bool { return true }
	newStalledRunner := func(t *testing.T, steps ...Step) *cellHarness {
		t.Helper()
		h := newCellHarness(t, "x")
		for i, step := range steps {
			h.add(fmt.Sprintf("j%d", i), "checks", step)
		}
		h.tickUntilIdle()
		h.acceptStarts("x")
		for i := range h.runners["x"].Running {
			h.runners["x"].Running[i].Percent = 0
		}
		return h
	}
	stops := func(h *cellHarness) []framer.RunRef { return h.cell.Sync(h.now, "x", true).Stops }
	t.Run("has its runs stopped within 2 s and gets no tasks", func(t *testing.T) {
		h := newStalledRunner(t, newStep(2, 1000))
		h.advanceWithProgress(2*time.Second, all)
		assert.Equal(t, len(stops(h)), 2)
		h.add("next", "checks", newStep(1, 1000))
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptStarts("x")), 0)
	})
	t.Run("gets one task after the quarantine", func(t *testing.T) {
		h := newStalledRunner(t, newStep(2, 1000))
		h.advanceWithProgress(2*time.Second, all)
		assert.Equal(t, h.cell.agents["x"].quarantine, minQuarantine, "regardless of the number of stalled runs")
		for _, ref := range stops(h) {
			h.finish("x", ref, framer.FinishStopped)
		}
		h.advance(minQuarantine)
		assert.Equal(t, len(h.acceptStarts("x")), 1)
	})
	t.Run("is not stalled while one of its runs makes progress", func(t *testing.T) {
		h := newStalledRunner(t, newStep(2, 1000))
		h.advanceWithProgress(5*time.Second, func(task string) bool { return task == "j0.0.0.0" })
		assert.Equal(t, len(stops(h)), 0)
	})
	t.Run("is not stalled after a gap between listings", func(t *testing.T) {
		h := newStalledRunner(t, newStep(2, 1000))
		h.advanceWithProgress(500*time.Millisecond, all)
		h.now = h.now.Add(10 * time.Second)
		h.report("x")
		assert.Equal(t, len(stops(h)), 0)
	})
	t.Run("is not stalled by long-running or throttled runs", func(t *testing.T) {
		longRunning := newStep(1, 1000)
		longRunning.LongRunning = true
		bestEffort := newStep(1, 32_000)
		bestEffort.BestEffort = true
		h := newStalledRunner(t, longRunning, bestEffort)
		h.advanceWithProgress(5*time.Second, all)
		assert.Equal(t, len(stops(h)), 0)
	})
}

// A long-running task never finishes, so it must not count as the single task
// that a runner gets after its quarantine. Otherwise the runner would get no
// more tasks.
func TestQuarantinedRunnerWithLongRunningTaskIsRetried(t *testing.T) {
	h := newCellHarness(t, "x")
	longRunning := newStep(1, 1000)
	longRunning.LongRunning = true
	h.add("s", "checks", longRunning)
	h.tickUntilIdle()
	h.acceptStarts("x")
	for i := range quarantineThreshold {
		// Something of these jobs runs all the time, so that they can wait.
		h.add(fmt.Sprintf("f%d", i), "checks", newStep(1, 1000), longRunning)
	}
	h.tickUntilIdle()
	h.acceptStarts("x")
	for i := range quarantineThreshold {
		h.finish("x", runRef(fmt.Sprintf("f%d.0.0.0", i), 1), framer.FinishFailed)
	}
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	h.advance(minQuarantine + time.Second)
	assert.Equal(t, len(h.acceptStarts("x")), 1)
}

func TestSlowRunnerIsChosenLast(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	for i := range 4 {
		h.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 1000))
	}
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 2)
	assert.Equal(t, len(h.acceptStarts("y")), 2)
	percent := map[string]int{
		"x": 1,
		"y": 8,
	}
	for i := range 10 {
		for agent, by := range percent {
			for n := range h.runners[agent].Running {
				h.runners[agent].Running[n].Percent = i * by
			}
		}
		h.advance(100 * time.Millisecond)
	}
	// The slow runner has more free capacity.
	h.add("large", "checks", newStep(1, 5000))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("y")), 1)
	h.add("next", "checks", newStep(2, 1000))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("y")), 2)
	t.Run("but gets tasks that fit nowhere else", func(t *testing.T) {
		h.add("huge", "checks", newStep(1, 27_000))
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptStarts("x")), 1)
	})
	t.Run("and is no longer slow after a while", func(t *testing.T) {
		h.runners["x"].Running = nil
		h.advance(4 * speedHalfLife)
		assert.Assert(t, !h.cell.agents["x"].speed.slow(h.now))
	})
}

// Several runs that fail at the same time start one quarantine; they must not
// double it each.
func TestBurstOfFailuresQuarantinesOnce(t *testing.T) {
	h := newCellHarness(t, "x")
	for i := range 5 {
		h.add(fmt.Sprintf("f%d", i), "checks", newStep(1, 1000))
	}
	h.tickUntilIdle()
	h.acceptStarts("x")
	for i := range 5 {
		h.finish("x", runRef(fmt.Sprintf("f%d.0.0.0", i), 1), framer.FinishFailed)
	}
	assert.Equal(t, h.cell.agents["x"].quarantine, minQuarantine)
	t.Run("and a success resets the quarantine", func(t *testing.T) {
		x := h.cell.agents["x"]
		x.recordSuccess()
		assert.Assert(t, x.schedulable(h.now))
		x.recordFailure(h.now, "a")
		x.recordFailure(h.now, "b")
		assert.Assert(t, !x.schedulable(h.now))
		assert.Equal(t, x.quarantinedUntil, h.now.Add(minQuarantine))
	})
}
