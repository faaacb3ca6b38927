package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// waitLine is the content of a line about tasks that wait.
type waitLine map[string]any

// waitLines collects the lines about tasks that wait.
func (h *cellHarness) waitLines() *[]waitLine {
	lines := &[]waitLine{}
	h.cell.cfg.LogEvent = func(message string, pairs ...any) {
		if message != "task waits" {
			return
		}
		line := waitLine{}
		for i := 0; i < len(pairs); i += 2 {
			line[pairs[i].(string)] = pairs[i+1]
		}
		*lines = append(*lines, line)
	}
	return lines
}

// startAll runs everything that waits.
func (h *cellHarness) startAll() {
	h.tickUntilIdle()
	h.acceptAllStarts()
}

func longRunning(step Step) Step {
	step.LongRunning = true
	return step
}

// runPart runs job "w", of which something must run so that the rest may wait for
// a quarantined runner. stopPart makes the rest wait.
func (h *cellHarness) runPart() {
	h.add("w", "checks", longRunning(newStep(1, 1000)), newStep(1, 1000))
	h.startAll()
}

func (h *cellHarness) stopPart() {
	h.finish("a", runRef("w.0.1.0", 1), framer.FinishStopped)
}

// Before a run that is missing from the listings is stopped, its wait has causes
// of its own.
func TestWaitCauseOfMissingRun(t *testing.T) {
	waitCauseAfterListing := func(h *cellHarness) waitCause {
		h.advance(maxMissing / 2)
		return h.cell.taskByName("w.0.0.0").waitCause(h.now)
	}
	t.Run("the runner does not list the run that it accepted", func(t *testing.T) {
		h := newCellHarness(t, "a")
		h.add("w", "checks", newStep(1, 1000))
		h.tickUntilIdle()
		h.cell.Sync(h.now, "a", true)
		h.runners["a"].Started = []framer.RunRef{runRef("w.0.0.0", 1)}
		assert.Equal(t, waitCauseAfterListing(h), causeNotListed)
	})
	t.Run("the runner no longer lists the run", func(t *testing.T) {
		h := newCellHarness(t, "a")
		h.add("w", "checks", longRunning(newStep(1, 1000)))
		h.startAll()
		h.runners["a"].Running = nil
		assert.Equal(t, waitCauseAfterListing(h), causeNoLongerListed)
	})
}

// fillMost starts a task on runner a that uses most of the service, so that no job counts
// as starved.
func (h *cellHarness) fillMost() {
	h.add("busy", "checks", longRunningStep(1, 32_000*idlePercent/100+100))
	h.tickUntilIdle()
	h.acceptStarts("a")
}
