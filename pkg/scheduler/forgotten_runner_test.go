package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A runner whose lease expired while its agent was away is dropped from the cell.
// Calls to it may be carried out up to maxCallDelay after they were sent, also by
// the incarnation that starts under its id meanwhile.
func TestDelayedCallsToForgottenRunnerAreFenced(t *testing.T) {
	// restart returns a harness in which runner a restarts under its id after its
	// lease expired, and the run whose start was requested of it before.
	restart := func(t *testing.T) (*cellHarness, framer.RunRef) {
		h := newCellHarness(t, "a")
		h.add("j", "checks", newStep(1, 500))
		h.advance(time.Second)
		// The harness requested the start and nothing answers it.
		run := runRef("j.0.0.0", 1)
		assert.Equal(t, h.cell.jobs["j"].placed, 1)
		h.cell.AgentDisconnected("a")
		sentAt := h.now
		for h.cell.Counts.Lost == 0 {
			h.now = h.now.Add(expiryInterval)
			h.cell.Tick(h.now, true)
		}
		h.now = h.now.Add(time.Second)
		h.cell.Tick(h.now, true)
		assert.Assert(t, h.now.Sub(sentAt) < maxCallDelay)
		r := h.runners["a"]
		r.Runner.Key.StartedAtMillis++
		r.ClockMillis = 0
		h.report("a")
		return h, run
	}
	t.Run("its starts are stopped", func(t *testing.T) {
		h, run := restart(t)
		assert.DeepEqual(t, h.cell.Sync(h.now, "a", true).Stops, []framer.RunRef{run})
	})
	t.Run("its leases are", func(t *testing.T) {
		h, _ := restart(t)
		assert.Assert(t, h.cell.EpochRaiseDue())
	})
}
