package scheduler

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func encodedSize(t *testing.T, p Progress) int {
	t.Helper()
	data, err := cbor.Marshal(p)
	assert.NilError(t, err)
	return len(data)
}

// The store rejects a row that is too large, so no run of its job would start, and
// none of its ends be acknowledged.
func TestRowsAndCommitsFitIntoTheStore(t *testing.T) {
	h := newLargeHarness(t, 8)
	const jobs = 40
	for i := range jobs {
		step := newStep(5000, 10)
		step.LongRunning = true
		if i%2 == 1 {
			step.Checkpoints = true
			step.Count = 1500
		}
		h.add(fmt.Sprintf("j%02d", i), "checks", step)
	}
	h.cell.Tick(h.now, true)
	written := 0
	for {
		commit, ok := h.cell.Commit()
		if !ok {
			break
		}
		total := 0
		for _, row := range commit.Rows {
			size := encodedSize(t, row.Progress)
			assert.Assert(t, size <= maxRowBytes, "the row of %s has %d bytes", row.ID, size)
			assert.Assert(t, size <= row.Progress.size(), "%d bytes are more than the bound", size)
			total += size
		}
		assert.Assert(t, total <= maxCommitBytes, "%d bytes", total)
		written += len(commit.Rows)
		h.cell.Committed(commit)
	}
	assert.Equal(t, written, jobs)
	for _, j := range h.cell.jobs {
		assert.Assert(t, j.placed > 100, "%d tasks are placed", j.placed)
	}
}

// A job whose progress can never be stored must be refused when it is submitted.
func TestJobWithTooManyTasksIsRefused(t *testing.T) {
	plain, checkpoints, gang := newStep(5000, 10), newStep(1500, 10), newStep(800, 10)
	checkpoints.Checkpoints = true
	gang.Gang = true
	for name, step := range map[string]Step{"plain": plain, "with checkpoints": checkpoints, "gang": gang} {
		t.Run(name, func(t *testing.T) {
			spec := Spec{
				Steps: []Step{step},
			}
			assert.NilError(t, spec.CheckSize())
			spec.Steps[0].Count = maxTasks
			assert.ErrorContains(t, spec.CheckSize(), "tasks placed")
			spec.Steps[0].Count = step.Count
			spec.RunCount = 10
			assert.ErrorContains(t, spec.CheckSize(), "tasks placed")
		})
	}
}

// A job must not be refused for its number of steps if the store takes its row.
func TestMoreStepsThanAllowedDoNotFitIntoTheRow(t *testing.T) {
	spec := Spec{}
	for range maxSteps {
		spec.Steps = append(spec.Steps, Step{
			Count: 1,
		})
	}
	data, err := cbor.Marshal(spec)
	assert.NilError(t, err)
	assert.Assert(t, len(data) > maxRowBytes, "%d bytes", len(data))
}
