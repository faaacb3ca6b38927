package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Guards against a task that starts again after its end was acknowledged: a delayed
// acknowledgement to an earlier incarnation, carried out by the one that started under its
// id, drops the ends of runs that started there before it rejected such calls.
func TestDelayedAckToFormerIncarnationDropsNoEnd(t *testing.T) {
	h := newCellHarness(t, "a")
	r := h.runners["a"]
	h.advance(time.Second)
	r.Runner.Key.StartedAtMillis++
	r.ClockMillis = 0
	h.report("a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	early := h.cell.Sync(h.now, "a", true).Starts
	h.cell.SetEpoch(2)
	if len(early) > 0 {
		// The run ends as done, the ack drops its end, then the higher epoch arrives. The
		// agent is asked to stop the run, which the listings lack.
		r.Started = []framer.RunRef{early[0].RunRef}
		h.advance(maxMissing + time.Second)
		r.Started = nil
		r.Finished = []framer.FinishedRun{{
			RunRef: early[0].RunRef,
			Reason: framer.FinishNeverStarted,
		}}
	}
	r.ListedEpoch = 2
	h.report("a")
	h.tickUntilIdle()
	var runs []int
	for _, s := range append(early, h.cell.Sync(h.now, "a", true).Starts...) {
		runs = append(runs, s.Run)
	}
	assert.DeepEqual(t, runs, []int{1})
}
