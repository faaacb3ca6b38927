package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// longRunningStep returns a step of tasks that run until the job is cancelled.
func longRunningStep(count, processorMillis int) Step {
	step := newStep(count, processorMillis)
	step.LongRunning = true
	return step
}

// quarantineAll lets the runs of several jobs fail on each runner, again after
// each quarantine, until all quarantines are the given ones or longer. It leaves
// no run.
func (h *cellHarness) quarantineAll(length time.Duration) {
	for agent := range h.runners {
		s := h.cell.agents[agent]
		for s.quarantine < length {
			h.now = maxTime(h.now, s.quarantinedUntil)
			for i := range quarantineThreshold {
				s.recordFailure(h.now, fmt.Sprintf("failed-%s-%d", agent, i))
			}
		}
		h.report(agent)
	}
}

// waitForStarts advances the time, for d at most, until the agents were
// requested to start n runs, and accepts them. It returns the time that this
// took.
func (h *cellHarness) waitForStarts(n int, d time.Duration) (waited time.Duration) {
	h.t.Helper()
	from := h.now
	h.tickUntilIdle()
	for starts := len(h.acceptAllStarts()); starts < n; starts += len(h.acceptAllStarts()) {
		assert.Assert(h.t, h.now.Sub(from) < d, "%d of %d runs started within %s", starts, n, d)
		h.advance(100 * time.Millisecond)
	}
	return h.now.Sub(from)
}

// A quarantine lasts up to a minute and so may outlive its cause. A task must
// not wait for its end while all runners with room are quarantined.
func TestQuarantineDoesNotKeepTasksWaiting(t *testing.T) {
	// startWithin is how long a task may be missing while there is room for it.
	const startWithin = 3 * time.Second
	t.Run("long-running tasks start on quarantined runners", func(t *testing.T) {
		h := newCellHarness(t, "x", "y")
		h.quarantineAll(maxQuarantine)
		h.add("l", "reviews", longRunningStep(4, 500))
		h.waitForStarts(4, startWithin)
	})
	t.Run("a job with nothing running starts there too", func(t *testing.T) {
		h := newCellHarness(t, "x", "y")
		h.quarantineAll(maxQuarantine)
		h.add("j", "reviews", newStep(4, 500))
		h.waitForStarts(1, startWithin)
		h.advance(startWithin)
		assert.Equal(t, len(h.acceptAllStarts()), 0, "the other tasks wait")
	})
	t.Run("a gang with nothing running starts there too", func(t *testing.T) {
		h := newCellHarness(t, "x", "y")
		h.quarantineAll(maxQuarantine)
		gang := newStep(4, 500)
		gang.Gang = true
		h.add("g", "reviews", gang)
		h.waitForStarts(4, startWithin)
	})
	t.Run("a finite task does not keep others off after the quarantine", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.quarantineAll(minQuarantine)
		h.advance(minQuarantine + time.Second)
		h.add("j", "checks", newStep(1, 500))
		h.waitForStarts(1, startWithin)
		h.add("l", "reviews", longRunningStep(1, 500))
		h.waitForStarts(1, startWithin)
	})
	t.Run("a runner gets one task at a time", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.quarantineAll(maxQuarantine)
		h.add("l", "reviews", longRunningStep(3, 500))
		first := h.waitForStarts(1, startWithin)
		assert.Assert(t, first >= maxQuarantineWait)
		assert.Assert(t, h.waitForStarts(1, startWithin) >= longRunningProbeInterval)
		assert.Assert(t, h.waitForStarts(1, startWithin) >= longRunningProbeInterval)
	})
	t.Run("a runner gets finite tasks more slowly", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.quarantineAll(maxQuarantine)
		h.add("j", "checks", newStep(1, 500))
		h.add("k", "checks", newStep(1, 500))
		h.waitForStarts(1, startWithin)
		assert.Assert(t, h.waitForStarts(1, startWithin) >= finiteProbeInterval)
	})
	t.Run("a runner that takes tasks is preferred", func(t *testing.T) {
		h := newCellHarness(t, "x", "y")
		h.quarantineAll(maxQuarantine)
		h.cell.agents["y"].recordSuccess()
		h.add("l", "checks", longRunningStep(8, 4000))
		h.waitForStarts(8, placementInterval)
		assert.Equal(t, len(h.runners["y"].Running), 8)
	})
	t.Run("a runner on which the task failed is chosen last", func(t *testing.T) {
		h := newCellHarness(t, "x", "y")
		h.quarantineAll(maxQuarantine)
		h.add("l", "checks", longRunningStep(1, 500))
		h.waitForStarts(1, startWithin)
		from, to := "x", "y"
		if len(h.runners["x"].Running) == 0 {
			from, to = "y", "x"
		}
		h.finish(from, runRef("l.0.0.0", 1), framer.FinishFailed)
		h.waitForStarts(1, startWithin+longRunningRestartDelay)
		assert.Equal(t, len(h.runners[to].Running), 1)
	})
}
