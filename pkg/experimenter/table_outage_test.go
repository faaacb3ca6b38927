package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/emulator"
)

// TestLongTableOutage makes the table unavailable for 9 minutes, which is shorter
// than the orphan horizon. Running tasks must continue without a stop or a second
// start, and waiting tasks must start after the outage.
func TestLongTableOutage(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	for i := range 20 {
		mustSubmit(t, sim, smallJob(fmt.Sprintf("long-%02d", i), 3, 3_600_000))
	}
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	assert.Equal(t, len(sim.Starts), 20)
	mustSubmit(t, sim, smallJob("waits", 3, 1000))
	sim.Platform.SetFaults(emulator.PlatformFaults{
		Down: true,
	})
	sim.RunUntil(sim.Now().Add(9 * time.Minute))
	for id, starts := range sim.Starts {
		assert.Equal(t, starts, 1, id)
		assert.Equal(t, len(sim.Running[id]), 1, "%s was stopped", id)
	}
	assert.Equal(t, sim.Starts["cell-1/waits"], 0)
	sim.Platform.SetFaults(emulator.PlatformFaults{})
	sim.RunUntil(sim.Now().Add(maxStartLatency))
	assert.Equal(t, sim.Starts["cell-1/waits"], 1)
	for i := range 20 {
		id := fmt.Sprintf("cell-1/long-%02d", i)
		assert.Equal(t, sim.Starts[id], 1, "%s was started again", id)
	}
}

// TestTableOutageBeyondOrphanHorizon makes the table unavailable for 11 minutes,
// after which the owner has given up its tasks. The tasks must stop when their
// leases expire, and start once more when the table is back.
func TestTableOutageBeyondOrphanHorizon(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	mustSubmit(t, sim, smallJob("long", 3, 3_600_000))
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	sim.Platform.SetFaults(emulator.PlatformFaults{
		Down: true,
	})
	sim.RunUntil(sim.Now().Add(11 * time.Minute))
	assert.Equal(t, len(sim.Running["cell-1/long"]), 0, "the task runs without a lease")
	sim.Platform.SetFaults(emulator.PlatformFaults{})
	sim.RunUntil(sim.Now().Add(30 * time.Second))
	assert.Equal(t, len(sim.Running["cell-1/long"]), 1)
	assert.Equal(t, sim.Starts["cell-1/long"], 2)
	assert.Equal(t, len(sim.DoubleRuns), 0)
}

// TestFinishedTaskRowsDeletedAfterRetention checks that the rows of finished tasks
// are kept for the retention and deleted afterwards.
func TestFinishedTaskRowsDeletedAfterRetention(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	for i := range 30 {
		mustSubmit(t, sim, smallJob(fmt.Sprintf("short-%02d", i), 3, 100))
	}
	mustSubmit(t, sim, smallJob("long", 3, 3_600_000_000))
	sim.RunUntil(sim.Now().Add(10 * time.Second))
	assert.Equal(t, sim.countRows("task/"), 1)
	assert.Equal(t, sim.countRows("ended/"), 30)
	// A finished job that is submitted again is a duplicate and does not run.
	mustSubmit(t, sim, smallJob("short-00", 3, 100))
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	assert.Equal(t, sim.Starts["cell-1/short-00"], 1)
	sim.RunUntil(sim.Now().Add(retention + 2*time.Minute))
	assert.Equal(t, sim.countRows("ended/"), 0)
	assert.Equal(t, sim.countRows("task/"), 1)
}

// TestSlowTable delays each call to the table, in the last case by more than the
// call timeout. Running tasks must continue, and no task may run twice.
func TestSlowTable(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 450 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			sim := newTestCellSimulation(t, 1)
			for i := range 20 {
				mustSubmit(t, sim, smallJob(fmt.Sprintf("long-%02d", i), 3, 3_600_000))
			}
			sim.RunUntil(sim.Now().Add(5 * time.Second))
			sim.TableDelay = delay
			sim.RunUntil(sim.Now().Add(time.Minute))
			mustSubmit(t, sim, smallJob("meanwhile", 3, 1000))
			sim.RunUntil(sim.Now().Add(time.Minute))
			answersInTime := 2*delay <= callTimeout
			assert.Equal(t, sim.Starts["cell-1/meanwhile"] == 1, answersInTime, "started %d times", sim.Starts["cell-1/meanwhile"])
			sim.RunUntil(sim.Now().Add(3 * time.Minute))
			sim.TableDelay = callDelay
			sim.RunUntil(sim.Now().Add(time.Minute))
			assert.Equal(t, sim.Starts["cell-1/meanwhile"], 1)
			for i := range 20 {
				id := fmt.Sprintf("cell-1/long-%02d", i)
				assert.Equal(t, sim.Starts[id], 1, "%s was stopped", id)
			}
		})
	}
}
