package experimenter

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/faker"
)

// TestLongOutageOfTheTable takes the table away for minutes: what runs goes on,
// nothing is stopped or started twice, and what waits starts afterwards.
func TestLongOutageOfTheTable(t *testing.T) {
	w := testCellWorld(t, 1)
	for i := range 20 {
		putOnRecord(t, w, smallJob(fmt.Sprintf("long-%02d", i), 3, 3_600_000))
	}
	w.RunUntil(w.Now().Add(5 * time.Second))
	assert.Equal(t, len(w.Starts), 20)
	putOnRecord(t, w, smallJob("waits", 3, 1000))
	w.Platform.SetFaults(faker.PlatformFaults{
		Down: true,
	})
	w.RunUntil(w.Now().Add(9 * time.Minute))
	for id, starts := range w.Starts {
		assert.Equal(t, starts, 1, id)
		assert.Equal(t, len(w.Running[id]), 1, "%s was stopped", id)
	}
	assert.Equal(t, w.Starts["cell-1/waits"], 0)
	w.Platform.SetFaults(faker.PlatformFaults{})
	w.RunUntil(w.Now().Add(urgentLimit))
	assert.Equal(t, w.Starts["cell-1/waits"], 1)
	for i := range 20 {
		id := fmt.Sprintf("cell-1/long-%02d", i)
		assert.Equal(t, w.Starts[id], 1, "%s was started again", id)
	}
}

// TestOutageBeyondTheHorizon lets the owner give up its tasks: they stop by
// their leases and start once more when the table is back.
func TestOutageBeyondTheHorizon(t *testing.T) {
	w := testCellWorld(t, 1)
	putOnRecord(t, w, smallJob("long", 3, 3_600_000))
	w.RunUntil(w.Now().Add(5 * time.Second))
	w.Platform.SetFaults(faker.PlatformFaults{
		Down: true,
	})
	w.RunUntil(w.Now().Add(11 * time.Minute))
	assert.Equal(t, len(w.Running["cell-1/long"]), 0, "it runs without a lease")
	w.Platform.SetFaults(faker.PlatformFaults{})
	w.RunUntil(w.Now().Add(30 * time.Second))
	assert.Equal(t, len(w.Running["cell-1/long"]), 1)
	assert.Equal(t, w.Starts["cell-1/long"], 2)
	assert.Equal(t, len(w.Doubled), 0)
}

// TestEndedTasksAreSwept lets the rows of ended tasks pass their retention.
func TestEndedTasksAreSwept(t *testing.T) {
	w := testCellWorld(t, 1)
	for i := range 30 {
		putOnRecord(t, w, smallJob(fmt.Sprintf("short-%02d", i), 3, 100))
	}
	putOnRecord(t, w, smallJob("long", 3, 3_600_000_000))
	w.RunUntil(w.Now().Add(10 * time.Second))
	assert.Equal(t, w.rowsBelow("task/"), 1)
	assert.Equal(t, w.rowsBelow("ended/"), 30)
	// Sending an ended job again is the same job, not a new one.
	putOnRecord(t, w, smallJob("short-00", 3, 100))
	w.RunUntil(w.Now().Add(5 * time.Second))
	assert.Equal(t, w.Starts["cell-1/short-00"], 1)
	w.RunUntil(w.Now().Add(retention + 2*time.Minute))
	assert.Equal(t, w.rowsBelow("ended/"), 0)
	assert.Equal(t, w.rowsBelow("task/"), 1)
}

// TestSlowTable makes each call to the table take long, or so long that its
// answer always comes too late: what runs goes on, and nothing runs twice.
func TestSlowTable(t *testing.T) {
	for _, delay := range []time.Duration{200 * time.Millisecond, 450 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			w := testCellWorld(t, 1)
			for i := range 20 {
				putOnRecord(t, w, smallJob(fmt.Sprintf("long-%02d", i), 3, 3_600_000))
			}
			w.RunUntil(w.Now().Add(5 * time.Second))
			w.TableDelay = delay
			w.RunUntil(w.Now().Add(time.Minute))
			putOnRecord(t, w, smallJob("meanwhile", 3, 1000))
			w.RunUntil(w.Now().Add(time.Minute))
			answers := 2*delay <= callTimeout
			assert.Equal(t, w.Starts["cell-1/meanwhile"] == 1, answers, "started %d times", w.Starts["cell-1/meanwhile"])
			w.RunUntil(w.Now().Add(3 * time.Minute))
			w.TableDelay = callDelay
			w.RunUntil(w.Now().Add(time.Minute))
			assert.Equal(t, w.Starts["cell-1/meanwhile"], 1)
			for i := range 20 {
				id := fmt.Sprintf("cell-1/long-%02d", i)
				assert.Equal(t, w.Starts[id], 1, "%s was stopped", id)
			}
		})
	}
}
