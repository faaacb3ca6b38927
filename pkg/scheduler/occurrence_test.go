package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// addTimed adds a job whose occurrences are due one after the other.
func (h *cellHarness) addTimed(id string, runs int, firstIn, interval time.Duration) Spec {
	spec := Spec{
		ID:             id,
		Queue:          "checks",
		Service:        "polls",
		Steps:          []Step{newStep(1, 100)},
		RunCount:       runs,
		StartAtMillis:  h.now.Add(firstIn).UnixMilli(),
		IntervalMillis: interval.Milliseconds(),
	}
	h.cell.Add(h.now, spec)
	return spec
}

// The owner must not hold the tasks of all occurrences of its jobs, or a burst of jobs that are
// due much later takes it over the memory of its instance, and each next owner too.
func TestOccurrencesTakeNoMemoryBeforeTheyAreDue(t *testing.T) {
	h := newCellHarness(t, "x0")
	for i := range 88 {
		h.addTimed(fmt.Sprintf("j%d", i), 5000, time.Hour, time.Minute)
	}
	h.tickUntilIdle()
	tasks := 0
	for _, j := range h.cell.jobs {
		tasks += len(j.tasks())
	}
	assert.Equal(t, tasks, 88)
}

// Each occurrence must run at its time, also under the next owner, and the job must not be
// completed before the last one.
func TestOccurrencesRunWhenTheyAreDue(t *testing.T) {
	h := newCellHarness(t, "x0")
	spec := h.addTimed("j", 4, time.Second, 2*time.Second)
	runDue := func(occurrence int) {
		t.Helper()
		h.tickUntilIdle()
		refs := h.acceptAllStarts()
		assert.DeepEqual(t, refs, []framer.RunRef{runRef(taskName("j", occurrence, 0, 0), 1)})
		h.finish("x0", refs[0], framer.FinishDone)
	}
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptAllStarts()), 0, "nothing is due")
	h.advance(time.Second)
	runDue(0)
	h.advance(2 * time.Second)
	runDue(1)
	row := h.cell.jobs["j"].progress()
	assert.Equal(t, len(row.Tasks), 2, "the row lists what was due")

	h.cell = nextOwner(t, h.now)
	h.cell.SetQueues(testQueues())
	h.cell.Load(h.now, spec, row)
	h.runners["x0"].Epoch = 2
	h.runners["x0"].Finished = nil
	h.report("x0")
	h.advance(2 * time.Second)
	runDue(2)
	assert.Equal(t, h.state("j"), StateRunning)
	h.advance(2 * time.Second)
	runDue(3)
	assert.Equal(t, h.state("j"), StateCompleted)
}

// A job of occurrences that are due in the reverse order must run all of them.
func TestOccurrencesInReverseOrder(t *testing.T) {
	h := newCellHarness(t, "x0")
	h.addTimed("j", 3, 2*time.Second, -500*time.Millisecond)
	h.advance(time.Second)
	assert.DeepEqual(t, h.acceptAllStarts(), []framer.RunRef{runRef("j.2.0.0", 1)})
	h.advance(time.Second)
	assert.Equal(t, len(h.acceptAllStarts()), 2)
}
