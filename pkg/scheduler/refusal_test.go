package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// refuseStarts reports the starts that an agent is requested as never started, and
// returns how many these were.
func (h *cellHarness) refuseStarts(agent string) int {
	r := h.runners[agent]
	r.Finished = nil
	for _, s := range h.cell.Sync(h.now, agent, true).Starts {
		r.Finished = append(r.Finished, framer.FinishedRun{
			RunRef: s.RunRef,
			Reason: framer.FinishNeverStarted,
		})
	}
	h.report(agent)
	return len(r.Finished)
}

// A runner that refuses starts stays the one with most idle processors, so every
// task would be placed on it again and again.
func TestRefusedStartsGoElsewhere(t *testing.T) {
	step := newStep(4, 500)
	step.LongRunning = true
	t.Run("while one runner refuses all of them", func(t *testing.T) {
		h := newCellHarness(t, "x", "y")
		h.add("j", "checks", step)
		refused := 0
		for range 20 {
			h.advance(100 * time.Millisecond)
			refused += h.refuseStarts("x")
			h.acceptStarts("y")
		}
		assert.Equal(t, len(h.runners["y"].Running), 4)
		assert.Assert(t, refused <= 8, "%d starts were refused", refused)
	})
	t.Run("it is tried again, since it may be the only one", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.add("j", "checks", step)
		for range 50 {
			h.advance(100 * time.Millisecond)
			h.refuseStarts("x")
		}
		for range int(maxRefusalDelay / (100 * time.Millisecond)) {
			h.advance(100 * time.Millisecond)
			h.acceptStarts("x")
		}
		h.advance(100 * time.Millisecond)
		h.acceptStarts("x")
		assert.Equal(t, len(h.runners["x"].Running), 4)
	})
	t.Run("a start that was withdrawn counts against no runner", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.add("j", "checks", step)
		h.tickUntilIdle()
		starts := h.cell.Sync(h.now, "x", true).Starts
		h.cell.Cancel(h.now, "j")
		for _, s := range starts {
			h.runners["x"].Finished = append(h.runners["x"].Finished, framer.FinishedRun{
				RunRef: s.RunRef,
				Reason: framer.FinishNeverStarted,
			})
		}
		h.report("x")
		h.add("k", "checks", step)
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptStarts("x")), 4)
	})
}
