package scheduler

import (
	"fmt"
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

// limitedTo returns queues of a version in which a task of "checks" may fail n times.
func limitedTo(version int64, n int) *Queues {
	q := queuesOf(version, "polls")
	q.List[0].Terms.MaxFailures = n
	return q
}

// drop configures a version without "checks" after the present one.
func (h *cellHarness) drop() {
	dropped := queuesOf(h.cell.queues.Version+1, "")
	dropped.Succeed(h.cell.queues)
	h.cell.SetQueues(dropped)
}

// assertFailsAfter fails the runs of the job's task until the job fails, and checks how
// many there were.
func assertFailsAfter(t *testing.T, h *cellHarness, n int) {
	t.Helper()
	runs := 0
	for h.state("limited") != StateFailed && runs < 10 {
		h.tickUntilIdle()
		started := h.acceptStarts("x")
		assert.Equal(t, len(started), 1, "after %d runs", runs)
		runs++
		h.finish("x", started[0], framer.FinishFailed)
	}
	assert.Equal(t, runs, n)
}

// Guards against a job that is given up too early, or started too often, because its
// queue was dropped while it had failed runs.
func TestJobOfDroppedQueueKeepsItsMaxFailures(t *testing.T) {
	newHarness := func(t *testing.T, q *Queues, terms Terms) *cellHarness {
		h := newCellHarness(t, "x")
		h.cell.SetQueues(q)
		h.cell.Add(h.now, Spec{
			ID:      "limited",
			Queue:   "checks",
			Service: "polls",
			Terms:   terms,
			Steps:   []Step{newStep(1, 500)},
		})
		return h
	}
	for _, n := range []int{1, 4} {
		terms := Terms{
			MaxFailures: n,
		}
		t.Run(fmt.Sprintf("dropped before %d failures", n), func(t *testing.T) {
			h := newHarness(t, limitedTo(2, n), terms)
			h.drop()
			assertFailsAfter(t, h, n)
		})
		t.Run(fmt.Sprintf("dropped and added before %d failures", n), func(t *testing.T) {
			h := newHarness(t, limitedTo(2, n), terms)
			h.drop()
			h.drop()
			h.cell.SetQueues(limitedTo(5, n))
			assertFailsAfter(t, h, n)
		})
		t.Run(fmt.Sprintf("an owner that never had the queue, %d failures", n), func(t *testing.T) {
			assertFailsAfter(t, newHarness(t, queuesOf(2, ""), terms), n)
		})
	}
	t.Run("the last version before the drop counts", func(t *testing.T) {
		h := newHarness(t, limitedTo(2, 2), Terms{
			MaxFailures: 2,
		})
		h.cell.SetQueues(limitedTo(3, 4))
		h.drop()
		assertFailsAfter(t, h, 4)
	})
	t.Run("a queue that comes back counts with its new values", func(t *testing.T) {
		h := newHarness(t, limitedTo(2, 2), Terms{
			MaxFailures: 2,
		})
		h.drop()
		h.cell.SetQueues(limitedTo(4, 3))
		assertFailsAfter(t, h, 3)
	})
	t.Run("a row without terms has the defaults", func(t *testing.T) {
		assertFailsAfter(t, newHarness(t, queuesOf(2, ""), Terms{}), defaultTerms().MaxFailures)
	})
}

// Guards against a job that overtakes those of more urgent queues, or is taken for late,
// because its queue was dropped.
func TestJobOfDroppedQueueKeepsItsRank(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "reviews", newStep(1, 500))
	j := h.cell.jobs["j"]
	before := h.cell.candidate(h.now, j, j.occurrences[0], 0)
	assert.Equal(t, before.urgency, 2)
	dropped := testQueues()
	dropped.Version = 2
	dropped.List = dropped.List[:1]
	dropped.Succeed(testQueues())
	h.cell.SetQueues(dropped)
	after := h.cell.candidate(h.now, j, j.occurrences[0], 0)
	assert.Equal(t, after.urgency, before.urgency)
	assert.Equal(t, after.dueBy, before.dueBy)
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
