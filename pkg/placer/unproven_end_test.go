package placer

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
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
	// The report withdraws a lapse; an unwritten row would keep the end as well.
	commitAll(cell, now)
	assert.Equal(t, len(cell.StaleRunCommands(first, r)), 0)
}

// Guards against a start whose end the next owner has forgotten at once: the former one gave
// it up when the worker's lease was held to be over.
func TestEndOfGivenUpStartIsNotForgottenByNextOwner(t *testing.T) {
	for _, state := range []RunState{RunDone, RunFailed} {
		t.Run(string(state), func(t *testing.T) {
			cell := NewCell(start, "cell-1", 2, []string{"worker-000", "worker-001"}, fatalAsserter(t))
			cell.Load(Task{
				Spec:              spec("a", 1000),
				State:             StatePlaced,
				Worker:            "worker-001",
				WorkerIncarnation: 1,
				Start:             2,
				Released:          []int{1},
			}, 1)
			r := reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: state})
			read := func(clockMillis int64) {
				r.ClockMillis = clockMillis
				cell.HandleReport(start, "worker-000", r)
			}
			assertWithheld := func() {
				t.Helper()
				assert.Equal(t, len(cell.StaleRunCommands("worker-000", r)), 0)
				assert.Equal(t, cell.Sync(start, "worker-000", true).LeaseUntilMillis, int64(0))
			}
			read(1000)
			assertWithheld()
			read(1000 + TaskLease.Milliseconds())
			assertWithheld()
			until := cell.workers["worker-000"].leaseUntilMillis
			read(until + 1)
			assertWithheld()
			read(until + 1 + leaser.SettleMillis)
			assert.Equal(t, len(cell.StaleRunCommands("worker-000", r)), 1)
			assert.Assert(t, cell.Sync(start, "worker-000", true).LeaseUntilMillis > 0)
		})
	}
}

// Guards against a start whose end is forgotten without proof by an owner that gave it up
// before the worker's first report to it.
func TestEndOfStartThatWasGivenUpUnreportedIsNotForgotten(t *testing.T) {
	cell := NewCell(start, "cell-1", 2, []string{"worker-000"}, fatalAsserter(t))
	cell.Load(Task{
		Spec:              spec("a", 1000),
		State:             StatePlaced,
		Worker:            "worker-000",
		WorkerIncarnation: 1,
		Start:             1,
	}, 1)
	now := start.Add(leaser.OrphanHorizon + TaskLease + 2*clockMargin)
	cell.Tick(now)
	r := reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunFailed})
	cell.HandleReport(now, "worker-000", r)
	assert.Equal(t, len(cell.StaleRunCommands("worker-000", r)), 0)
	assert.Equal(t, cell.Sync(now, "worker-000", true).LeaseUntilMillis, int64(0))
}

// Guards against a lease that is renewed although the starts under it were given up: one of
// them may go on.
func TestWorkerWhoseStartsWereGivenUpGetsNoLease(t *testing.T) {
	cell := testCell(t, 1)
	cell.Accept(start, spec("a", 1000), start)
	cell.Tick(start)
	commitAll(cell, start)
	until := cell.Sync(start, "worker-000", true).LeaseUntilMillis
	cell.MarkUnreachable(start, "worker-000")
	now := start.Add(TaskLease + 2*clockMargin)
	cell.Tick(now)
	r := reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunRunning})
	r.ClockMillis = until - 1
	cell.HandleReport(now, "worker-000", r)
	cell.Tick(now)
	commitAll(cell, now)
	assert.Equal(t, cell.Sync(now, "worker-000", true).LeaseUntilMillis, int64(0))
	assert.Equal(t, stateOf(t, cell, "a"), StateAccepted)
}
