package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

func TestJobFailsAfterMaxFailures(t *testing.T) {
	h := newCellHarness(t, "x", "y", "z")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	for n := 1; n <= 2; n++ {
		for agent := range h.runners {
			for _, ref := range h.acceptStarts(agent) {
				assert.Equal(t, ref, runRef("j.0.0.0", n))
				h.finish(agent, ref, framer.FinishFailed)
			}
		}
		h.tickUntilIdle()
	}
	assert.Equal(t, len(h.acceptAllStarts()), 0)
	assert.Assert(t, !h.cell.HasJob("j"))
}

func TestRetryAvoidsFailedRunner(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	for agent, other := range map[string]string{"x": "y", "y": "x"} {
		for _, ref := range h.acceptStarts(agent) {
			h.finish(agent, ref, framer.FinishFailed)
			h.tickUntilIdle()
			assert.Equal(t, len(h.acceptStarts(other)), 1)
			return
		}
	}
	t.Fatal("no task was started")
}

func TestFailingRunnerIsQuarantined(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	for i := range 8 {
		h.add(fmt.Sprintf("j%d", i), "checks", newStep(1, 500))
	}
	h.tickUntilIdle()
	for _, ref := range h.acceptStarts("x") {
		h.finish("x", ref, framer.FinishFailed)
	}
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	assert.Assert(t, len(h.acceptStarts("y")) >= 8)
}

func TestJobFailingOnSeveralRunnersCountsAgainstNone(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	for i := range 3 {
		h.add(fmt.Sprintf("bad%d", i), "checks", newStep(8, 500))
	}
	h.tickUntilIdle()
	for agent := range h.runners {
		for _, ref := range h.acceptStarts(agent) {
			h.finish(agent, ref, framer.FinishFailed)
		}
	}
	for _, s := range h.cell.runners {
		assert.Equal(t, len(s.failedJobs), 0)
	}
}

// A run of an unknown task that turns out to be a current one must not count
// twice, nor be stopped, for as long as the runner lists it.
func TestListedRunOfLoadedJobIsNotUnexpected(t *testing.T) {
	h := newCellHarness(t, "x")
	h.runners["x"].Running = []framer.RunStatus{{
		RunRef: runRef("l.0.0.0", 1),
	}}
	h.report("x")
	h.cell.Load(h.now, Spec{
		ID:      "l",
		Queue:   "checks",
		Service: "polls",
		Steps:   []Step{longRunningStep(1, 500)},
	}, Progress{
		State: StateRunning,
		Tasks: []TaskProgress{{
			Run:                   1,
			RunnerID:              "i-x",
			RunnerStartedAtMillis: 1000,
		}},
	})
	h.report("x")
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Stops), 0)
	assert.Equal(t, len(h.cell.agents["x"].unexpectedRuns), 0)
}

// Long-running tasks fail at any time, and never end as done. Their failures
// must not quarantine a runner on which they worked for long.
func TestLateFailuresOfLongRunningTasksCountAgainstNoRunner(t *testing.T) {
	for _, test := range []struct {
		name        string
		work        time.Duration
		quarantined bool
	}{
		{
			name:        "soon after the start",
			work:        provenWork - time.Second,
			quarantined: true,
		},
		{
			name:        "after a long time at work",
			work:        provenWork,
			quarantined: false,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newCellHarness(t, "x")
			for i := range quarantineThreshold {
				h.add(fmt.Sprintf("l%d", i), "checks", longRunningStep(1, 500))
			}
			h.tickUntilIdle()
			h.acceptStarts("x")
			h.advance(test.work)
			for i := range quarantineThreshold {
				h.finish("x", runRef(fmt.Sprintf("l%d.0.0.0", i), 1), framer.FinishFailed)
			}
			assert.Equal(t, h.cell.agents["x"].quarantined(h.now), test.quarantined)
		})
	}
}
