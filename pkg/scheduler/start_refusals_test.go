package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// refuseStarts lets an agent's runner refuse all starts, and returns how many.
func (h *cellHarness) refuseStarts(agent string) int {
	r := h.runners[agent]
	starts := h.cell.Sync(h.now, agent, true).Starts
	for _, s := range starts {
		r.Finished = append(r.Finished, framer.FinishedRun{
			RunRef: s.RunRef,
			Reason: framer.FinishNeverStarted,
		})
	}
	h.report(agent)
	return len(starts)
}

// refuseFor lets the runner of x refuse all starts and the others accept them
// for d, and returns how many were refused.
func (h *cellHarness) refuseFor(d time.Duration) int {
	refused := 0
	for end := h.now.Add(d); h.now.Before(end); {
		h.tickUntilIdle()
		refused += h.refuseStarts("x")
		for agent := range h.runners {
			if agent != "x" {
				h.acceptStarts(agent)
			}
		}
		h.now = h.now.Add(50 * time.Millisecond)
	}
	return refused
}

// A task whose start is refused must not be placed on the same runner again and
// again, only because that runner is the most idle one, while others have room.
func TestRefusedStart(t *testing.T) {
	const second = time.Second
	newHarness := func(t *testing.T) *cellHarness {
		h := newCellHarness(t, "x", "y")
		h.runners["x"].Runner.ProcessorMillis *= 2
		h.report("x")
		return h
	}
	t.Run("is repeated on another runner", func(t *testing.T) {
		h := newHarness(t)
		h.add("l", "reviews", longRunningStep(1, 500))
		assert.Equal(t, h.refuseFor(second), 1)
		assert.Equal(t, len(h.runners["y"].Running), 1)
	})
	t.Run("keeps other tasks off the runner for a while", func(t *testing.T) {
		h := newHarness(t)
		h.add("l", "reviews", longRunningStep(4, 500))
		assert.Equal(t, h.refuseFor(second), 4)
		h.add("m", "reviews", longRunningStep(4, 500))
		assert.Equal(t, h.refuseFor(second), 0)
		assert.Equal(t, len(h.runners["y"].Running), 8)
	})
	t.Run("is repeated at most once a second where no other runner has room", func(t *testing.T) {
		h := newHarness(t)
		delete(h.runners, "y")
		h.cell.AgentDisconnected("y")
		h.add("l", "reviews", longRunningStep(1, 500))
		refused := h.refuseFor(10 * second)
		assert.Assert(t, 8 <= refused && refused <= 13, "%d", refused)
		t.Run("and starts within 2 s once it is accepted", func(t *testing.T) {
			h.waitForStarts(1, 2*second)
		})
	})
	t.Run("is repeated on a quarantined runner if no other has room", func(t *testing.T) {
		h := newHarness(t)
		h.cell.agents["y"].quarantine = maxQuarantine
		h.cell.agents["y"].stalled = true
		h.cell.agents["y"].quarantinedUntil = h.now.Add(maxQuarantine)
		h.add("l", "reviews", longRunningStep(1, 500))
		h.refuseFor(3 * second)
		assert.Equal(t, len(h.runners["y"].Running), 1)
	})
	t.Run("is repeated on another quarantined runner", func(t *testing.T) {
		h := newHarness(t)
		h.quarantineAll(maxQuarantine)
		h.cell.agents["x"].quarantinedUntil = h.now.Add(minQuarantine)
		h.add("l", "reviews", longRunningStep(1, 500))
		h.refuseFor(2*maxQuarantineWait + second)
		assert.Equal(t, len(h.runners["y"].Running), 1)
	})
	t.Run("counts for its runner no longer after a while", func(t *testing.T) {
		h := newHarness(t)
		h.add("l", "reviews", longRunningStep(1, 500))
		h.refuseFor(second)
		h.advance(refusalMemory)
		h.add("m", "reviews", longRunningStep(1, 500))
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptStarts("x")), 1)
	})
	t.Run("is no refusal if it was stopped before", func(t *testing.T) {
		h := newHarness(t)
		h.add("l", "reviews", longRunningStep(1, 500))
		h.tickUntilIdle()
		h.cell.Sync(h.now, "x", true)
		h.cell.Cancel(h.now, "l")
		h.runners["x"].Finished = []framer.FinishedRun{{
			RunRef: runRef("l.0.0.0", 1),
			Reason: framer.FinishNeverStarted,
		}}
		h.report("x")
		assert.Assert(t, h.cell.agents["x"].schedulable(h.now))
	})
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
		for range int(maxRefusalBackoff / (100 * time.Millisecond)) {
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
