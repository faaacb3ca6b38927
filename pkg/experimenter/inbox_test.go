package experimenter

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Guards against tasks and cancellations that the owner never reads, because as
// many tasks as one scan returns wait before them in the inbox.
func TestWaitingTasksDoNotHideOthers(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	for _, o := range sim.Owners {
		o.Core.SetQuota("condor", publisher.Resources{
			ProcessorMillis: 1000,
			MemoryBytes:     4 << 30,
		})
	}
	for i := range 1200 {
		mustSubmit(t, sim, smallJob(fmt.Sprintf("a-%04d", i), 3, 3_600_000))
		sim.RunUntil(sim.Now().Add(20 * time.Millisecond))
	}
	other := smallJob("z-other", 9, 3_600_000)
	other.Team = "lisciva"
	mustSubmit(t, sim, other)
	jobs := overseer.NewJobs(sim.Platform.Table())
	assert.NilError(t, jobs.Cancel(context.Background(), "cell-1/a-1199"))
	sim.RunUntil(sim.Now().Add(maxStartLatency))
	assert.Equal(t, sim.Starts[other.ID], 1, "the task of the other team did not start")
	task, err := jobs.Get(context.Background(), "cell-1/a-1199")
	assert.NilError(t, err)
	assert.Equal(t, task.State, placer.StateCancelled)
}

// Guards against an owner that gives up its cell because it deletes the row of a
// cancellation twice, which it read again while the first deletion was in flight.
func TestCancellationsKeepOwnerOfSlowTable(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	sim.TableDelay = 300 * time.Millisecond
	for i := range 20 {
		mustSubmit(t, sim, smallJob(fmt.Sprintf("a-%02d", i), 3, 3_600_000))
	}
	sim.RunUntil(sim.Now().Add(20 * time.Second))
	epoch := sim.epoch()
	assert.Assert(t, epoch > 0)
	jobs := overseer.NewJobs(sim.Platform.Table())
	for i := range 20 {
		assert.NilError(t, jobs.Cancel(context.Background(), fmt.Sprintf("cell-1/a-%02d", i)))
		sim.RunUntil(sim.Now().Add(500 * time.Millisecond))
	}
	sim.RunUntil(sim.Now().Add(10 * time.Second))
	assert.Equal(t, sim.epoch(), epoch, "the cell was acquired again")
}

// epoch returns the epoch of the process that owns the cell, or 0.
func (sim *CellSimulation) epoch() uint64 {
	for _, o := range sim.Owners {
		if cell := o.Core.Cell(); cell != nil {
			return cell.Epoch()
		}
	}
	return 0
}
