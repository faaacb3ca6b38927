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

// The size that the users expect, and a cell's part of it.
const (
	startsASecond = 2700
	cells         = 200
	tableWrites   = 400.0
	tableReads    = 2000.0
	urgentLimit   = 8 * time.Second
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

func putOnRecord(t *testing.T, w *CellWorld, spec placer.Spec) {
	t.Helper()
	assert.NilError(t, overseer.NewJobs(w.Platform.Table()).Submit(context.Background(), w.Now(), spec))
}

// TestOneOfManyCells gives one cell its part of the peak and holds its calls
// to the table against its part of the budget.
func TestOneOfManyCells(t *testing.T) {
	w := NewCellWorld(CellConfig{
		Seed:           1,
		Owners:         1,
		Workers:        30,
		Capacity:       testCapacity,
		Assert:         fatalAsserter(t, 1),
		CommitInterval: 700 * time.Millisecond,
	})
	w.RunUntil(w.Now().Add(5 * time.Second))
	const span = 60 * time.Second
	until := w.Now().Add(span)
	writesBefore, readsBefore := w.Platform.Writes, w.Platform.Reads
	submittedAt := map[string]time.Time{}
	n := 0
	w.Every(time.Second*cells/startsASecond, func() bool {
		n++
		urgency := 3
		if n%10 == 0 {
			urgency = 9
		}
		spec := smallJob(fmt.Sprintf("job-%05d", n), urgency, 20_000)
		putOnRecord(t, w, spec)
		submittedAt[spec.ID] = w.Now()
		return w.Now().Before(until)
	})
	w.RunUntil(until)
	submissions := len(submittedAt)
	writes := float64(w.Platform.Writes-writesBefore-submissions) / span.Seconds()
	reads := float64(w.Platform.Reads-readsBefore) / span.Seconds()
	w.RunUntil(until.Add(time.Minute))
	var waits []time.Duration
	for id, at := range submittedAt {
		started, ok := w.StartedAt[id]
		assert.Assert(t, ok, "%s never started", id)
		waits = append(waits, started.Sub(at))
	}
	slices.Sort(waits)
	p99 := waits[len(waits)*99/100]
	t.Logf("%d starts in %s: %.2f writes/s (x%d cells: %.0f), %.2f reads/s (x%d: %.0f), start p50 %s p99 %s",
		submissions, span, writes, cells, writes*cells, reads, cells, reads*cells, waits[len(waits)/2], p99)
	assert.Assert(t, writes*cells <= tableWrites, "%.0f writes a second over all cells", writes*cells)
	assert.Assert(t, reads*cells <= tableReads, "%.0f reads a second over all cells", reads*cells)
	assert.Assert(t, p99 <= urgentLimit, "p99 of the wait for a start is %s", p99)
}

// TestTimeToRecover kills the cell's owner, and then an instance, and tells how
// long it takes until work starts again.
func TestTimeToRecover(t *testing.T) {
	w := testCellWorld(t, 1)
	putOnRecord(t, w, smallJob("long", 3, 3_600_000))
	w.RunUntil(w.Now().Add(5 * time.Second))
	t.Run("after the owner was killed", func(t *testing.T) {
		for i, o := range w.Owners {
			if o.Core.Cell() != nil {
				o.Kill()
				defer w.ReplaceOwner(i)
			}
		}
		killed := w.Now()
		putOnRecord(t, w, smallJob("after-the-owner", 9, 60_000))
		w.RunUntil(killed.Add(20 * time.Second))
		took := w.StartedAt["cell-1/after-the-owner"].Sub(killed)
		t.Logf("a new owner started work after %s", took)
		assert.Assert(t, took > 0 && took <= urgentLimit, "%s", took)
		assert.Equal(t, w.Starts["cell-1/long"], 1, "the change of owner stopped a task")
	})
	t.Run("after an instance was lost", func(t *testing.T) {
		var lost *CellWorker
		for _, cw := range w.Workers {
			if w.Running["cell-1/after-the-owner"][cw.Address] {
				lost = cw
			}
		}
		w.KillWorker(lost)
		at := w.Now()
		for w.Now().Before(at.Add(30*time.Second)) && len(w.Running["cell-1/after-the-owner"]) == 0 {
			w.RunUntil(w.Now().Add(10 * time.Millisecond))
		}
		took := w.Now().Sub(at)
		t.Logf("its task ran elsewhere after %s", took)
		assert.Assert(t, took <= urgentLimit, "%s", took)
	})
}
