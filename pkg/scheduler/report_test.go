package scheduler

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A run of an unknown task that turns out to be a current one must not count
// twice, nor be stopped, for as long as the runner lists it.
func TestListedRunOfLoadedJobIsNotUnexpected(t *testing.T) {
	h := newCellHarness(t, "x")
	h.runners["x"].Running = []framer.RunStatus{{
		RunRef: runRef("l.0.0.0", 1),
	}}
	h.report("x")
	h.cell.Load(h.now, Spec{
		ID:      "l",
		Queue:   "checks",
		Service: "polls",
		Steps:   []Step{longRunningStep(1, 500)},
	}, Progress{
		State: StateRunning,
		Tasks: []TaskProgress{{
			Run:                   1,
			RunnerID:              "i-x",
			RunnerStartedAtMillis: 1000,
		}},
	})
	h.report("x")
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Stops), 0)
	assert.Equal(t, len(h.cell.agents["x"].unexpectedRuns), 0)
}
