package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Each cause of a wait is named, with the runners that refuse the task by why
// they do.
func TestWaitCauses(t *testing.T) {
	small := newStep(1, 1000)
	for _, tc := range []struct {
		name string
		// set makes the task of job "w" wait.
		set   func(h *cellHarness)
		cause string
		pairs waitLine
	}{
		{
			name: "all processors are allocated",
			set: func(h *cellHarness) {
				h.add("f", "checks", longRunning(newStep(1, 32_000)))
				h.startAll()
				h.add("w", "checks", small)
			},
			cause: "no-room",
			pairs: waitLine{
				"no-processors": 1,
				"service":       "polls",
			},
		},
		{
			name: "not enough memory",
			set: func(h *cellHarness) {
				step := newStep(1, 1000)
				step.Needs.MemoryBytes = 129 * gigabyte
				h.add("w", "checks", step)
			},
			cause: "no-room",
			pairs: waitLine{
				"no-memory": 1,
			},
		},
		{
			name: "not enough accelerators",
			set: func(h *cellHarness) {
				step := newStep(1, 1000)
				step.Needs.Accelerators = 1
				h.add("w", "checks", step)
			},
			cause: "no-room",
			pairs: waitLine{
				"no-accelerators": 1,
			},
		},
		{
			name: "the rest is reserved for another queue",
			set: func(h *cellHarness) {
				h.fillMost()
				h.add("w", "reviews", newStep(1, 10_000))
			},
			cause: "no-room",
			pairs: waitLine{
				"reserved": 1,
			},
		},
		{
			name: "no runner has the label",
			set: func(h *cellHarness) {
				step := newStep(1, 1000)
				step.Requires = "gpu"
				h.add("w", "checks", step)
			},
			cause: "no-runner-with-label",
			pairs: waitLine{
				"without-label": 1,
			},
		},
		{
			name: "anti-affinity",
			set: func(h *cellHarness) {
				step := longRunning(newStep(2, 1000))
				step.AntiAffinity = 1
				h.add("w", "checks", step)
				h.startAll()
			},
			cause: "anti-affinity",
			pairs: waitLine{
				"anti-affinity": 1,
				"waiting":       1,
				"oldest":        "w.0.0.1",
			},
		},
		{
			name: "best-effort task, busy runner",
			set: func(h *cellHarness) {
				h.add("f", "checks", longRunning(newStep(1, 32_000)))
				h.startAll()
				step := newStep(1, 1000)
				step.BestEffort = true
				h.add("w", "reviews", step)
			},
			cause: "interference",
			pairs: waitLine{
				"busy": 1,
			},
		},
		{
			name: "best-effort task, not tolerated",
			set: func(h *cellHarness) {
				h.learnPair("voice", "heavy", 20)
				step := latencyCriticalStep(1, "voice", false)
				step.Needs.ProcessorMillis = 24_000
				h.add("f", "checks", step)
				h.startAll()
				step = newStep(1, 4000)
				step.BestEffort = true
				step.Image = "heavy"
				h.add("w", "reviews", step)
			},
			cause: "interference",
			pairs: waitLine{
				"not-tolerated": 1,
			},
		},
		{
			name: "the service has no runner",
			set: func(h *cellHarness) {
				h.cell.SetQueues(&Queues{
					Version: 2,
					List: []Queue{{
						Name:    "checks",
						Service: "moved",
					}},
				})
				h.add("w", "checks", small)
			},
			cause: "no-runner",
			pairs: waitLine{
				"service": "moved",
			},
		},
		{
			name: "the runner drains",
			set: func(h *cellHarness) {
				h.runners["a"].Runner.Draining = true
				h.add("w", "checks", small)
			},
			cause: "no-schedulable-runner",
			pairs: waitLine{
				"draining": 1,
			},
		},
		{
			name: "no link to the agent",
			set: func(h *cellHarness) {
				h.cell.AgentDisconnected("a")
				delete(h.runners, "a")
				h.add("w", "checks", small)
			},
			cause: "no-schedulable-runner",
			pairs: waitLine{
				"no-link": 1,
			},
		},
		{
			name: "the runner lists nothing",
			set: func(h *cellHarness) {
				delete(h.runners, "a")
				h.now = h.now.Add(listingTTL)
				h.add("w", "checks", small)
			},
			cause: "no-schedulable-runner",
			pairs: waitLine{
				"no-listing": 1,
			},
		},
		{
			name: "the runner is quarantined",
			set: func(h *cellHarness) {
				h.runPart()
				s := h.cell.agents["a"]
				s.recordFailure(h.now, "x")
				s.recordFailure(h.now, "y")
				h.stopPart()
			},
			cause: "no-schedulable-runner",
			pairs: waitLine{
				"quarantined": 1,
			},
		},
		{
			name: "the runner is stalled",
			set: func(h *cellHarness) {
				h.runPart()
				s := h.cell.agents["a"]
				s.stalled = true
				s.startQuarantine(h.now)
				h.stopPart()
			},
			cause: "no-schedulable-runner",
			pairs: waitLine{
				"stalled": 1,
			},
		},
		{
			name: "the runner tries another task after its quarantine",
			set: func(h *cellHarness) {
				h.add("f", "checks", newStep(1, 1000))
				h.startAll()
				h.runPart()
				h.cell.agents["a"].failedJobs = []string{"x", "y"}
				h.stopPart()
			},
			cause: "no-schedulable-runner",
			pairs: waitLine{
				"on-probation": 1,
			},
		},
		{
			name: "the agent's link is lost",
			set: func(h *cellHarness) {
				h.add("w", "checks", longRunning(small))
				h.startAll()
				h.cell.AgentDisconnected("a")
				delete(h.runners, "a")
			},
			cause: "lease-of-lost-runner",
			pairs: waitLine{
				"runner": "i-a",
				"run":    1,
			},
		},
		{
			name: "the lost runner's last listing is old",
			set: func(h *cellHarness) {
				h.add("w", "checks", longRunning(small))
				h.startAll()
				delete(h.runners, "a")
			},
			cause: "lease-of-lost-runner",
			pairs: waitLine{
				"runner": "i-a",
			},
		},
		{
			name: "a stop takes long",
			set: func(h *cellHarness) {
				h.add("w", "checks", longRunning(small))
				h.startAll()
				h.cell.stop(h.cell.jobs["w"].tasks()[0])
			},
			cause: "stopping",
			pairs: waitLine{
				"runner": "i-a",
			},
		},
		{
			name: "the agent is not asked to start the run",
			set: func(h *cellHarness) {
				h.add("w", "checks", small)
				h.tickUntilIdle()
				h.cell.jobs["w"].tasks()[0].committedRun = 0
			},
			cause: "commit-not-confirmed",
		},
		{
			name: "the runner does not accept the run",
			set: func(h *cellHarness) {
				h.add("w", "checks", small)
				h.tickUntilIdle()
			},
			cause: "start-not-accepted",
			pairs: waitLine{
				"runner": "i-a",
			},
		},
		{
			name: "the run is missing from the listings and was asked to stop",
			set: func(h *cellHarness) {
				h.add("w", "checks", longRunning(small))
				h.startAll()
				h.runners["a"].Running = nil
			},
			cause: "stopping",
		},
		{
			name: "some members of a gang fit",
			set: func(h *cellHarness) {
				step := newStep(2, 20_000)
				step.Gang = true
				h.add("w", "checks", step)
			},
			cause: "no-room-for-gang",
			pairs: waitLine{
				"accepting": 1,
				"waiting":   2,
			},
		},
		{
			name: "a member of the gang still has a runner",
			set: func(h *cellHarness) {
				step := longRunning(newStep(2, 1000))
				step.Gang = true
				h.add("w", "checks", step)
				h.startAll()
				h.finish("a", runRef("w.0.0.1", 1), framer.FinishStopped)
			},
			cause: "gang-incomplete",
			pairs: waitLine{
				"oldest": "w.0.0.1",
			},
		},
		{
			name: "the job is missing where placement looks",
			set: func(h *cellHarness) {
				h.add("w", "checks", small)
				h.cell.jobs["w"].unplaced = false
				h.cell.unplaced = nil
			},
			cause: "not-queued",
		},
		{
			name: "a wrong record that the runners are full",
			set: func(h *cellHarness) {
				h.fillMost()
				h.add("w", "checks", small)
				h.cell.index.refresh()
				h.cell.jobs["w"].occurrences[0].full[0] = fullRunners{
					change: h.cell.index.change,
					queues: h.cell.queues,
				}
			},
			cause: "not-chosen",
			pairs: waitLine{
				"accepting": 1,
			},
		},
	} {
		t.Run(tc.name, func(t *testing.T) {
			h := newCellHarness(t, "a")
			lines := h.waitLines()
			tc.set(h)
			h.advance(longWait - waitSweepInterval)
			assert.Equal(t, len(*lines), 0)
			h.advance(3 * time.Second)
			found := waitLine{}
			for _, line := range *lines {
				if line["job"] == "w" && line["cause"] == tc.cause {
					found = line
				}
			}
			assert.Equal(t, found["cause"], tc.cause, "%v", *lines)
			for key, value := range tc.pairs {
				assert.Equal(t, found[key], value, "%s of %v", key, found)
			}
			waited, _ := found["waited-millis"].(int64)
			assert.Assert(t, waited >= longWait.Milliseconds() && waited < 5000, "%v", found)
		})
	}
}
