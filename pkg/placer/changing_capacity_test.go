package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

func reportWithCapacity(c publisher.Resources, tasks ...TaskReport) Report {
	r := reportOf(1, tasks...)
	r.Capacity = c
	return r
}

// Guards against starts beyond the capacity of a worker that has shrunk, and against
// room that stays unused once it has grown again.
func TestPlacementFollowsChangingCapacity(t *testing.T) {
	half := capacity
	half.ProcessorMillis /= 2
	t.Run("a shrunk worker gets what fits now", func(t *testing.T) {
		c := testCell(t, 1)
		c.HandleReport(start, "worker-000", reportWithCapacity(half))
		c.Accept(start, spec("small", 10_000), start)
		c.Accept(start, spec("large", 20_000), start)
		c.Tick(start)
		assert.Equal(t, stateOf(t, c, "small"), StatePlaced)
		assert.Equal(t, stateOf(t, c, "large"), StateAccepted)
	})
	t.Run("a worker that shrinks below what runs gets nothing until it grows", func(t *testing.T) {
		c := testCell(t, 1)
		c.Accept(start, spec("running", 20_000), start)
		c.Tick(start)
		commitAll(c, start)
		running := runningReport(c.tasks["cell-1/running"])
		c.HandleReport(start, "worker-000", reportWithCapacity(half, running))
		c.Accept(start, spec("next", 1000), start)
		c.Tick(start)
		assert.Equal(t, stateOf(t, c, "next"), StateAccepted)
		c.HandleReport(start, "worker-000", reportWithCapacity(capacity, running))
		c.Tick(start.Add(time.Second))
		assert.Equal(t, stateOf(t, c, "next"), StatePlaced)
	})
	t.Run("a start that the worker has not reported is stopped", func(t *testing.T) {
		c := testCell(t, 1)
		c.Accept(start, spec("a", 20_000), start)
		c.Tick(start)
		commitAll(c, start)
		assert.Equal(t, len(c.Sync(start, "worker-000", true).Commands), 1)
		c.HandleReport(start, "worker-000", reportWithCapacity(half))
		commands := c.Sync(start, "worker-000", true).Commands
		assert.Equal(t, len(commands), 1)
		assert.Equal(t, commands[0].Kind, CommandStop)
		c.HandleReport(start, "worker-000", reportWithCapacity(half, TaskReport{ID: "cell-1/a", Start: 1, State: RunStopped}))
		assert.Equal(t, stateOf(t, c, "a"), StateAccepted)
		assert.Equal(t, len(c.workers["worker-000"].failedTasks), 0, "the worker is not at fault")
	})
	t.Run("a new owner adopts what runs on a shrunk worker", func(t *testing.T) {
		c := testCell(t, 1)
		c.Accept(start, spec("running", 20_000), start)
		c.Tick(start)
		task, _ := c.Task("cell-1/running")
		next := NewCell(start, "cell-1", 2, []string{"worker-000"}, fatalAsserter(t))
		next.Load(task, 1)
		next.HandleReport(start, "worker-000", reportWithCapacity(half))
		assert.Equal(t, next.workers["worker-000"].allocations.Sum().ProcessorMillis, int64(20_000))
	})
	t.Run("a task that fits no worker at present is not failed", func(t *testing.T) {
		c := testCell(t, 1)
		c.HandleReport(start, "worker-000", reportWithCapacity(half))
		c.Accept(start, spec("large", 20_000), start)
		assert.Equal(t, stateOf(t, c, "large"), StateAccepted)
	})
}
