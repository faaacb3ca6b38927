package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func TestTakeover(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(4, 500))
	h.cell.Tick(h.now, true)
	commit, _ := h.cell.Commit()
	next := nextOwner(t, h.now.Add(testLease))
	next.SetQueues(testQueues())
	next.Load(h.now, h.cell.jobs["j"].spec, commit.Rows[0].Progress)
	h.cell = next
	t.Run("starts no new runs", func(t *testing.T) {
		h.advance(testLease - time.Second)
		for agent := range h.runners {
			for _, s := range h.cell.Sync(h.now, agent, true).Starts {
				assert.Equal(t, s.Run, 1)
				assert.Assert(t, s.Repeated)
			}
		}
	})
	t.Run("does not load a finished job", func(t *testing.T) {
		next.Load(h.now, Spec{
			ID:    "old",
			Steps: []Step{newStep(1, 500)},
		}, Progress{
			State: StateCompleted,
		})
		assert.Assert(t, !next.HasJob("old"))
	})
}

func TestCancelledJobIsStopped(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(2, 500))
	h.tickUntilIdle()
	h.acceptStarts("x")
	h.cell.Cancel(h.now, "j")
	h.tickUntilIdle()
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Stops), 2)
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishStopped)
	h.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	h.tickUntilIdle()
	assert.Assert(t, !h.cell.HasJob("j"))
}

// The leases of a runner that left must not be renewed by the reports of its
// agent: its tasks would wait for a lease that nobody holds.
func TestTasksOfLeftRunnerStartElsewhere(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	left, other := "x", "y"
	if len(h.acceptStarts("x")) == 0 {
		left, other = "y", "x"
		h.acceptStarts("y")
	}
	h.advance(time.Second)
	r := h.runners[left]
	r.Runner.Draining = true
	r.Runner.Left = true
	// The runner answers no more, so its clock is not read again.
	r.Listed = false
	delete(h.runners, left)
	for range 4 {
		h.cell.HandleReport(h.now, left, *r)
		for _, agent := range h.cell.Dirty() {
			h.cell.Sync(h.now, agent, true)
		}
		h.advance(500 * time.Millisecond)
	}
	assert.DeepEqual(t, h.acceptStarts(other), []framer.RunRef{runRef("j.0.0.0", 2)})
}
