package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

func TestLostRunner(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	lost, other := "x", "y"
	if len(h.acceptStarts("x")) == 0 {
		lost, other = "y", "x"
		h.acceptStarts("y")
	}
	h.cell.Sync(h.now, lost, true)
	silent := h.runners[lost]
	delete(h.runners, lost)
	h.cell.AgentDisconnected(lost)
	t.Run("keeps its tasks until its lease expires", func(t *testing.T) {
		h.advance(testLease)
		assert.Equal(t, len(h.acceptStarts(other)), 0)
	})
	t.Run("loses its tasks once the lease has expired", func(t *testing.T) {
		h.advance(time.Second)
		assert.DeepEqual(t, h.acceptStarts(other), []framer.RunRef{runRef("j.0.0.0", 2)})
	})
	t.Run("and its reports of the former run are ignored", func(t *testing.T) {
		h.runners[lost] = silent
		h.report(lost)
		h.finish(lost, runRef("j.0.0.0", 1), framer.FinishDone)
		h.tickUntilIdle()
		assert.Equal(t, h.state("j"), StateRunning)
		assertWithheld(t, h, lost)
	})
	t.Run("until the runner's clock proves that its lease has expired", func(t *testing.T) {
		h.readClock(lost, h.grantedUntil(lost)+1)
		assertWithheld(t, h, lost)
		h.readClock(lost, h.grantedUntil(lost)+1+leaser.SettleMillis)
		sync := h.cell.Sync(h.now, lost, true)
		assert.Equal(t, sync.AckedSequence, int64(1))
		assert.Assert(t, sync.LeaseUntilMillis > 0)
	})
}

// A runner that restarts has lost its runs, which start again at once. A
// delayed start request may still reach the new incarnation, so a recent run is
// stopped there first.
func TestRestartedRunner(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	h.advance(maxCallDelay + time.Second)
	h.add("k", "checks", newStep(1, 500))
	h.tickUntilIdle()
	// The runner listed one run long ago and was requested to start another,
	// then restarted with the same id.
	h.cell.Sync(h.now, "x", true)
	r := h.runners["x"]
	r.Runner.Key.StartedAtMillis = 2000
	r.ClockMillis = 5
	r.Running = nil
	h.report("x")
	h.tickUntilIdle()
	h.cell.SetEpoch(2)
	sync := h.cell.Sync(h.now, "x", true)
	assert.DeepEqual(t, sync.Stops, []framer.RunRef{runRef("k.0.0.0", 1)})
	assert.Equal(t, len(sync.Starts), 1)
	assert.Equal(t, sync.Starts[0].RunRef, runRef("j.0.0.0", 2))
	t.Run("an unconfirmed run starts again once its stop is confirmed", func(t *testing.T) {
		r.Finished = []framer.FinishedRun{{
			RunRef: runRef("k.0.0.0", 1),
			Reason: framer.FinishNeverStarted,
		}}
		h.report("x")
		h.tickUntilIdle()
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 2)
	})
}

// Guards against a task that runs twice because a runner is taken for replaced by another
// one at its address, or under its id, that has answered no call.
func TestRunnerThatHasListedNothingReplacesNone(t *testing.T) {
	for name, id := range map[string]string{
		"at the same address": "i-other",
		"under the same id":   "i-x",
	} {
		t.Run(name, func(t *testing.T) {
			h := newCellHarness(t, "x", "y")
			r := h.runners["x"]
			r.Runner.Address = "10.0.0.1:80"
			h.report("x")
			h.cell.AgentDisconnected("y")
			h.add("j", "checks", newStep(1, 500))
			h.tickUntilIdle()
			assert.Equal(t, len(h.acceptStarts("x")), 1)
			h.report("y")
			other := framer.Report{
				Runner: r.Runner,
			}
			other.Runner.Key = framer.RunnerKey{
				ID:              id,
				StartedAtMillis: 2000,
			}
			h.cell.HandleReport(h.now, "x", other)
			h.tickUntilIdle()
			assert.Equal(t, len(h.acceptStarts("y")), 0)
			assert.Equal(t, h.cell.Counts.Lost, int64(0))
			other.Listed = true
			h.cell.HandleReport(h.now, "x", other)
			h.tickUntilIdle()
			assert.Equal(t, h.cell.Counts.Crashes, int64(1))
		})
	}
}

func TestNewRunnerAtSameAddress(t *testing.T) {
	h := newCellHarness(t, "x")
	r := h.runners["x"]
	r.Runner.Address = "10.0.0.1:80"
	h.report("x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	r.Runner.Key = framer.RunnerKey{
		ID:              "i-other",
		StartedAtMillis: 2000,
	}
	r.ClockMillis = 5
	r.Running = nil
	h.report("x")
	h.tickUntilIdle()
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 2)})
}
