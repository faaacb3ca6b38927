package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartBound is how long after the loss of its runner a long-running task must
// run again: it may be missing for 3 s, counted from 6 s after its last run.
const restartBound = 9 * time.Second

// assertRunsAgain checks that the long-running task runs again within
// restartBound after a time.
func (p *cellPlay) assertRunsAgain(lostAt time.Time) {
	p.t.Helper()
	for p.now.Before(lostAt.Add(30*time.Second)) && p.watchedOn() == "" {
		p.playFor(playStep)
	}
	if after := p.now.Sub(lostAt); after > restartBound {
		p.t.Errorf("the task runs again %v after the loss of its runner; at most %v is allowed", after, restartBound)
	}
}

// TestTasksOfLostRunnerRunAgainInTime guards against the incident LOST: a
// long-running task did not run for 12 s after its runner was lost, although
// another runner could hold it.
func TestTasksOfLostRunnerRunAgainInTime(t *testing.T) {
	// start plays until the task runs, and returns the runner that runs it.
	start := func(p *cellPlay) *playedRunner {
		p.submit(watchID, true)
		p.playFor(20 * time.Second)
		name := p.watchedOn()
		assert.Assert(t, name != "")
		return p.runners[name]
	}
	t.Run("the owner stays", func(t *testing.T) {
		p := newCellPlay(t)
		start(p).lost = true
		p.assertRunsAgain(p.now)
	})
	t.Run("the owner is lost at the same time", func(t *testing.T) {
		p := newCellPlay(t)
		start(p).lost = true
		lostAt := p.now
		p.now = lostAt.Add(acquireAfter + yieldDelay)
		p.acquire(lostAt, 1)
		p.assertRunsAgain(lostAt)
	})
	t.Run("the runner restarted shortly before", func(t *testing.T) {
		p := newCellPlay(t)
		r := start(p)
		assert.Equal(t, r.info.Key.ID, "a")
		// The task would be placed on the other runner otherwise.
		p.runners["b"].info.Draining = true
		p.restartRunner("a")
		p.playFor(3 * time.Second)
		assert.Equal(t, p.watchedOn(), "a")
		p.runners["b"].info.Draining = false
		r.lost = true
		p.assertRunsAgain(p.now)
	})
}
