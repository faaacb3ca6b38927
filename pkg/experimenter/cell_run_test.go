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

	"github.com/bilberrywalk/bilberrywalk/pkg/faker"
	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// testCapacity is a worker of the users' size.
var testCapacity = publisher.Resources{
	ProcessorMillis: 30_000,
	MemoryBytes:     125 << 30,
	Accelerators:    2,
}

func testCellWorld(t *testing.T, seed uint64) *CellWorld {
	return NewCellWorld(CellConfig{
		Seed:     seed,
		Owners:   3,
		Workers:  10,
		Capacity: testCapacity,
		Assert:   fatalAsserter(t, seed),

		CommitInterval: overseer.DefaultCommitInterval,
	})
}

// submitted puts a job on record, as an entry does, and tells its id. Jobs
// that the table refused are not on record.
func submitted(w *CellWorld, rnd *rand.Rand, n int) (string, bool) {
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
	err := overseer.NewJobs(w.Platform.Table()).Submit(ctx, w.Now(), spec)
	return spec.ID, err == nil
}

// TestCellUnderFaults runs a cell against faults at any moment, and checks
// that no task runs in two places, no instance is overcommitted, and every
// accepted job ends.
func TestCellUnderFaults(t *testing.T) {
	for _, seed := range seeds(20) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			w := testCellWorld(t, seed)
			rnd := rand.New(rand.NewPCG(seed, 4))
			accepted := map[string]bool{}
			faultsUntil := w.Now().Add(120 * time.Second)
			n := 0
			w.Every(250*time.Millisecond, func() bool {
				n++
				if id, ok := submitted(w, rnd, n); ok {
					accepted[id] = true
				}
				return w.Now().Before(faultsUntil)
			})
			w.Every(700*time.Millisecond, func() bool {
				randomCellFault(w, rnd, accepted)
				return w.Now().Before(faultsUntil)
			})
			w.Every(100*time.Millisecond, func() bool {
				checkInstances(t, w)
				return true
			})
			w.RunUntil(faultsUntil)
			mend(w)
			w.RunUntil(w.Now().Add(20 * time.Minute))
			checkJobs(t, w, accepted)
		})
	}
}

func randomCellFault(w *CellWorld, rnd *rand.Rand, accepted map[string]bool) {
	i := rnd.IntN(len(w.Owners))
	o := w.Owners[i]
	cw := w.Workers[rnd.IntN(len(w.Workers))]
	span := time.Duration(rnd.Int64N(int64(15 * time.Second)))
	switch rnd.IntN(11) {
	case 0:
		o.Kill()
		w.After(span, func() { w.ReplaceOwner(i) })
	case 1:
		o.Pause(span)
	case 2:
		o.noTable = true
		w.After(span, func() { o.noTable = false })
	case 3:
		o.noWorker[cw.Address] = true
		w.After(span, func() { delete(o.noWorker, cw.Address) })
	case 4:
		w.KillWorker(cw)
		w.After(span, func() { w.RebootWorker(cw) })
	case 5:
		w.Platform.SetFaults(faker.PlatformFaults{
			Down: true,
		})
		w.After(span/2, func() { w.Platform.SetFaults(faker.PlatformFaults{}) })
	case 6:
		w.Platform.SetFaults(faker.PlatformFaults{
			LoseAnswers: 1 + rnd.IntN(5),
		})
	case 7, 8:
		cancelSome(w, rnd, accepted)
	default:
		evictSome(w, rnd)
	}
}

func cancelSome(w *CellWorld, rnd *rand.Rand, accepted map[string]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	for range 5 {
		id := fmt.Sprintf("cell-1/job-%05d", 1+rnd.IntN(max(1, len(accepted))))
		// A cancellation that can't be recorded is refused, which is allowed.
		_ = overseer.NewJobs(w.Platform.Table()).Cancel(ctx, id)
	}
}

func evictSome(w *CellWorld, rnd *rand.Rand) {
	for _, o := range w.Owners {
		if !o.Alive() || o.paused || o.Core.Cell() == nil {
			continue
		}
		for _, id := range slices.Sorted(maps.Keys(w.Running)) {
			if len(w.Running[id]) > 0 && rnd.IntN(3) == 0 {
				o.Core.Cell().Evict(w.Now(), id, "test")
			}
		}
	}
}

// mend ends all faults.
func mend(w *CellWorld) {
	w.Platform.SetFaults(faker.PlatformFaults{})
	for i, o := range w.Owners {
		o.noTable = false
		clear(o.noWorker)
		w.ReplaceOwner(i)
	}
	for _, cw := range w.Workers {
		w.RebootWorker(cw)
	}
}

// checkInstances holds what truly runs against what instances have.
func checkInstances(t *testing.T, w *CellWorld) {
	t.Helper()
	assert.Equal(t, len(w.Doubled), 0, "ran in two places: %v", w.Doubled)
	for _, cw := range w.Workers {
		sum := cw.Worker.Load()
		assert.Assert(t, sum.ProcessorMillis <= testCapacity.ProcessorMillis, "%s runs %+v", cw.Address, sum)
		assert.Assert(t, sum.MemoryBytes <= testCapacity.MemoryBytes, "%s runs %+v", cw.Address, sum)
		assert.Assert(t, sum.Accelerators <= testCapacity.Accelerators, "%s runs %+v", cw.Address, sum)
	}
}

func checkJobs(t *testing.T, w *CellWorld, accepted map[string]bool) {
	t.Helper()
	jobs := overseer.NewJobs(w.Platform.Table())
	done := 0
	for id := range accepted {
		task, err := jobs.Get(context.Background(), id)
		assert.NilError(t, err)
		assert.Assert(t, task.State.Final(), "%s is %s (%s) at the end", id, task.State, task.Reason)
		if task.State == placer.StateDone {
			done++
			assert.Assert(t, w.Starts[id] >= 1, "%s is done but never ran", id)
		}
		if task.State == placer.StateCancelled && task.Start == 0 {
			assert.Equal(t, w.Starts[id], 0, "%s was cancelled before its start but ran", id)
		}
		assert.Assert(t, w.Starts[id] <= task.Start, "%s ran %d times for %d starts on record", id, w.Starts[id], task.Start)
		w.RunUntil(w.Now().Add(10 * time.Millisecond))
	}
	assert.Assert(t, done*2 > len(accepted), "only %d of %d done", done, len(accepted))
}

// TestStartMeetsASuccessor replaces a worker between the decision to place a
// task there and the call that starts it: the successor must not start what the
// owner will place elsewhere.
func TestStartMeetsASuccessor(t *testing.T) {
	turn := 0
	w := NewCellWorld(CellConfig{
		Seed:           1,
		Owners:         1,
		Workers:        3,
		Capacity:       testCapacity,
		Assert:         fatalAsserter(t, 1),
		CommitInterval: overseer.DefaultCommitInterval,
		Shape: func(c *placer.Cell) {
			// Each start goes to another worker than the one before.
			c.Choose = func(_ *placer.Task, fitting []placer.Candidate) placer.Candidate {
				turn++
				return fitting[turn%len(fitting)]
			}
		},
	})
	w.RunUntil(w.Now().Add(3 * time.Second))
	for i := range 20 {
		id := fmt.Sprintf("cell-1/successor-%02d", i)
		putOnRecord(t, w, smallJob(strings.TrimPrefix(id, "cell-1/"), 9, 5000))
		var task placer.Task
		for task.State != placer.StatePlaced {
			w.RunUntil(w.Now().Add(time.Millisecond))
			task = w.placedTask(id)
		}
		cw := w.worker(task.Worker)
		w.KillWorker(cw)
		w.RebootWorker(cw)
		for task.State != placer.StateAccepted {
			w.RunUntil(w.Now().Add(time.Millisecond))
			task = w.placedTask(id)
		}
		// The owner knows of the successor now, but can't tell it to stop.
		w.Owners[0].noWorker[cw.Address] = true
		w.RunUntil(w.Now().Add(4 * time.Second))
		delete(w.Owners[0].noWorker, cw.Address)
		w.RunUntil(w.Now().Add(10 * time.Second))
		assert.Equal(t, len(w.Doubled), 0, "ran in two places: %v", w.Doubled)
		assert.Assert(t, w.Starts[id] >= 1, "%s never ran", id)
	}
}

// placedTask returns a task as the cell's owner has it.
func (w *CellWorld) placedTask(id string) placer.Task {
	for _, o := range w.Owners {
		if cell := o.Core.Cell(); cell != nil {
			if task, ok := cell.Task(id); ok {
				return task
			}
		}
	}
	return placer.Task{}
}
