package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A job whose checkpoints grow once its tasks run must still fit into its row, or the store
// rejects it for ever: no further run of it starts, and no later end on its runners is
// acknowledged, whatever job it is of (LOST).
func TestRowFitsWhateverCheckpointsBecome(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			h := newLargeHarness(t, 1+rnd.IntN(20))
			step := newStep(1+rnd.IntN(900), 10)
			step.Checkpoints = true
			step.LongRunning = rnd.IntN(2) == 0
			gang := newStep(1+rnd.IntN(30), 10)
			gang.Gang = true
			gang.Checkpoints = rnd.IntN(2) == 0
			h.add("j", "checks", step, gang)
			h.tickUntilIdle()
			h.acceptAllStarts()
			j := h.cell.jobs["j"]
			for range 6 {
				for _, r := range h.runners {
					for i := range r.Running {
						r.Running[i].Checkpoint = strings.Repeat("c", rnd.IntN(1+rnd.IntN(4000)))
					}
				}
				h.advance(300 * time.Millisecond)
				assert.Equal(t, j.placed, step.Count+gang.Count)
				assertRow(t, j)
			}
		})
	}
}

// Checkpoints that don't fit must be left out of the row before those that nothing else tells
// the next owner: those of tasks that wait, and one for each gang.
func TestRowKeepsCheckpointsThatNothingElseTells(t *testing.T) {
	h := newLargeHarness(t, 6)
	waiting := newStep(100, 2_000_000)
	waiting.Checkpoints = true
	running := newStep(200, 10)
	running.Checkpoints = true
	gang := newStep(3, 10)
	gang.Gang = true
	h.add("j", "checks", running, waiting, gang)
	j := h.cell.jobs["j"]
	for i, task := range j.tasks() {
		task.setCheckpoint(strings.Repeat("c", 300) + fmt.Sprint(i))
	}
	h.tickUntilIdle()
	assert.Equal(t, j.placed, 203)
	p := assertRow(t, j)
	next := nextOwner(t, h.now)
	next.Load(h.now, j.spec, p)
	left := 0
	for i, task := range next.jobs["j"].tasks() {
		before := j.tasks()[i].checkpoint
		switch {
		case task.step != 0:
			assert.Equal(t, task.checkpoint, before, "task %d", i)
		case task.checkpoint != before:
			assert.Equal(t, task.checkpoint, "", "task %d", i)
			left++
		default:
		}
	}
	assert.Assert(t, left > 0 && left < 200, "%d are left out", left)
}

// A checkpoint that no row can hold must not be kept, or its gang has no row to start from.
func TestCheckpointLargerThanARowIsNotKept(t *testing.T) {
	h := newLargeHarness(t, 2)
	gang := newStep(3, 10)
	gang.Gang = true
	gang.Checkpoints = true
	h.add("j", "checks", gang)
	j := h.cell.jobs["j"]
	for _, task := range j.tasks() {
		task.setCheckpoint("old")
		task.setCheckpoint(strings.Repeat("c", maxRowBytes))
	}
	h.tickUntilIdle()
	assert.Equal(t, j.placed, 3)
	assert.Equal(t, assertRow(t, j).Tasks[0].Checkpoint, "old")
}

// Tasks must wait rather than make the row of their job too large for the store.
func TestTasksWaitRatherThanMakeTheRowTooLarge(t *testing.T) {
	h := newLargeHarness(t, 6)
	h.add("j", "checks", newStep(4800, 10))
	h.tickUntilIdle()
	j := h.cell.jobs["j"]
	assert.Assert(t, j.placed > 0 && j.placed < 4800, "%d tasks are placed", j.placed)
	p := assertRow(t, j)
	assert.Assert(t, p.size() <= maxRowBytes, "%d bytes", p.size())
}

// The members of a gang must start with the same checkpoint under the next owner as well, so
// the row must have it however many other tasks of the job are placed.
func TestFullRowHasTheCheckpointOfAGang(t *testing.T) {
	h := newLargeHarness(t, 6)
	gang := newStep(3, 10)
	gang.Gang = true
	h.add("j", "checks", gang, newStep(3200, 10))
	j := h.cell.jobs["j"]
	long := strings.Repeat("c", maxCheckpointBytes)
	j.tasks()[0].setCheckpoint(long)
	h.tickUntilIdle()
	assert.Assert(t, j.placed > 3 && j.placed < 3203, "%d tasks are placed", j.placed)
	next := nextOwner(t, h.now)
	next.Load(h.now, j.spec, assertRow(t, j))
	for _, task := range next.jobs["j"].tasks()[:gang.Count] {
		assert.Assert(t, task.checkpoint == long, "%s has a checkpoint of %d bytes", task.name(), len(task.checkpoint))
	}
}
