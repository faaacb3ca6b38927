package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// Guards against a start that the owner believes in or repeats for ever, while its
// worker reports without it and other workers have room.
func TestUnlistedStartIsWithdrawn(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed bool
	}{
		{
			name:   "never listed",
			listed: false,
		},
		{
			name:   "no longer listed",
			listed: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			cell := testCell(t, 2)
			cell.Accept(start, spec("a", 1000), start)
			cell.Tick(start)
			commitAll(cell, start)
			cell.Sync(start, "worker-000", true)
			if c.listed {
				cell.HandleReport(start, "worker-000", reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunRunning}))
			}
			now := start.Add(maxUnlisted + time.Second)
			cell.HandleReport(start.Add(time.Second), "worker-000", reportOf(1))
			cell.HandleReport(now, "worker-000", reportOf(1))
			commands := cell.Sync(now, "worker-000", true).Commands
			assert.Equal(t, len(commands), 1)
			assert.Equal(t, commands[0].Kind, CommandStop)
			assert.Equal(t, commands[0].Start, 1)
			cell.HandleReport(now, "worker-000", reportOf(1, TaskReport{ID: "cell-1/a", Start: 1, State: RunStopped}))
			cell.Tick(now)
			commitAll(cell, now)
			task, _ := cell.Task("cell-1/a")
			assert.Equal(t, task.Worker, "worker-001")
			assert.Equal(t, task.Start, 2)
		})
	}
}

// Guards against a task that stays bound for ever to a worker which the new owner
// does not have, because it was removed from the cell's workers.
func TestTaskOfRemovedWorkerIsPlacedAgain(t *testing.T) {
	const waits = leaser.OrphanHorizon + TaskLease
	cell := NewCell(start, "cell-1", 2, []string{"worker-000"}, fatalAsserter(t))
	cell.Load(Task{
		Spec:              spec("a", 1000),
		State:             StatePlaced,
		Worker:            "worker-removed",
		WorkerIncarnation: 1,
		Start:             1,
	}, 1)
	cell.HandleReport(start, "worker-000", reportOf(2))
	cell.Tick(start.Add(waits))
	assert.Equal(t, stateOf(t, cell, "a"), StatePlaced)
	assert.Equal(t, len(cell.Workers()), 1)
	cell.Tick(start.Add(waits + 2*clockMargin))
	task, _ := cell.Task("cell-1/a")
	assert.Equal(t, task.Worker, "worker-000")
	assert.Equal(t, task.Start, 2)
}
