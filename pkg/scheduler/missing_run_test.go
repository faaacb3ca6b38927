package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// startedTask returns a harness with one runner that runs the only task of a job.
func startedTask(t *testing.T) *cellHarness {
	t.Helper()
	h := newCellHarness(t, "x")
	step := newStep(1, 500)
	step.LongRunning = true
	h.add("j", "checks", step)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	return h
}

// stops returns the runs that the agent of the runner is requested to stop.
func (h *cellHarness) stops() []framer.RunRef {
	return h.cell.Sync(h.now, "x", true).Stops
}

// A run whose end is never listed must not count as running for ever: a delayed
// acknowledgement makes the next incarnation forget ends that nobody has read.
func TestRunMissingFromListingsIsStopped(t *testing.T) {
	one := runRef("j.0.0.0", 1)
	t.Run("after it was listed", func(t *testing.T) {
		h := startedTask(t)
		h.runners["x"].Running = nil
		h.advance(maxMissing / 2)
		assert.Equal(t, len(h.stops()), 0, "an end may be listed soon")
		h.advance(maxMissing)
		assert.DeepEqual(t, h.stops(), []framer.RunRef{one})
		h.runners["x"].Finished = []framer.FinishedRun{{
			RunRef: one,
			Reason: framer.FinishNeverStarted,
		}}
		h.report("x")
		h.tickUntilIdle()
		assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 2)})
	})
	t.Run("after its start was accepted", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.add("j", "checks", newStep(1, 500))
		h.tickUntilIdle()
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 1)
		h.runners["x"].Started = []framer.RunRef{one}
		h.advance(2 * maxMissing)
		assert.DeepEqual(t, h.stops(), []framer.RunRef{one})
	})
	t.Run("but not while it is listed", func(t *testing.T) {
		h := startedTask(t)
		h.advance(3 * maxMissing)
		assert.Equal(t, len(h.stops()), 0)
	})
	t.Run("nor because listings are missing", func(t *testing.T) {
		h := startedTask(t)
		r := h.runners["x"]
		r.Running = nil
		delete(h.runners, "x")
		h.cell.HandleReport(h.now, "x", *r)
		h.advance(2 * maxMissing)
		r.ListingAgeMillis = (2 * maxMissing).Milliseconds()
		h.cell.HandleReport(h.now, "x", *r)
		assert.Equal(t, len(h.stops()), 0)
	})
	t.Run("nor when it is listed again", func(t *testing.T) {
		h := startedTask(t)
		r := h.runners["x"]
		running := r.Running
		for range 5 {
			r.Running = nil
			h.advance(maxMissing / 2)
			r.Running = running
			h.advance(100 * time.Millisecond)
		}
		assert.Equal(t, len(h.stops()), 0)
	})
}
