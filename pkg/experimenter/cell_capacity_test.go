package experimenter

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// TestChangingCapacityOfWorkersIsKept guards against starts beyond the capacity of a worker
// that has shrunk while it runs.
func TestChangingCapacityOfWorkersIsKept(t *testing.T) {
	for _, seed := range seeds(8) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			sim := newTestCellSimulation(t, seed)
			rnd := rand.New(rand.NewPCG(seed, 9))
			accepted := map[string]bool{}
			until := sim.Now().Add(90 * time.Second)
			w := newCapacityWatch(t, sim)
			n := 0
			sim.Every(400*time.Millisecond, func() bool {
				n++
				if id, ok := submitJob(sim, rnd, n); ok {
					accepted[id] = true
				}
				return sim.Now().Before(until)
			})
			sim.Every(700*time.Millisecond, func() bool {
				cw := sim.Workers[rnd.IntN(len(sim.Workers))]
				w.setProcessors(cw, testCapacity.ProcessorMillis*(1+rnd.Int64N(4))/4)
				return sim.Now().Before(until)
			})
			sim.Every(9*time.Second, func() bool {
				i := rnd.IntN(len(sim.Owners))
				sim.Owners[i].Kill()
				sim.After(2*time.Second, func() { sim.ReplaceOwner(i) })
				return sim.Now().Before(until)
			})
			sim.RunUntil(until)
			for _, cw := range sim.Workers {
				w.setProcessors(cw, testCapacity.ProcessorMillis)
			}
			sim.RunUntil(until.Add(10 * time.Minute))
			checkJobs(t, sim, accepted)
		})
	}
}

// capacityWatch changes the capacities of workers, and checks at each start that the
// worker has the capacity for what runs, or had it a short time ago.
type capacityWatch struct {
	sim     *CellSimulation
	present map[*CellWorker]publisher.Resources
	former  map[*CellWorker][]capacityChange
}

func newCapacityWatch(t *testing.T, sim *CellSimulation) *capacityWatch {
	t.Helper()
	w := &capacityWatch{
		sim:     sim,
		present: map[*CellWorker]publisher.Resources{},
		former:  map[*CellWorker][]capacityChange{},
	}
	for _, cw := range sim.Workers {
		w.present[cw] = testCapacity
		started := cw.Worker.OnStart
		cw.Worker.OnStart = func(id string, start int) {
			started(id, start)
			sim.After(0, func() {
				sum, limit := cw.Worker.Allocated(), w.startCapacity(cw)
				assert.Assert(t, publisher.Within(sum, limit), "%s starts on %s, which runs %v of %v", id, cw.Address, sum, limit)
			})
		}
	}
	return w
}

// setProcessors changes the processors of a worker while it runs.
func (w *capacityWatch) setProcessors(cw *CellWorker, millis int64) {
	w.former[cw] = append(w.former[cw], capacityChange{
		until:    w.sim.Now(),
		capacity: w.present[cw],
	})
	capacity := testCapacity
	capacity.ProcessorMillis = millis
	w.present[cw] = capacity
	cw.Worker.SetCapacity(capacity)
}

// startCapacity returns the capacity that a start on a worker may count on.
func (w *capacityWatch) startCapacity(cw *CellWorker) publisher.Resources {
	largest := w.present[cw]
	for _, former := range w.former[cw] {
		if w.sim.Now().Sub(former.until) <= shrinkGrace {
			largest = publisher.Max(largest, former.capacity)
		}
	}
	return largest
}
