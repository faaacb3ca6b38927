package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startOn starts a placed task on its worker, which reports it.
func startOn(t *testing.T, c *Cell, now time.Time, id string) (*worker, *trackedTask) {
	t.Helper()
	c.Tick(now)
	commitAll(c, now)
	e := c.tasks["cell-1/"+id]
	assert.Equal(t, e.State, StatePlaced)
	w := c.workers[e.Worker]
	c.Sync(now, w.address, true)
	c.HandleReport(now, w.address, reportOf(w.incarnation, runningReport(e)))
	return w, e
}

// lifeOf starts a placed task on its worker and lets it run, and then replaces the
// worker, which had not announced its end.
func lifeOf(t *testing.T, c *Cell, now time.Time, id string, runs time.Duration) time.Time {
	t.Helper()
	w, e := startOn(t, c, now, id)
	now = now.Add(runs)
	c.HandleReport(now, w.address, reportOf(w.incarnation, runningReport(e)))
	c.HandleReport(now, w.address, reportOf(w.incarnation+1))
	return now
}

// A task that crashes each worker that starts it must not be started without end.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	t.Run("each worker crashes soon", func(t *testing.T) {
		c := testCell(t, 3)
		c.Accept(start, spec("deadly", 1000), start)
		now := start
		for range maxCrashes {
			now = lifeOf(t, c, now, "deadly", time.Second)
		}
		assert.Equal(t, stateOf(t, c, "deadly"), StateFailed)
		task, _ := c.Task("cell-1/deadly")
		assert.Equal(t, task.Reason, "its workers were lost again and again: the worker was replaced")
	})
	t.Run("the count survives a change of the owner", func(t *testing.T) {
		c := testCell(t, 3)
		c.Accept(start, spec("deadly", 1000), start)
		lifeOf(t, c, start, "deadly", time.Second)
		task, _ := c.Task("cell-1/deadly")
		assert.Equal(t, task.Crashes, 1)
	})
	t.Run("a task that ran for long is sound", func(t *testing.T) {
		c := testCell(t, 3)
		c.Accept(start, spec("sound", 1000), start)
		now := start
		for range 2 * maxCrashes {
			now = lifeOf(t, c, now, "sound", trialDuration)
		}
		assert.Equal(t, stateOf(t, c, "sound"), StateAccepted)
	})
}
