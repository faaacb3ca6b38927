package experimenter

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
)

// maxReplacement is the longest time from the loss of a worker together with the
// cell's owner to the restart of its tasks: the cell is acquired, the last lease
// that the former owner granted ends, and a start is committed and sent.
const maxReplacement = leaser.AcquireAfter + leaser.RenewInterval + placer.TaskLease + 4*time.Second

// formerOwnerSimulation is a cell of nine workers with two processes and a task
// that runs for an hour; owner has the cell, worker has the task.
type formerOwnerSimulation struct {
	*CellSimulation
	owner, other *Owner
	worker       *CellWorker
}

const longTask = "cell-1/long"

func newFormerOwnerSimulation(t *testing.T) *formerOwnerSimulation {
	sim := &formerOwnerSimulation{
		CellSimulation: NewCellSimulation(CellConfig{
			Seed:           1,
			Owners:         2,
			Workers:        9,
			Capacity:       testCapacity,
			Assert:         fatalAsserter(t, 1),
			CommitInterval: overseer.DefaultCommitInterval,
		}),
	}
	mustSubmit(t, sim.CellSimulation, smallJob("long", 3, 3_600_000))
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	sim.owner, sim.other = sim.Owners[0], sim.Owners[1]
	if sim.owner.Core.Cell() == nil {
		sim.owner, sim.other = sim.other, sim.owner
	}
	for address := range sim.Running[longTask] {
		sim.worker = sim.workerAt(address)
	}
	return sim
}

// mustRestartWithin runs the simulation until the task runs on another worker.
func (sim *formerOwnerSimulation) mustRestartWithin(t *testing.T, limit time.Duration) {
	t.Helper()
	since := sim.Now()
	for sim.Starts[longTask] < 2 {
		assert.Assert(t, sim.Now().Sub(since) <= limit, "the task did not start again within %s", limit)
		sim.RunUntil(sim.Now().Add(20 * time.Millisecond))
	}
	t.Logf("started again after %s", sim.Now().Sub(since))
	sim.RunUntil(sim.Now().Add(time.Minute))
	assert.Equal(t, len(sim.DoubleRuns), 0, "ran on two workers at once: %v", sim.DoubleRuns)
	assert.Equal(t, len(sim.Running[longTask]), 1)
}

// Guards against a task that is missing for the orphan horizon, although there is
// room, because its worker was lost together with the owner of the cell.
func TestWorkerLostTogetherWithOwner(t *testing.T) {
	sim := newFormerOwnerSimulation(t)
	setReplicas(sim.CellSimulation, 6)
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	sim.owner.Kill()
	sim.KillWorker(sim.worker)
	lostAt := sim.Now()
	sim.mustRestartWithin(t, maxReplacement)
	assert.Assert(t, sim.Now().Sub(lostAt) < leaser.OrphanHorizon)
	replicas, _ := countRunningReplicas(sim.CellSimulation)
	assert.Equal(t, replicas, 6)
}
