package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The tasks of a runner wait for what delayed calls may have granted it, for a
// longest lease from the first listing under the raised epoch.
func TestTasksOfRunnerLostSoonAfterRestartRunAgainInTime(t *testing.T) {
	for _, after := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		t.Run(after.String(), func(t *testing.T) {
			p := newCellPlay(t)
			p.submit(watchID, true)
			p.playFor(20 * time.Second)
			assert.Equal(t, p.watchedOn(), "a")
			// The task would be placed on the other runner otherwise.
			p.runners["b"].info.Draining = true
			p.restartRunner("a")
			p.playFor(after)
			assert.Equal(t, p.watchedOn(), "a")
			p.runners["b"].info.Draining = false
			p.runners["a"].lost = true
			p.assertRunsAgain(p.now)
		})
	}
}
