package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/ranker"
)

// overload keeps small batch jobs waiting for the only runner, and finishes whatever
// runs, for a number of rounds of 100 ms. It returns the tasks that were started.
func (h *cellHarness) overload(rounds int) []string {
	var started []string
	first := len(h.cell.jobs)
	for n := first; n < first+rounds; n++ {
		for i := range 40 {
			h.add(fmt.Sprintf("small-%d-%d", n, i), "reviews", newStep(1, 1000+i))
		}
		if n%4 == 0 {
			h.add(fmt.Sprintf("large-%d", n), "reviews", newStep(4, 6000))
		}
		h.advance(100 * time.Millisecond)
		for _, ref := range h.acceptStarts("x") {
			started = append(started, ref.Task)
			h.finish("x", ref, framer.FinishDone)
		}
		h.tickUntilIdle()
	}
	return started
}

// Guards against large jobs that wait for as long as smaller ones arrive faster than
// they are served.
func TestLargeJobsAreServedWhileSmallOnesOverload(t *testing.T) {
	h := newCellHarness(t, "x")
	started := h.overload(20)
	assert.Assert(t, slices.ContainsFunc(started, func(task string) bool { return task[:5] == "large" }))
	starts := h.cell.QueueStarts()["reviews"]
	assert.Equal(t, starts.Rest+starts.Large+starts.Largest, h.cell.Counts.Starts)
	assert.Assert(t, starts.Largest > 0 && starts.Promotions > 0, "%+v", starts)
}

// The next owner must know the size classes of the waiting jobs, which are all that it
// has.
func TestNewOwnerServesLargeJobsUnderOverload(t *testing.T) {
	h := newCellHarness(t, "x")
	h.overload(6)
	former := h.cell
	h.cell = newCellHarness(t).cell
	for id, j := range former.jobs {
		if !j.state.Final() && j.placed == 0 {
			h.cell.Load(h.now, former.jobs[id].spec, j.progress())
		}
	}
	h.runners["x"].Finished = nil
	h.overload(14)
	starts := h.cell.QueueStarts()["reviews"]
	assert.Assert(t, starts.Largest > 0, "%+v", starts)
}

// BenchmarkOrder orders the waiting steps of a fleet whose jobs wait 40 for each runner.
func BenchmarkOrder(b *testing.B) {
	for _, runners := range []int{30, 300, 1000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			f := newFleet(0)
			random := rand.New(rand.NewPCG(1, 0))
			for range runners {
				f.add(1 + random.IntN(waitingTasks))
			}
			f.cell.collectWaiting(f.now)
			b.ReportAllocs()
			for b.Loop() {
				random.Shuffle(len(f.cell.waiting), func(i, j int) {
					f.cell.waiting[i], f.cell.waiting[j] = f.cell.waiting[j], f.cell.waiting[i]
				})
				f.cell.applyFloors(f.now)
				slices.SortFunc(f.cell.waiting, compareCandidates)
			}
		})
	}
}

// A cell orders its waiting steps at each placement, so that must not allocate.
func TestOrderCostsNoAllocation(t *testing.T) {
	f := newFleet(0)
	for n := range 100 {
		f.add(1 + n%waitingTasks)
	}
	now := f.now.Add(time.Minute)
	f.cell.collectWaiting(now)
	assert.Equal(t, f.cell.waiting[0].Key.Rank, ranker.VeryLate)
	assert.Equal(t, testing.AllocsPerRun(20, func() { f.cell.collectWaiting(now) }), 0.0)
}
