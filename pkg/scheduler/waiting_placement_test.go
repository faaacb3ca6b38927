package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

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
