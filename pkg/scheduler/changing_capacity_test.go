package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against starts beyond the capacity of a runner that shrank between the choice of
// the runner and the start, and against capacity that stays unused once it is back.
func TestStartsAreWithdrawnFromShrunkRunner(t *testing.T) {
	shrink := func(h *cellHarness, millis int64) {
		h.runners["x"].Runner.ProcessorMillis = millis
		h.report("x")
	}
	placed := func(t *testing.T) *cellHarness {
		h := newCellHarness(t, "x")
		h.add("j", "checks", newStep(1, 20_000))
		h.tickUntilIdle()
		assert.Assert(t, h.cell.taskByName("j.0.0.0").runner != nil)
		return h
	}
	t.Run("a start that was never sent is taken back", func(t *testing.T) {
		h := placed(t)
		shrink(h, 10_000)
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 0)
		assert.Assert(t, h.cell.taskByName("j.0.0.0").runner == nil)
	})
	t.Run("a start that may have been sent is stopped", func(t *testing.T) {
		h := placed(t)
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 1)
		shrink(h, 10_000)
		sync := h.cell.Sync(h.now, "x", true)
		assert.Equal(t, len(sync.Starts), 0)
		assert.DeepEqual(t, sync.Stops, []framer.RunRef{runRef("j.0.0.0", 1)})
	})
	t.Run("a run that was accepted goes on", func(t *testing.T) {
		h := placed(t)
		h.acceptStarts("x")
		shrink(h, 10_000)
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Stops), 0)
	})
	t.Run("what is being stopped still counts", func(t *testing.T) {
		h := placed(t)
		h.acceptStarts("x")
		h.cell.Cancel(h.now, "j")
		shrink(h, 24_000)
		h.add("k", "checks", newStep(1, 10_000))
		h.tickUntilIdle()
		assert.Assert(t, h.cell.taskByName("k.0.0.0").runner == nil)
		h.finish("x", runRef("j.0.0.0", 1), framer.FinishStopped)
		h.tickUntilIdle()
		assert.Assert(t, h.cell.taskByName("k.0.0.0").runner != nil)
	})
	t.Run("capacity that is back is used", func(t *testing.T) {
		h := newCellHarness(t, "x")
		shrink(h, 10_000)
		h.add("j", "checks", newStep(1, 20_000))
		h.tickUntilIdle()
		assert.Assert(t, h.cell.taskByName("j.0.0.0").runner == nil)
		shrink(h, 32_000)
		h.now = h.now.Add(placementInterval)
		h.tickUntilIdle()
		assert.Assert(t, h.cell.taskByName("j.0.0.0").runner != nil)
	})
}
