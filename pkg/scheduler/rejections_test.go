package scheduler

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// learnPair teaches the cell how much a best-effort image slows a
// latency-critical one.
func (h *cellHarness) learnPair(critical, bestEffort string, perRunner float64) {
	const share = 0.3
	for range 40 {
		h.cell.interference.observe(critical, imageShares{}, priorLoad)
		h.cell.interference.observe(critical, imageShares{bestEffort: share}, priorLoad+perRunner*share)
	}
}

// imagesBesides returns how many runners have latency-critical tasks of more
// than one image.
func (h *cellHarness) imagesBesides() int {
	mixed := 0
	for _, s := range h.cell.runners {
		if len(s.latencyCritical) > 1 {
			mixed++
		}
	}
	return mixed
}

// latencyCriticalStep returns a step of long-running tasks of which a runner
// holds at most one if spread is set.
func latencyCriticalStep(count int, image string, spread bool) Step {
	step := newStep(count, 6000)
	step.LongRunning = true
	step.TargetMillis = 20
	step.Image = image
	if spread {
		step.AntiAffinity = 1
	}
	return step
}

// Latency-critical jobs that fill a fleet must not leave a best-effort image
// without a runner that tolerates it.
func TestLatencyCriticalJobsFillFleet(t *testing.T) {
	newFullFleet := func(t *testing.T) *cellHarness {
		agents := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
		h := newCellHarness(t, agents...)
		h.learnPair("voice", "heavy", 20)
		h.learnPair("voice", "light", 0)
		h.learnPair("video", "heavy", 0)
		h.learnPair("video", "light", 20)
		for i := range 4 {
			h.add(fmt.Sprintf("voice-%d", i), "checks", latencyCriticalStep(4, "voice", true))
			h.add(fmt.Sprintf("video-%d", i), "checks", latencyCriticalStep(4, "video", true))
			h.tickUntilIdle()
		}
		return h
	}
	t.Run("images with different demands are kept apart", func(t *testing.T) {
		assert.Equal(t, newFullFleet(t).imagesBesides(), 0)
	})
	t.Run("each best-effort image finds runners", func(t *testing.T) {
		h := newFullFleet(t)
		for _, image := range []string{"heavy", "light"} {
			step := newStep(4, 4000)
			step.BestEffort = true
			step.Image = image
			h.add(image, "reviews", step)
			h.tickUntilIdle()
			assert.Equal(t, h.cell.jobs[image].placed, 4, image)
		}
	})
	t.Run("an image of which nothing is known joins those that reject most", func(t *testing.T) {
		h := newCellHarness(t, "a", "b")
		h.learnPair("voice", "heavy", 20)
		h.learnPair("video", "heavy", 0)
		h.add("voice", "checks", latencyCriticalStep(1, "voice", false))
		h.add("video", "checks", latencyCriticalStep(1, "video", false))
		h.tickUntilIdle()
		h.add("new", "checks", latencyCriticalStep(1, "new", false))
		h.tickUntilIdle()
		voice := h.cell.jobs["voice"].tasks()[0].runner
		assert.Equal(t, h.cell.jobs["new"].tasks()[0].runner, voice)
	})
}
