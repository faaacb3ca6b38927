package scheduler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/ranker"
)

func TestStepWaitsForItsDependencies(t *testing.T) {
	h := newCellHarness(t, "x")
	second := newStep(1, 500)
	second.After = []int{0}
	h.add("j", "checks", newStep(2, 500), second)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 2)
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	h.finish("x", runRef("j.0.0.1", 1), framer.FinishDone)
	h.tickUntilIdle()
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.1.0", 1)})
}

func TestCapacityIsNotExceeded(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(9, 10_000))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptAllStarts()), 6)
	t.Run("tasks being stopped still count", func(t *testing.T) {
		h.cell.Cancel(h.now, "j")
		h.add("k", "checks", newStep(6, 10_000))
		h.tickUntilIdle()
		assert.Equal(t, len(h.acceptAllStarts()), 0)
	})
}

func TestDrainingRunnerGetsNoTasks(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	longRunning := newStep(1, 500)
	longRunning.LongRunning = true
	h.add("l", "checks", longRunning)
	h.tickUntilIdle()
	from, to := "x", "y"
	if len(h.acceptStarts("x")) == 0 {
		from, to = "y", "x"
		h.acceptStarts("y")
	}
	h.runners[from].Runner.Draining = true
	h.report(from)
	assert.Equal(t, len(h.cell.Sync(h.now, from, true).Stops), 1)
	h.finish(from, runRef("l.0.0.0", 1), framer.FinishStopped)
	h.add("j", "checks", newStep(4, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts(from)), 0)
	assert.Equal(t, len(h.acceptStarts(to)), 5)
}

func TestGang(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	gang := newStep(4, 20_000)
	gang.Gang = true
	h.add("big", "checks", gang)
	gang.Count = 2
	h.add("small", "checks", gang)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptAllStarts()), 2, "all tasks of a gang or none")
	h.finish("x", h.runners["x"].Running[0].RunRef, framer.FinishDone)
	h.tickUntilIdle()
	assert.Assert(t, !h.cell.HasJob("small"), "one finished run completes the gang")
}

func TestStarvedBestEffortJobIsPlaced(t *testing.T) {
	h := newCellHarness(t, "x")
	critical := newStep(1, 10_000)
	critical.LongRunning = true
	critical.TargetMillis = 20
	critical.Image = "feed"
	h.add("s", "checks", critical)
	h.tickUntilIdle()
	h.acceptStarts("x")
	for range 50 {
		h.cell.interference.observe("feed", imageShares{"heavy": 0.1}, math.Log(3))
		h.cell.interference.observe("feed", imageShares{}, math.Log(0.5))
	}
	bestEffort := newStep(3, 4000)
	bestEffort.BestEffort = true
	bestEffort.Image = "heavy"
	h.add("f", "reviews", bestEffort)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	// A job must not wait with nothing running while most of the capacity is
	// unused; the agent throttles its tasks if necessary.
	h.advance(2 * time.Second)
	assert.Equal(t, len(h.acceptStarts("x")), minRunning)
	t.Run("keeps the minimum number of tasks running from then on", func(t *testing.T) {
		h.finish("x", runRef("f.0.0.0", 1), framer.FinishDone)
		h.tickUntilIdle()
		assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("f.0.0.2", 1)})
	})
}

// The time of day differs between instances and may jump by seconds. It must not
// decide which of two jobs is late.
func TestTimeOfDayOfOtherInstancesDoesNotMakeJobLate(t *testing.T) {
	h := newCellHarness(t, "x")
	for _, ahead := range []time.Duration{-time.Hour, 0, time.Hour} {
		spec := Spec{
			ID:               fmt.Sprintf("accepted-%s", ahead),
			Queue:            "checks",
			Service:          "polls",
			Steps:            []Step{newStep(1, 500)},
			AcceptedAtMillis: h.now.Add(ahead).UnixMilli(),
		}
		h.cell.Add(h.now, spec)
		c := h.cell.candidate(h.now, h.cell.jobs[spec.ID], h.cell.jobs[spec.ID].occurrences[0], 0)
		assert.Equal(t, c.Key.Rank, ranker.OnTime, "%s", ahead)
		assert.Equal(t, c.dueBy, h.now.Add(1750*time.Millisecond), "%s", ahead)
	}
}
