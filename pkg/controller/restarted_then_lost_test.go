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
			name := p.watchedOn()
			p.restartRunner(name)
			p.playFor(after)
			assert.Equal(t, p.watchedOn(), name)
			p.runners[name].lost = true
			p.assertRunsAgain(p.now)
		})
	}
}
