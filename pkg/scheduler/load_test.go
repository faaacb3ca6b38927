package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/estimator"
)

// Guards against an overload that is not stated, refusals of urgent jobs because of less
// urgent ones, and an owner that states an overload before it has observed it.
func TestOverloadOfLessUrgentQueueIsReported(t *testing.T) {
	h := newCellHarness(t, "x")
	refused := func(queue string) bool {
		v := estimator.View{
			Report: h.cell.LoadReport(h.now),
			AsOf:   h.now,
		}
		return v.Refuse(h.now, &estimator.Job{
			ID:    "new",
			Queue: queue,
			Waits: true,
		}) != nil
	}
	h.add("urgent", "checks", newStep(1, 1000))
	h.overload(10)
	assert.Assert(t, !refused("reviews"), "the owner has just started")
	h.overload(30)
	assert.Assert(t, refused("reviews"))
	assert.Assert(t, !refused("checks"))
}

// Long-running and scheduled jobs, and those that use idle processors, do not wait
// behind the backlog, so they are not refused for load.
func TestOverloadRefusesOnlyJobsThatCompete(t *testing.T) {
	step := newStep(1, 1000)
	spec := Spec{
		Steps: []Step{step},
	}
	assert.Assert(t, spec.Competes())
	spec.RunCount = 1
	assert.Assert(t, !spec.Competes())
	longRunning, bestEffort := step, step
	longRunning.LongRunning = true
	bestEffort.BestEffort = true
	for _, other := range []Step{longRunning, bestEffort} {
		spec := Spec{
			Steps: []Step{step, other},
		}
		assert.Assert(t, !spec.Competes())
	}
	assert.Equal(t, spec.Needs()[0].ProcessorMillis, int64(1000))
}
