package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against a task that starts again after its end was acknowledged: a start reached
// the later incarnation of its runner, whose start time is the earlier one because the
// instance's time of day was set back.
func TestLaterIncarnationWithEarlierStartTimeTakesRuns(t *testing.T) {
	requested := func(t *testing.T) *cellHarness {
		h := newCellHarness(t, "a")
		h.runners["a"].Runner.Address = "10.0.0.1:80"
		h.advance(time.Second)
		h.add("j", "checks", newStep(1, 500))
		h.tickUntilIdle()
		assert.Equal(t, len(h.cell.Sync(h.now, "a", true).Starts), 1)
		return h
	}
	assertTaken := func(t *testing.T, h *cellHarness) {
		t.Helper()
		r := h.runners["a"]
		r.Runner.Key.StartedAtMillis--
		r.ClockMillis = 0
		h.finish("a", runRef("j.0.0.0", 1), framer.FinishDone)
		h.tickUntilIdle()
		assert.Equal(t, h.cell.Sync(h.now, "a", true).AckedSequence, int64(1))
		assert.Equal(t, h.cell.Counts.Done, int64(1))
	}
	t.Run("from the earlier one that its agent reported", func(t *testing.T) {
		assertTaken(t, requested(t))
	})
	t.Run("also if that agent was restarted meanwhile", func(t *testing.T) {
		h := requested(t)
		h.cell.AgentDisconnected("a")
		assertTaken(t, h)
	})
	t.Run("also if its owner was replaced meanwhile", func(t *testing.T) {
		h := requested(t)
		progress := h.cell.jobs["j"].progress()
		spec := h.cell.jobs["j"].spec
		h.cell = nextOwner(t, h.now.Add(testLease))
		h.cell.SetQueues(testQueues())
		h.cell.Load(h.now, spec, progress)
		assertTaken(t, h)
	})
}
