package controller

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// The entry's metrics count the tasks that wait, by cause, while it owns the
// cell.
func TestMetricsOfWaitingTasks(t *testing.T) {
	now := time.Unix(10_000, 0)
	e := &Entry{
		cache: newJobCache(hclog.NewNullLogger(), 0),
	}
	e.owner.lease = leaser.NewWith("10.0.0.1:80", leaser.Terms{
		Duration:     leaseDuration,
		AcquireAfter: acquireAfter,
	})
	e.owner.cell = scheduler.NewCell(scheduler.Config{
		Epoch: 1,
	})
	e.owner.cell.Add(now, scheduler.Spec{
		ID:      "a",
		Service: "polls",
		Steps: []scheduler.Step{{
			Count: 2,
		}},
	})
	waits := func() string {
		e.updateMetrics()
		text, err := json.Marshal(e.metrics.Load().Waits)
		assert.NilError(t, err)
		return string(text)
	}
	assert.Equal(t, waits(), `{"tasks":0,"oldest-millis":0,"by-cause":{},"lines-suppressed":0}`)
	for range 5 {
		now = now.Add(500 * time.Millisecond)
		e.owner.cell.Tick(now, true)
	}
	assert.Equal(t, waits(), `{"tasks":2,"oldest-millis":2000,"by-cause":{"no-runner":2},"lines-suppressed":0}`)
	e.owner.cell = nil
	assert.Equal(t, waits(), `{"tasks":0,"oldest-millis":0,"by-cause":{},"lines-suppressed":0}`)
}
