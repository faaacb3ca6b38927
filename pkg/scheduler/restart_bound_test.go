package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// restartBound is the time after the last fault within which a long-running task
// must run again if a runner could hold it twice.
const restartBound = 10 * time.Second

func newLongRunningStep(processorMillis int) Step {
	step := newStep(1, processorMillis)
	step.LongRunning = true
	return step
}

// The reserve for the most urgent queue must not keep a long-running task from a
// runner that could hold it twice.
func TestReserveLeavesRoomForTaskThatFitsTwice(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("urgent", "checks", newLongRunningStep(30_500))
	h.tickUntilIdle()
	h.acceptStarts("x")
	h.add("j", "reviews", newLongRunningStep(500))
	h.advance(3 * time.Second)
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 1)})
}

// quarantine makes the runs of an agent's runner fail until it has been
// quarantined a number of times.
func (h *cellHarness) quarantine(agent string, times int) {
	for n := range times {
		h.advance(maxQuarantine)
		for i := range quarantineThreshold {
			h.add(fmt.Sprintf("failing-%d-%d", n, i), "checks", newStep(1, 500))
			h.tickUntilIdle()
			for _, ref := range h.acceptStarts(agent) {
				h.finish(agent, ref, framer.FinishFailed)
			}
		}
		for i := range quarantineThreshold {
			h.cell.Cancel(h.now, fmt.Sprintf("failing-%d-%d", n, i))
		}
		h.tickUntilIdle()
	}
}

// A runner whose runs failed for a while must not be kept from long-running tasks
// for long after that if no other runner has room.
func TestQuarantineDoesNotOutliveItsCause(t *testing.T) {
	h := newCellHarness(t, "x")
	h.quarantine("x", 4)
	h.add("j", "checks", newLongRunningStep(500))
	h.advance(restartBound)
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 1)})
}

// A long finite run on a runner that was quarantined must not keep long-running
// tasks from it.
func TestLongRunAfterQuarantineDoesNotBlockRunner(t *testing.T) {
	h := newCellHarness(t, "x")
	h.quarantine("x", 1)
	h.add("long", "checks", newStep(1, 500))
	h.advance(minQuarantine + time.Second)
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("long.0.0.0", 1)})
	h.add("j", "checks", newLongRunningStep(500))
	h.advance(restartBound)
	assert.DeepEqual(t, h.acceptStarts("x"), []framer.RunRef{runRef("j.0.0.0", 1)})
}

// A runner that restarts under its id and is then lost must not hold its tasks
// for longer than one that did not restart, once it rejects the calls for its
// earlier incarnation.
func TestTaskOfRunnerThatIsLostAfterItsRestart(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.runners["y"].Runner.Draining = true
	h.report("y")
	h.runners["x"].Runner.Key.StartedAtMillis = 2000
	h.report("x")
	h.cell.SetEpoch(2)
	h.runners["x"].ListedEpoch = 2
	h.report("x")
	h.add("j", "checks", newLongRunningStep(500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	h.runners["y"].Runner.Draining = false
	h.report("y")
	delete(h.runners, "x")
	h.cell.AgentDisconnected("x")
	h.advance(restartBound)
	assert.DeepEqual(t, h.acceptStarts("y"), []framer.RunRef{runRef("j.0.0.0", 2)})
}

// The same, if the runner is lost before it has listed its runs under the higher
// epoch.
func TestTaskOfRunnerThatIsLostBeforeItIsFenced(t *testing.T) {
	h := newCellHarness(t, "x", "y")
	h.runners["y"].Runner.Draining = true
	h.report("y")
	h.runners["x"].Runner.Key.StartedAtMillis = 2000
	h.report("x")
	h.add("j", "checks", newLongRunningStep(500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	h.runners["y"].Runner.Draining = false
	h.report("y")
	delete(h.runners, "x")
	h.cell.AgentDisconnected("x")
	h.advance(restartBound)
	assert.DeepEqual(t, h.acceptStarts("y"), []framer.RunRef{runRef("j.0.0.0", 2)})
}
