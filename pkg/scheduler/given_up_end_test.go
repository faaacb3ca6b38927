package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// newGivenUpHarness returns a harness in which run 1 of a task, on a, was given up and run 2
// is on b, and the last report of a.
func newGivenUpHarness(t *testing.T) (*cellHarness, *framer.Report) {
	t.Helper()
	h := newCellHarness(t, "a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 1)
	h.cell.Sync(h.now, "a", true)
	silent := h.runners["a"]
	delete(h.runners, "a")
	h.cell.AgentDisconnected("a")
	other := *silent
	other.Running = nil
	other.Runner.Key.ID = "i-b"
	h.runners["b"] = &other
	h.advance(MaxLease(testLease) + time.Second)
	assert.DeepEqual(t, h.acceptStarts("b"), []framer.RunRef{runRef("j.0.0.0", 2)})
	return h, silent
}

// Guards against an end that is taken note of although its task was started again: the run
// was given up when its runner's lease was held to be over, and its end is in a listing that
// the runner made before that, which its agent read later.
func TestEndOfGivenUpRunIsNotAckedByEarlierListing(t *testing.T) {
	assertNotAcked := func(t *testing.T, h *cellHarness, silent *framer.Report) {
		t.Helper()
		h.runners["a"] = silent
		h.finish("a", runRef("j.0.0.0", 1), framer.FinishDone)
		h.tickUntilIdle()
		assert.Equal(t, h.cell.Sync(h.now, "a", true).AckedSequence, int64(0))
	}
	t.Run("of the same owner", func(t *testing.T) {
		h, silent := newGivenUpHarness(t)
		assertNotAcked(t, h, silent)
	})
	t.Run("of the same owner, which has forgotten the runner", func(t *testing.T) {
		h, silent := newGivenUpHarness(t)
		h.now = h.now.Add(expiryTTL)
		h.cell.Tick(h.now, false)
		assert.Assert(t, h.cell.runners[silent.Runner.Key] == nil)
		assertNotAcked(t, h, silent)
	})
	t.Run("of the next owner", func(t *testing.T) {
		h, silent := newGivenUpHarness(t)
		j := h.cell.jobs["j"]
		h.cell = nextOwner(t, h.now.Add(testLease))
		h.cell.SetQueues(testQueues())
		h.cell.Load(h.now, j.spec, j.progress())
		assertNotAcked(t, h, silent)
	})
	t.Run("once the job has ended", func(t *testing.T) {
		h, silent := newGivenUpHarness(t)
		h.finish("b", runRef("j.0.0.0", 2), framer.FinishDone)
		h.tickUntilIdle()
		assert.Assert(t, !h.cell.HasJob("j"))
		assertNotAcked(t, h, silent)
	})
}

// Guards against a task that starts after its last allowed failure: a run that was given up
// turns out to have failed, by a listing that its runner made before its lease was over.
func TestFailureOfGivenUpRunIsCountedOrNotAcked(t *testing.T) {
	h, silent := newGivenUpHarness(t)
	h.runners["a"] = silent
	h.finish("a", runRef("j.0.0.0", 1), framer.FinishFailed)
	h.tickUntilIdle()
	acked := h.cell.Sync(h.now, "a", true).AckedSequence
	failures := h.cell.jobs["j"].occurrences[0].steps[0][0].failures
	assert.Assert(t, acked == 0 || failures == 1, "%d acknowledged, %d failures", acked, failures)
}
