package experimenter

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/overseer"
	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// The load that the users expect over all cells, and the limits on it.
const (
	startsPerSecond         = 2700
	cells                   = 200
	maxTableWritesPerSecond = 400.0
	maxTableReadsPerSecond  = 2000.0
	maxStartLatency         = 8 * time.Second
)

func smallJob(id string, urgency int, runMillis int64) placer.Spec {
	return placer.Spec{
		ID:      "cell-1/" + id,
		Team:    "condor",
		Class:   placer.ClassBatch,
		Urgency: urgency,
		Needs: publisher.Resources{
			ProcessorMillis: 500,
			MemoryBytes:     1 << 30,
		},
		RunTimeMillis: runMillis,
	}
}

func mustSubmit(t *testing.T, sim *CellSimulation, spec placer.Spec) {
	t.Helper()
	assert.NilError(t, overseer.NewJobs(sim.Platform.Table()).Submit(context.Background(), sim.Now(), spec))
}

// TestCellLoadWithinTableBudget runs one cell with its share of the peak load, and
// checks its calls to the table against its share of the budget and the 99th
// percentile of the start latency against its limit.
func TestCellLoadWithinTableBudget(t *testing.T) {
	sim := NewCellSimulation(CellConfig{
		Seed:           1,
		Owners:         1,
		Workers:        30,
		Capacity:       testCapacity,
		Assert:         fatalAsserter(t, 1),
		CommitInterval: 700 * time.Millisecond,
	})
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	const span = 60 * time.Second
	until := sim.Now().Add(span)
	writesBefore, readsBefore := sim.Platform.Writes, sim.Platform.Reads
	submittedAt := map[string]time.Time{}
	n := 0
	sim.Every(time.Second*cells/startsPerSecond, func() bool {
		n++
		urgency := 3
		if n%10 == 0 {
			urgency = 9
		}
		spec := smallJob(fmt.Sprintf("job-%05d", n), urgency, 20_000)
		mustSubmit(t, sim, spec)
		submittedAt[spec.ID] = sim.Now()
		return sim.Now().Before(until)
	})
	sim.RunUntil(until)
	submissions := len(submittedAt)
	writes := float64(sim.Platform.Writes-writesBefore-submissions) / span.Seconds()
	reads := float64(sim.Platform.Reads-readsBefore) / span.Seconds()
	sim.RunUntil(until.Add(time.Minute))
	var latencies []time.Duration
	for id, at := range submittedAt {
		started, ok := sim.StartedAt[id]
		assert.Assert(t, ok, "%s never started", id)
		latencies = append(latencies, started.Sub(at))
	}
	slices.Sort(latencies)
	p99 := latencies[len(latencies)*99/100]
	t.Logf("%d starts in %s: %.2f writes/s (x%d cells: %.0f), %.2f reads/s (x%d: %.0f), start p50 %s p99 %s",
		submissions, span, writes, cells, writes*cells, reads, cells, reads*cells, latencies[len(latencies)/2], p99)
	assert.Assert(t, writes*cells <= maxTableWritesPerSecond, "%.0f writes/s over all cells", writes*cells)
	assert.Assert(t, reads*cells <= maxTableReadsPerSecond, "%.0f reads/s over all cells", reads*cells)
	assert.Assert(t, p99 <= maxStartLatency, "p99 of the start latency is %s", p99)
}

// TestRecoveryTime kills the cell's owner, and then an instance, and checks the
// time until tasks start again.
func TestRecoveryTime(t *testing.T) {
	sim := newTestCellSimulation(t, 1)
	mustSubmit(t, sim, smallJob("long", 3, 3_600_000))
	sim.RunUntil(sim.Now().Add(5 * time.Second))
	t.Run("after the owner was killed", func(t *testing.T) {
		for i, o := range sim.Owners {
			if o.Core.Cell() != nil {
				o.Kill()
				defer sim.ReplaceOwner(i)
			}
		}
		killed := sim.Now()
		mustSubmit(t, sim, smallJob("after-the-owner", 9, 60_000))
		sim.RunUntil(killed.Add(20 * time.Second))
		latency := sim.StartedAt["cell-1/after-the-owner"].Sub(killed)
		t.Logf("a new owner started a task after %s", latency)
		assert.Assert(t, latency > 0 && latency <= maxStartLatency, "%s", latency)
		assert.Equal(t, sim.Starts["cell-1/long"], 1, "the task was restarted by the change of owner")
	})
	t.Run("after an instance was lost", func(t *testing.T) {
		var killed *CellWorker
		for _, cw := range sim.Workers {
			if sim.Running["cell-1/after-the-owner"][cw.Address] {
				killed = cw
			}
		}
		sim.KillWorker(killed)
		at := sim.Now()
		for sim.Now().Before(at.Add(30*time.Second)) && len(sim.Running["cell-1/after-the-owner"]) == 0 {
			sim.RunUntil(sim.Now().Add(10 * time.Millisecond))
		}
		latency := sim.Now().Sub(at)
		t.Logf("the task was restarted on another instance after %s", latency)
		assert.Assert(t, latency <= maxStartLatency, "%s", latency)
	})
}
