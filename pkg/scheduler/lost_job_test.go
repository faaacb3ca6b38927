package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an owner that ends: the loss of a runner ends a job whose queue permits fewer
// failures by now, which also releases the starts on that runner that were not sent yet.
func TestLostRunEndsJobWithUnsentStartOnTheSameRunner(t *testing.T) {
	h := newCellHarness(t, "a")
	step := newStep(2, 500)
	step.Speculative = true
	h.add("j", "checks", step)
	h.tickUntilIdle()
	h.acceptStarts("a")
	// No start can reach a later incarnation any more.
	h.advance(maxCallDelay + time.Second)
	tasks := h.cell.jobs["j"].tasks()
	tasks[0].failures = testQueues().List[0].Terms.MaxFailures
	tasks[1].startSent = false
	restarted := h.runners["a"]
	restarted.Runner.Key.StartedAtMillis++
	restarted.Running = nil
	h.report("a")
	assert.Equal(t, h.cell.jobs["j"].state, StateFailed)
	for _, task := range tasks {
		assert.Assert(t, task.runner == nil || task.stopping)
	}
}
