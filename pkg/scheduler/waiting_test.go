package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// waitLine is the content of a line about tasks that wait.
type waitLine map[string]any

// waitLines collects the lines about tasks that wait.
func (h *cellHarness) waitLines() *[]waitLine {
	lines := &[]waitLine{}
	h.cell.cfg.LogEvent = func(message string, pairs ...any) {
		if message != "task waits" {
			return
		}
		line := waitLine{}
		for i := 0; i < len(pairs); i += 2 {
			line[pairs[i].(string)] = pairs[i+1]
		}
		*lines = append(*lines, line)
	}
	return lines
}

// startAll runs everything that waits.
func (h *cellHarness) startAll() {
	h.tickUntilIdle()
	h.acceptAllStarts()
}

func longRunning(step Step) Step {
	step.LongRunning = true
	return step
}

// runPart runs job "w", of which something must run so that the rest may wait for
// a quarantined runner. stopPart makes the rest wait.
func (h *cellHarness) runPart() {
	h.add("w", "checks", longRunning(newStep(1, 1000)), newStep(1, 1000))
	h.startAll()
}

func (h *cellHarness) stopPart() {
	h.finish("a", runRef("w.0.1.0", 1), framer.FinishStopped)
}

// Before a run that is missing from the listings is stopped, its wait has causes
// of its own.
func TestWaitCauseOfMissingRun(t *testing.T) {
	waitCauseAfterListing := func(h *cellHarness) waitCause {
		h.advance(maxMissing / 2)
		return h.cell.taskByName("w.0.0.0").waitCause(h.now)
	}
	t.Run("the runner does not list the run that it accepted", func(t *testing.T) {
		h := newCellHarness(t, "a")
		h.add("w", "checks", newStep(1, 1000))
		h.tickUntilIdle()
		h.cell.Sync(h.now, "a", true)
		h.runners["a"].Started = []framer.RunRef{runRef("w.0.0.0", 1)}
		assert.Equal(t, waitCauseAfterListing(h), causeNotListed)
	})
	t.Run("the runner no longer lists the run", func(t *testing.T) {
		h := newCellHarness(t, "a")
		h.add("w", "checks", longRunning(newStep(1, 1000)))
		h.startAll()
		h.runners["a"].Running = nil
		assert.Equal(t, waitCauseAfterListing(h), causeNoLongerListed)
	})
}

// fillMost starts a task on runner a that uses most of the service, so that no job counts
// as starved.
func (h *cellHarness) fillMost() {
	h.add("busy", "checks", longRunningStep(1, 32_000*idlePercent/100+100))
	h.tickUntilIdle()
	h.acceptStarts("a")
}

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

// A task that waits since nothing is placed is told from one that was not chosen.
func TestWaitWhilePlacementPauses(t *testing.T) {
	h := newCellHarness(t, "a")
	lines := h.waitLines()
	h.add("w", "checks", newStep(1, 1000))
	for range 40 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.report("a")
		h.cell.Tick(h.now, false)
	}
	assert.Equal(t, len(*lines), 1)
	assert.Equal(t, (*lines)[0]["cause"], "placement-paused")
}

// A runner that accepts the task only since the last placement is no reason to
// say that placement passed over the task.
func TestWaitWhilePlacementIsDue(t *testing.T) {
	h := newCellHarness(t, "a")
	lines := h.waitLines()
	h.add("f", "checks", longRunning(newStep(1, 32_000)))
	h.startAll()
	h.add("w", "checks", newStep(1, 1000))
	h.advance(longWait + 2*waitSweepInterval)
	h.now = h.now.Add(reexamineInterval)
	h.report("a")
	h.cell.release(h.cell.jobs["f"].tasks()[0])
	h.cell.placedAt = h.now
	h.cell.watchWaits(h.now)
	assert.Equal(t, h.cell.Waits().ByCause[causePlacementDue], int64(1))
	assert.Equal(t, len(*lines), 1)
	assert.Equal(t, (*lines)[0]["cause"], "no-room")
}

// The line on a run of a lost runner gives the time until its lease ends, and
// the run that is placed then is not logged.
func TestWaitForLeaseOfLostRunner(t *testing.T) {
	h := newCellHarness(t, "a", "b")
	lines := h.waitLines()
	h.add("w", "checks", longRunning(newStep(1, 1000)))
	h.startAll()
	s := h.cell.jobs["w"].tasks()[0].runner
	agent := s.agent
	h.cell.AgentDisconnected(agent)
	delete(h.runners, agent)
	h.advance(4 * time.Second)
	assert.Equal(t, len(*lines), 1, "%v", *lines)
	line := (*lines)[0]
	left := line["lease-end-millis"].(int64)
	assert.Assert(t, left > 0 && left < testLease.Milliseconds(), "%v", line)
	assert.Equal(t, h.cell.Waits().Tasks, int64(1))
	for range 80 {
		h.advance(100 * time.Millisecond)
		h.acceptAllStarts()
	}
	assert.Equal(t, len(*lines), 1, "%v", *lines)
	assert.Equal(t, h.cell.Waits().Tasks, int64(0))
}

// The metrics name only the causes that occur.
func TestWaitsAsJSON(t *testing.T) {
	w := Waits{
		Tasks:        3,
		OldestMillis: 2100,
	}
	w.ByCause[causeNoRoom] = 2
	w.ByCause[causeNotChosen] = 1
	text, err := json.Marshal(w)
	assert.NilError(t, err)
	assert.Equal(t, string(text), `{"tasks":3,"oldest-millis":2100,"by-cause":{"no-room":2,"not-chosen":1},"lines-suppressed":0}`)
}

// Each cause and each refusal has a name.
func TestNamesOfCauses(t *testing.T) {
	for cause := causeLeaseOfLostRunner; cause < causeCount; cause++ {
		assert.Assert(t, cause.String() != "", "cause %d", int(cause))
	}
	for reason := accepted; reason < refusalCount; reason++ {
		assert.Assert(t, refusalNames[reason] != "", "refusal %d", int(reason))
	}
}
