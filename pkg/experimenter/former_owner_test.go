package experimenter

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
)

// maxReplacement is the longest time from the loss of a worker together with the
// cell's owner to the restart of its tasks: the cell is acquired, the last
// permission of the former owner and the last lease granted under it end, and a
// start is committed and sent.
const maxReplacement = leaser.AcquireAfter + leaser.RenewInterval + leaser.QuorumAge + placer.TaskLease + 2*time.Second

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

// Guards against a former owner, cut off from the table, that renews the lease of
// a worker which the new owner can't reach, and so lets a task run twice.
func TestFormerOwnerRenewsOnlyWithQuorum(t *testing.T) {
	for _, c := range []struct {
		name string
		// reaches reports whether the former owner reaches a worker besides the
		// task's.
		reaches func(i int) bool
	}{
		{
			name:    "it reaches only the worker of the task",
			reaches: func(int) bool { return false },
		},
		{
			name:    "it reaches half of the workers",
			reaches: func(i int) bool { return i%2 == 0 },
		},
		{
			name:    "it reaches all workers",
			reaches: func(int) bool { return true },
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newFormerOwnerSimulation(t)
			sim.owner.tableUnreachable = true
			sim.other.unreachableWorkers[sim.worker.Address] = true
			for i, cw := range sim.Workers {
				if cw != sim.worker && !c.reaches(i) {
					sim.owner.unreachableWorkers[cw.Address] = true
				}
			}
			sim.mustRestartWithin(t, maxReplacement)
		})
	}
}

// Guards against a quorum of workers that restarted after they had accepted the
// new owner, which they no longer know of.
func TestRestartedWorkersAreNoQuorum(t *testing.T) {
	sim := newFormerOwnerSimulation(t)
	sim.owner.tableUnreachable = true
	sim.other.unreachableWorkers[sim.worker.Address] = true
	for sim.other.Core.Cell() == nil || sim.unknownWorkers() > 1 {
		sim.RunUntil(sim.Now().Add(time.Millisecond))
	}
	for _, cw := range sim.Workers {
		if cw != sim.worker {
			sim.KillWorker(cw)
			sim.RebootWorker(cw)
			sim.other.unreachableWorkers[cw.Address] = true
		}
	}
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	// The new owner needs a worker on which to start the task.
	for _, cw := range sim.Workers {
		if cw != sim.worker && len(sim.other.unreachableWorkers) > 7 {
			delete(sim.other.unreachableWorkers, cw.Address)
		}
	}
	sim.mustRestartWithin(t, maxReplacement)
}

// unknownWorkers returns the number of workers that have not reported to the other
// process yet.
func (sim *formerOwnerSimulation) unknownWorkers() int {
	unknown := 0
	for _, view := range sim.other.Core.Cell().Instances() {
		if view.CapacityCPU == 0 {
			unknown++
		}
	}
	return unknown
}

// Guards against tasks that stop in an outage of the table because few workers
// can't be reached.
func TestOutageWithFewUnreachableWorkers(t *testing.T) {
	sim := newFormerOwnerSimulation(t)
	for i := range 20 {
		mustSubmit(t, sim.CellSimulation, smallJob(fmt.Sprintf("other-%02d", i), 3, 3_600_000))
	}
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	sim.Platform.SetFaults(emulator.PlatformFaults{
		Down: true,
	})
	for _, cw := range sim.Workers {
		if cw != sim.worker && len(sim.owner.unreachableWorkers) < 4 {
			sim.owner.unreachableWorkers[cw.Address] = true
		}
	}
	sim.RunUntil(sim.Now().Add(20 * time.Second))
	clear(sim.owner.unreachableWorkers)
	sim.owner.Pause(5 * time.Second)
	starts := maps.Clone(sim.Starts)
	sim.RunUntil(sim.Now().Add(8 * time.Minute))
	assert.Equal(t, len(sim.Running[longTask]), 1, "the task was stopped")
	assert.DeepEqual(t, sim.Starts, starts)
}

// Guards against a bound on the wait that an earlier owner, with other workers or
// of a version without a quorum, does not keep.
func TestOwnerWithOtherWorkersIsWaitedFor(t *testing.T) {
	sim := newFormerOwnerSimulation(t)
	workersInRow := func() string {
		row, err := sim.Platform.Table().Get(context.Background(), overseer.CellKey("cell-1"))
		assert.NilError(t, err)
		var value struct {
			Workers string `json:"workers"`
		}
		assert.NilError(t, json.Unmarshal(row.Value, &value))
		return value.Workers
	}
	assert.Assert(t, workersInRow() != "")
	sim.other.Kill()
	addresses := []string{sim.worker.Address}
	for _, cw := range sim.Workers {
		if cw != sim.worker && len(addresses) < 8 {
			addresses = append(addresses, cw.Address)
		}
	}
	sim.other = sim.newOwner(1, addresses)
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	// The owner and the task's worker are cut off from all but one another.
	sim.owner.tableUnreachable = true
	sim.other.unreachableWorkers[sim.worker.Address] = true
	sim.RunUntil(sim.Now().Add(20 * time.Second))
	sim.owner.Kill()
	sim.KillWorker(sim.worker)
	sim.RunUntil(sim.Now().Add(9 * time.Minute))
	assert.Equal(t, sim.Starts[longTask], 1, "the task started again within the orphan horizon")
	assert.Equal(t, workersInRow(), "", "later owners would not wait for the first one")
	sim.mustRestartWithin(t, 2*time.Minute)
	assert.Assert(t, workersInRow() != "", "the orphan horizon is over")
}
