package placer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a task that is started again although the worker is told to forget that it
// was done: its start was given up when the worker's lease was held to be over, and the
// report of its end carries a reading of the worker's clock from before the end of the lease.
func TestEndOfGivenUpStartIsNotForgottenWithoutProof(t *testing.T) {
	cell := testCell(t, 2)
	cell.Accept(start, spec("a", 1000), start)
	cell.Tick(start)
	commitAll(cell, start)
	task, _ := cell.Task("cell-1/a")
	first := task.Worker
	until := cell.Sync(start, first, true).LeaseUntilMillis
	cell.HandleReport(start, first, reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunRunning}))
	cell.MarkUnreachable(start, first)
	now := start.Add(TaskLease + 2*clockMargin)
	cell.Tick(now)
	commitAll(cell, now)
	task, _ = cell.Task("cell-1/a")
	assert.Equal(t, task.Start, 2)
	r := reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunDone})
	r.ClockMillis = until - 1
	cell.HandleReport(now, first, r)
	assert.Equal(t, len(cell.StaleRunCommands(first, r)), 0)
}
