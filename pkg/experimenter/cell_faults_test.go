package experimenter

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// testCapacity is the capacity of a worker of the users' size.
var testCapacity = publisher.Resources{
	ProcessorMillis: 30_000,
	MemoryBytes:     125 << 30,
	Accelerators:    2,
}

func newTestCellSimulation(t *testing.T, seed uint64) *CellSimulation {
	return NewCellSimulation(CellConfig{
		Seed:     seed,
		Owners:   3,
		Workers:  10,
		Capacity: testCapacity,
		Assert:   fatalAsserter(t, seed),

		CommitInterval: overseer.DefaultCommitInterval,
	})
}

// submitJob submits a random job as an entry does, and returns its id and whether
// the table committed it.
func submitJob(sim *CellSimulation, rnd *rand.Rand, n int) (string, bool) {
	spec := placer.Spec{
		ID:      fmt.Sprintf("cell-1/job-%05d", n),
		Team:    "lisciva",
		Class:   placer.ClassBatch,
		Urgency: rnd.IntN(10),
		Needs: publisher.Resources{
			ProcessorMillis: 1000 + rnd.Int64N(9000),
			MemoryBytes:     1<<30 + rnd.Int64N(40<<30),
			Accelerators:    rnd.Int64N(3) / 2,
		},
		RunTimeMillis: 500 + rnd.Int64N(20_000),
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	err := overseer.NewJobs(sim.Platform.Table()).Submit(ctx, sim.Now(), spec)
	return spec.ID, err == nil
}

// TestCellUnderFaults runs a cell with random faults and checks that no task runs
// on two workers at once, no instance is overcommitted, and every accepted job
// finishes.
func TestCellUnderFaults(t *testing.T) {
	for _, seed := range seeds(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newTestCellSimulation(t, seed)
			rnd := rand.New(rand.NewPCG(seed, 4))
			accepted := map[string]bool{}
			faultsUntil := sim.Now().Add(120 * time.Second)
			n := 0
			sim.Every(250*time.Millisecond, func() bool {
				n++
				if id, ok := submitJob(sim, rnd, n); ok {
					accepted[id] = true
				}
				return sim.Now().Before(faultsUntil)
			})
			sim.Every(700*time.Millisecond, func() bool {
				injectRandomCellFault(sim, rnd, accepted)
				return sim.Now().Before(faultsUntil)
			})
			sim.Every(100*time.Millisecond, func() bool {
				checkInstances(t, sim)
				return true
			})
			sim.RunUntil(faultsUntil)
			endAllFaults(sim)
			sim.RunUntil(sim.Now().Add(20 * time.Minute))
			checkJobs(t, sim, accepted)
		})
	}
}

func injectRandomCellFault(sim *CellSimulation, rnd *rand.Rand, accepted map[string]bool) {
	i := rnd.IntN(len(sim.Owners))
	o := sim.Owners[i]
	cw := sim.Workers[rnd.IntN(len(sim.Workers))]
	span := time.Duration(rnd.Int64N(int64(maxFaultSpan)))
	switch rnd.IntN(11) {
	case 0:
		o.Kill()
		sim.After(span, func() { sim.ReplaceOwner(i) })
	case 1:
		o.Pause(span)
	case 2:
		o.tableUnreachable = true
		sim.After(span, func() { o.tableUnreachable = false })
	case 3:
		o.unreachableWorkers[cw.Address] = true
		sim.After(span, func() { delete(o.unreachableWorkers, cw.Address) })
	case 4:
		sim.KillWorker(cw)
		sim.After(span, func() { sim.RebootWorker(cw) })
	case 5:
		sim.Platform.SetFaults(emulator.PlatformFaults{
			Down: true,
		})
		sim.After(span/2, func() { sim.Platform.SetFaults(emulator.PlatformFaults{}) })
	case 6:
		sim.Platform.SetFaults(emulator.PlatformFaults{
			LoseAnswers: 1 + rnd.IntN(5),
		})
	case 7, 8:
		cancelRandomJobs(sim, rnd, accepted)
	default:
		evictRandomTasks(sim, rnd)
	}
}

func cancelRandomJobs(sim *CellSimulation, rnd *rand.Rand, accepted map[string]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	for range 5 {
		id := fmt.Sprintf("cell-1/job-%05d", 1+rnd.IntN(max(1, len(accepted))))
		// The table may refuse the cancellation, so the error is ignored.
		_ = overseer.NewJobs(sim.Platform.Table()).Cancel(ctx, id)
	}
}

func evictRandomTasks(sim *CellSimulation, rnd *rand.Rand) {
	for _, o := range sim.Owners {
		if !o.Alive() || o.paused || o.Core.Cell() == nil {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(sim.Running)) {
			if len(sim.Running[id]) > 0 && rnd.IntN(3) == 0 {
				o.Core.Cell().Evict(sim.Now(), id, "test")
			}
		}
	}
}

// endAllFaults ends all faults and restarts the killed owners and workers.
func endAllFaults(sim *CellSimulation) {
	sim.Platform.SetFaults(emulator.PlatformFaults{})
	for i, o := range sim.Owners {
		o.tableUnreachable = false
		clear(o.unreachableWorkers)
		sim.ReplaceOwner(i)
	}
	for _, cw := range sim.Workers {
		sim.RebootWorker(cw)
	}
}

// checkInstances checks that no task runs on two workers and that the running
// tasks of each instance fit its capacity.
func checkInstances(t *testing.T, sim *CellSimulation) {
	t.Helper()
	assert.Equal(t, len(sim.DoubleRuns), 0, "ran on two workers at once: %v", sim.DoubleRuns)
	for _, cw := range sim.Workers {
		sum := cw.Worker.Allocated()
		assert.Assert(t, sum.ProcessorMillis <= testCapacity.ProcessorMillis, "%s runs %+v", cw.Address, sum)
		assert.Assert(t, sum.MemoryBytes <= testCapacity.MemoryBytes, "%s runs %+v", cw.Address, sum)
		assert.Assert(t, sum.Accelerators <= testCapacity.Accelerators, "%s runs %+v", cw.Address, sum)
	}
}

func checkJobs(t *testing.T, sim *CellSimulation, accepted map[string]bool) {
	t.Helper()
	jobs := overseer.NewJobs(sim.Platform.Table())
	done := 0
	for id := range accepted {
		task, err := jobs.Get(context.Background(), id)
		assert.NilError(t, err)
		assert.Assert(t, task.State.Final(), "%s is %s (%s) at the end", id, task.State, task.Reason)
		if task.State == placer.StateDone {
			done++
			assert.Assert(t, sim.Starts[id] >= 1, "%s is done but never ran", id)
		}
		if task.State == placer.StateCancelled && task.Start == 0 {
			assert.Equal(t, sim.Starts[id], 0, "%s was cancelled before its start but ran", id)
		}
		assert.Assert(t, sim.Starts[id] <= task.Start, "%s ran %d times for %d committed starts", id, sim.Starts[id], task.Start)
		sim.RunUntil(sim.Now().Add(10 * time.Millisecond))
	}
	assert.Assert(t, done*2 > len(accepted), "only %d of %d done", done, len(accepted))
}

// TestStartReachesReplacedWorker replaces a worker between the decision to place
// a task on it and the call that starts the task. The new incarnation must not
// start the task, because the owner places it on another worker.
func TestStartReachesReplacedWorker(t *testing.T) {
	choice := 0
	sim := NewCellSimulation(CellConfig{
		Seed:           1,
		Owners:         1,
		Workers:        3,
		Capacity:       testCapacity,
		Assert:         fatalAsserter(t, 1),
		CommitInterval: overseer.DefaultCommitInterval,
		ConfigureCell: func(c *placer.Cell) {
			// Choose another worker for each start than for the one before.
			c.Choose = func(_ *placer.Task, fitting []placer.Candidate) placer.Candidate {
				choice++
				return fitting[choice%len(fitting)]
			}
		},
	})
	sim.RunUntil(sim.Now().Add(3 * time.Second))
	for i := range 20 {
		id := fmt.Sprintf("cell-1/successor-%02d", i)
		mustSubmit(t, sim, smallJob(strings.TrimPrefix(id, "cell-1/"), 9, 5000))
		var task placer.Task
		for task.State != placer.StatePlaced {
			sim.RunUntil(sim.Now().Add(time.Millisecond))
			task = sim.ownedTask(id)
		}
		cw := sim.workerAt(task.Worker)
		sim.KillWorker(cw)
		sim.RebootWorker(cw)
		for task.State != placer.StateAccepted {
			sim.RunUntil(sim.Now().Add(time.Millisecond))
			task = sim.ownedTask(id)
		}
		// The owner has seen the new incarnation by now, but cannot send it a stop
		// command.
		sim.Owners[0].unreachableWorkers[cw.Address] = true
		sim.RunUntil(sim.Now().Add(4 * time.Second))
		delete(sim.Owners[0].unreachableWorkers, cw.Address)
		sim.RunUntil(sim.Now().Add(10 * time.Second))
		assert.Equal(t, len(sim.DoubleRuns), 0, "ran on two workers at once: %v", sim.DoubleRuns)
		assert.Assert(t, sim.Starts[id] >= 1, "%s never ran", id)
	}
}

// ownedTask returns a task as the cell's owner has it, or the zero Task if no
// owner has it.
func (sim *CellSimulation) ownedTask(id string) placer.Task {
	for _, o := range sim.Owners {
		if cell := o.Core.Cell(); cell != nil {
			if task, ok := cell.Task(id); ok {
				return task
			}
		}
	}
	return placer.Task{}
}
