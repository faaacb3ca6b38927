package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// queuesOf returns queues of a version in which "checks" has a service; none if it
// is empty.
func queuesOf(version int64, service string) *Queues {
	q := testQueues()
	q.Version = version
	q.List[0].Service = service
	if service == "" {
		q.List = q.List[1:]
	}
	return q
}

// newMovingHarness returns a harness with a long-running task on runner x of
// service polls; runner y has service other.
func newMovingHarness(t *testing.T) *cellHarness {
	t.Helper()
	h := newCellHarness(t, "x", "y")
	h.runners["y"].Runner.Service = "other"
	h.report("y")
	step := newStep(1, 500)
	step.LongRunning = true
	h.add("j", "checks", step)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	return h
}

// A task must start again wherever its queue is served by then, also if that
// changed while it ran or waited.
func TestTaskFollowsItsQueue(t *testing.T) {
	end := func(h *cellHarness) {
		h.finish("x", runRef("j.0.0.0", 1), framer.FinishFailed)
	}
	again := []framer.RunRef{runRef("j.0.0.0", 2)}
	t.Run("the queue moves while the task runs", func(t *testing.T) {
		h := newMovingHarness(t)
		h.cell.SetQueues(queuesOf(2, "other"))
		end(h)
		h.advance(2 * longRunningRestartDelay)
		assert.DeepEqual(t, h.acceptStarts("y"), again)
	})
	t.Run("the queue moves while the task waits", func(t *testing.T) {
		h := newMovingHarness(t)
		end(h)
		h.cell.SetQueues(queuesOf(2, "other"))
		h.advance(2 * longRunningRestartDelay)
		assert.DeepEqual(t, h.acceptStarts("y"), again)
	})
	t.Run("the queue moves after no runner of its former service could hold the task", func(t *testing.T) {
		h := newMovingHarness(t)
		h.runners["x"].Runner.Draining = true
		end(h)
		h.advance(2 * longRunningRestartDelay)
		assert.Equal(t, len(h.acceptAllStarts()), 0)
		h.cell.SetQueues(queuesOf(2, "other"))
		h.tickUntilIdle()
		assert.DeepEqual(t, h.acceptStarts("y"), again)
	})
	t.Run("the queue is dropped", func(t *testing.T) {
		h := newMovingHarness(t)
		h.cell.SetQueues(queuesOf(2, ""))
		end(h)
		h.advance(2 * longRunningRestartDelay)
		assert.DeepEqual(t, h.acceptStarts("x"), again)
	})
	t.Run("the queue is dropped and returns with another service", func(t *testing.T) {
		h := newMovingHarness(t)
		h.cell.SetQueues(queuesOf(2, ""))
		end(h)
		h.cell.SetQueues(queuesOf(3, "other"))
		h.advance(2 * longRunningRestartDelay)
		assert.DeepEqual(t, h.acceptStarts("y"), again)
	})
	t.Run("an older configuration changes nothing", func(t *testing.T) {
		h := newMovingHarness(t)
		h.cell.SetQueues(queuesOf(2, "other"))
		h.cell.SetQueues(queuesOf(1, "polls"))
		h.cell.SetQueues(nil)
		end(h)
		h.advance(2 * longRunningRestartDelay)
		assert.DeepEqual(t, h.acceptStarts("y"), again)
	})
	t.Run("the queue moves, then is dropped", func(t *testing.T) {
		h := newMovingHarness(t)
		dropped := queuesOf(3, "")
		dropped.Succeed(queuesOf(2, "other"))
		latest := queuesOf(4, "")
		latest.Succeed(dropped)
		h.cell.SetQueues(latest)
		h.runners["x"].Runner.Service = "third"
		end(h)
		h.advance(2 * longRunningRestartDelay)
		assert.DeepEqual(t, h.acceptStarts("y"), again)
	})
}

// A runner may change its service without a restart, and must then hold the tasks
// of the new one.
func TestRunnerChangesItsService(t *testing.T) {
	h := newCellHarness(t, "x")
	h.runners["x"].Runner.Service = "other"
	h.report("x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 0)
	h.runners["x"].Runner.Service = "polls"
	h.advance(2 * placementInterval)
	assert.Equal(t, len(h.acceptStarts("x")), 1)
}
