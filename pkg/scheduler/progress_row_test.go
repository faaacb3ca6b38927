package scheduler

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

// newLargeHarness returns a harness whose runners have long names and much room.
func newLargeHarness(t *testing.T, runners int) *cellHarness {
	t.Helper()
	agents := make([]string, runners)
	for i := range agents {
		agents[i] = fmt.Sprintf("255.255.255.%03d:65535", i)
	}
	h := newCellHarness(t, agents...)
	for agent, r := range h.runners {
		r.Runner.Address = agent
		r.Runner.Key.StartedAtMillis = 1_767_225_600_000
		r.Runner.ProcessorMillis = 1_000_000
		r.Runner.MemoryBytes = 10_000 * gigabyte
		h.report(agent)
	}
	return h
}

// assertRow checks that the row of a job fits into the store, and is decoded as it was encoded.
func assertRow(t *testing.T, j *job) Progress {
	t.Helper()
	p := j.progress()
	data, err := cbor.Marshal(p)
	assert.NilError(t, err)
	assert.Assert(t, len(data) <= maxRowBytes, "%d bytes", len(data))
	assert.Assert(t, len(data) <= p.size(), "%d bytes are more than the bound of %d", len(data), p.size())
	var decoded Progress
	assert.NilError(t, cbor.Unmarshal(data, &decoded))
	assert.DeepEqual(t, decoded, p)
	return p
}

// A job must not have fewer tasks placed than its runners hold because its row names the runner
// of each task.
func TestManyTasksOnFewRunnersArePlaced(t *testing.T) {
	h := newLargeHarness(t, 5)
	step := newLongRunningStep(100)
	step.Count = 1400
	h.add("j", "checks", step)
	h.tickUntilIdle()
	assert.Equal(t, h.cell.jobs["j"].placed, 1400)
	assertRow(t, h.cell.jobs["j"])
}

// A job whose tasks have saved long checkpoints must still fit into its row once all of them are
// placed, lost and placed again, or none of its ends is acknowledged and no run of it starts.
func TestLongCheckpointsFitIntoTheRow(t *testing.T) {
	h := newLargeHarness(t, 6)
	step := newStep(640, 100)
	step.LongRunning = true
	step.Checkpoints = true
	h.add("j", "checks", step)
	h.tickUntilIdle()
	h.acceptAllStarts()
	for _, r := range h.runners {
		for i := range r.Running {
			r.Running[i].Checkpoint = strings.Repeat("c", 64)
		}
	}
	h.advance(time.Second)
	j := h.cell.jobs["j"]
	assert.Equal(t, j.placed, 640)
	assertRow(t, j)
	for agent, r := range h.runners {
		r.Runner.Key.StartedAtMillis++
		r.Running = nil
		h.report(agent)
	}
	h.advance(maxCallDelay + time.Second)
	h.acceptAllStarts()
	assert.Equal(t, j.placed, 640)
	assertRow(t, j)
}

// A row that fits in the form of earlier versions must keep it, so that an owner of an earlier
// version runs no task twice.
func TestRowKeepsThePlainForm(t *testing.T) {
	h := newLargeHarness(t, 2)
	h.add("j", "checks", newStep(100, 100))
	h.tickUntilIdle()
	p := assertRow(t, h.cell.jobs["j"])
	data, err := cbor.Marshal(p)
	assert.NilError(t, err)
	var plain plainProgress
	assert.NilError(t, cbor.Unmarshal(data, &plain))
	assert.DeepEqual(t, Progress(plain), p)
}

// A row that names a runner that it does not list must be rejected, not end the process.
func TestRowWithUnknownRunnerIsRejected(t *testing.T) {
	for _, position := range []int{-1, 2} {
		data, err := cbor.Marshal(compactProgress{
			Runners: []rowRunner{{
				ID: "i-1",
			}},
			CompactTasks: []compactTask{{
				Runner: position,
			}},
		})
		assert.NilError(t, err)
		var p Progress
		assert.ErrorContains(t, cbor.Unmarshal(data, &p), "in a job's progress")
	}
}

// No job may have a row that the store rejects, whatever the number of its tasks, the lengths of
// their checkpoints and the number of runners, provided that one row can list its tasks: its runs
// would not start, and its ends not be acknowledged.
func TestRowsOfAnySizeFit(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			h := newLargeHarness(t, 1+rnd.IntN(40))
			var steps []Step
			for range 1 + rnd.IntN(4) {
				step := newStep(1+rnd.IntN(1200), 10)
				step.Checkpoints = rnd.IntN(2) == 0
				step.LongRunning = rnd.IntN(2) == 0
				steps = append(steps, step)
			}
			h.add("j", "checks", steps...)
			j := h.cell.jobs["j"]
			for _, task := range j.tasks() {
				if task.spec().Checkpoints {
					task.setCheckpoint(strings.Repeat("c", rnd.IntN(300)))
				}
			}
			h.tickUntilIdle()
			assert.Assert(t, j.placed > 0)
			assertRow(t, j)
		})
	}
}

// A job whose saved values do not fit into one row must still have all of its tasks running.
func TestTasksOfJobLargerThanOneRowStart(t *testing.T) {
	h := newLargeHarness(t, 6)
	step := newStep(600, 10)
	step.Checkpoints = true
	h.add("j", "checks", step)
	j := h.cell.jobs["j"]
	for _, task := range j.tasks() {
		task.setCheckpoint(strings.Repeat("c", 200))
	}
	h.tickUntilIdle()
	assert.Equal(t, j.placed, 600)
	assertRow(t, j)
}
