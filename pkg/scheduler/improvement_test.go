package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A task that no runner can hold is only tried again on runners that improved.
// Each way in which a runner improves must be noticed, also those by time alone.
func TestWaitingTaskStartsOnceRunnerImproves(t *testing.T) {
	const startWithin = 500 * time.Millisecond
	for _, test := range []struct {
		name string
		step Step
		// obstruct keeps the task off the only runner, and improve ends that.
		obstruct func(h *cellHarness, x *framer.Report)
		improve  func(h *cellHarness, x *framer.Report)
	}{
		{
			name:     "its capacity grows",
			step:     longRunningStep(1, 40_000),
			obstruct: func(*cellHarness, *framer.Report) {},
			improve:  func(_ *cellHarness, x *framer.Report) { x.Runner.ProcessorMillis = 64_000 },
		},
		{
			name: "it gets the label that the task requires",
			step: Step{
				Count:       1,
				Needs:       newStep(1, 500).Needs,
				LongRunning: true,
				Requires:    "gpu",
			},
			obstruct: func(*cellHarness, *framer.Report) {},
			improve:  func(_ *cellHarness, x *framer.Report) { x.Runner.Labels = append(x.Runner.Labels[:1:1], "gpu") },
		},
		{
			name:     "it is not draining any more",
			step:     longRunningStep(1, 500),
			obstruct: func(_ *cellHarness, x *framer.Report) { x.Runner.Draining = true },
			improve:  func(_ *cellHarness, x *framer.Report) { x.Runner.Draining = false },
		},
		{
			name: "it has not left",
			step: longRunningStep(1, 500),
			obstruct: func(_ *cellHarness, x *framer.Report) {
				x.Runner.Left = true
				x.Runner.Draining = true
			},
			improve: func(_ *cellHarness, x *framer.Report) {
				x.Runner.Left = false
				x.Runner.Draining = false
			},
		},
		{
			name: "it is listed again",
			step: longRunningStep(1, 500),
			obstruct: func(h *cellHarness, x *framer.Report) {
				x.ListingAgeMillis = 60_000
				h.advance(2 * listingTTL)
			},
			improve: func(_ *cellHarness, x *framer.Report) { x.ListingAgeMillis = 0 },
		},
		{
			name: "the link to its agent is open again",
			step: longRunningStep(1, 500),
			obstruct: func(h *cellHarness, _ *framer.Report) {
				h.cell.AgentDisconnected("x")
				h.runners = map[string]*framer.Report{}
			},
			improve: func(h *cellHarness, x *framer.Report) { h.runners["x"] = x },
		},
		{
			name: "it lists an unexpected run no more",
			step: longRunningStep(1, 20_000),
			obstruct: func(h *cellHarness, x *framer.Report) {
				h.add("other", "checks", newStep(1, 20_000))
				x.Running = []framer.RunStatus{{
					RunRef: runRef("other.0.0.0", 99),
				}}
				h.report("x")
				h.cell.Cancel(h.now, "other")
			},
			improve: func(_ *cellHarness, x *framer.Report) { x.Running = nil },
		},
		{
			name: "it restarted with a lower start time",
			step: longRunningStep(1, 500),
			obstruct: func(h *cellHarness, x *framer.Report) {
				h.cell.AgentDisconnected("x")
				h.runners = map[string]*framer.Report{}
			},
			improve: func(h *cellHarness, x *framer.Report) {
				x.Runner.Key.StartedAtMillis -= 500
				x.ClockMillis = 5
				h.runners["x"] = x
			},
		},
		{
			name: "its queue is sent to it again",
			step: longRunningStep(1, 500),
			obstruct: func(h *cellHarness, _ *framer.Report) {
				queues := testQueues()
				queues.List[1].Service = "elsewhere"
				h.cell.SetQueues(queues)
			},
			improve: func(h *cellHarness, _ *framer.Report) { h.cell.SetQueues(testQueues()) },
		},
		{
			name: "a task ends there that was to be stopped and never started",
			step: longRunningStep(1, 20_000),
			obstruct: func(h *cellHarness, x *framer.Report) {
				h.add("other", "checks", newStep(1, 20_000))
				h.tickUntilIdle()
				h.cell.Sync(h.now, "x", true)
				h.cell.Cancel(h.now, "other")
			},
			improve: func(_ *cellHarness, x *framer.Report) {
				x.Finished = []framer.FinishedRun{{
					RunRef: runRef("other.0.0.0", 1),
					Reason: framer.FinishNeverStarted,
				}}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newCellHarness(t, "x")
			x := h.runners["x"]
			test.obstruct(h, x)
			h.add("l", "reviews", test.step)
			h.advance(2 * time.Second)
			assert.Equal(t, h.cell.jobs["l"].placed, 0)
			test.improve(h, x)
			h.advance(startWithin)
			assert.Equal(t, len(h.acceptStarts("x")), 1)
		})
	}
}

// A runner may begin to drain, remain, and begin to drain again. Its
// long-running tasks must be stopped each time, and run there in between.
func TestRunnerDrainsTwice(t *testing.T) {
	h := newCellHarness(t, "x")
	x := h.runners["x"]
	h.add("l", "checks", longRunningStep(1, 500))
	h.tickUntilIdle()
	h.acceptStarts("x")
	for n := 1; n <= 2; n++ {
		x.Runner.Draining = true
		h.advance(100 * time.Millisecond)
		assert.DeepEqual(t, h.cell.Sync(h.now, "x", true).Stops, []framer.RunRef{runRef("l.0.0.0", n)})
		x.Runner.Draining = false
		h.finish("x", runRef("l.0.0.0", n), framer.FinishStopped)
		h.tickUntilIdle()
		assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("l.0.0.0", n+1)})
	}
}

// After a pause of the owner, all listings are old. Its runners must get tasks
// as soon as they report again.
func TestPausedOwnerPlacesTasksAfterNextReports(t *testing.T) {
	h := newCellHarness(t, "x")
	h.advance(time.Second)
	h.now = h.now.Add(20 * time.Second)
	h.cell.Tick(h.now, true)
	h.add("l", "checks", longRunningStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, h.cell.jobs["l"].placed, 0)
	h.advance(100 * time.Millisecond)
	assert.Equal(t, len(h.acceptStarts("x")), 1)
}
