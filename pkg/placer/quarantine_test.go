package placer

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Guards against a worker that is never used again because the trial after its
// quarantine was cancelled, or is a replica, which does not end.
func TestTrialEndsWithoutResult(t *testing.T) {
	quarantined := func(t *testing.T) (*Cell, time.Time) {
		c := testCell(t, 1)
		c.SetReplicas("central-polls", ReplicaNeed{
			Team:  "condor",
			Count: 1,
			Needs: publisher.Resources{
				ProcessorMillis: 1000,
			},
		})
		c.Tick(start)
		commitAll(c, start)
		w := c.workers["worker-000"]
		for _, e := range w.placed() {
			c.HandleReport(start, w.address, reportOf(1, runningReport(e)))
		}
		for i := range quarantineThreshold {
			w.recordFailure(start, fmt.Sprint(i))
		}
		return c, start.Add(minQuarantine + time.Second)
	}
	placed := func(t *testing.T, c *Cell, now time.Time, id string) {
		t.Helper()
		c.Accept(now, spec(id, 1000), now)
		c.Tick(now)
		commitAll(c, now)
		assert.Equal(t, stateOf(t, c, id), StatePlaced)
	}
	t.Run("the trial is cancelled", func(t *testing.T) {
		c, now := quarantined(t)
		placed(t, c, now, "trial")
		c.Cancel(now, "cell-1/trial")
		c.HandleReport(now, "worker-000", reportOf(1, TaskReport{ID: "cell-1/trial", Start: 1, State: RunStopped}))
		placed(t, c, now, "next")
	})
	t.Run("the trial keeps running", func(t *testing.T) {
		c, now := quarantined(t)
		placed(t, c, now, "trial")
		c.Accept(now, spec("next", 1000), now)
		for range 2 {
			c.HandleReport(now, "worker-000", reportOf(1, TaskReport{ID: "cell-1/trial", Start: 1, State: RunRunning}))
			c.Tick(now)
			assert.Equal(t, stateOf(t, c, "next"), StateAccepted, "the trial has just begun")
			now = now.Add(trialDuration / 2)
		}
		now = now.Add(time.Second)
		c.HandleReport(now, "worker-000", reportOf(1, TaskReport{ID: "cell-1/trial", Start: 1, State: RunRunning}))
		c.Tick(now)
		assert.Equal(t, stateOf(t, c, "next"), StatePlaced)
	})
}

func runningReport(e *trackedTask) TaskReport {
	return TaskReport{
		ID:    e.Spec.ID,
		Start: e.Start,
		State: RunRunning,
	}
}
