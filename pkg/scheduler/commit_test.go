package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// A start is requested only after the row that names the run is committed, and
// only while the owner may grant leases. Otherwise a new owner that has not read
// of the run could start the task a second time.
func TestStartRequiresCommittedRow(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.cell.Tick(h.now, true)
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 0)
	commit, ok := h.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.Tasks[0].RunnerID, "i-x")
	assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 0, "the commit is in flight")
	h.cell.Committed(commit)
	assert.Equal(t, len(h.cell.Sync(h.now, "x", false).Starts), 0, "the lease may be lost")
	sync := h.cell.Sync(h.now, "x", true)
	assert.Equal(t, len(sync.Starts), 1)
	assert.Assert(t, !sync.Starts[0].Repeated)
	assert.Assert(t, h.cell.Sync(h.now, "x", true).Starts[0].Repeated)
}

// A finished run that is acknowledged before its row is committed is lost if
// the owner fails in between.
func TestFinishedRunIsAckedOnceCommitted(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	h.acceptStarts("x")
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(0))
	commit, ok := h.cell.Commit()
	assert.Assert(t, ok)
	assert.Equal(t, commit.Rows[0].Progress.State, StateCompleted)
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(0))
	h.cell.Committed(commit)
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(1))
}

func TestJobBeginsOnceARunnerConfirmsARun(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.cell.Tick(h.now, true)
	placed, _ := h.cell.Commit()
	h.cell.Committed(placed)
	assert.Assert(t, !placed.Rows[0].Progress.Begun, "the start request may be delayed")
	h.acceptStarts("x")
	begun, ok := h.cell.Commit()
	assert.Assert(t, ok)
	assert.Assert(t, begun.Rows[0].Progress.Begun)
}

// An end whose row the store rejected is not persisted, so it must be listed again
// to the next owner; those of other jobs are acknowledged.
func TestEndOfRejectedRowIsNotAcked(t *testing.T) {
	h := newCellHarness(t, "x")
	h.add("a", "checks", newStep(1, 500))
	h.add("b", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 2)
	h.finish("x", runRef("a.0.0.0", 1), framer.FinishDone)
	h.finish("x", runRef("b.0.0.0", 1), framer.FinishDone)
	for {
		commit, ok := h.cell.Commit()
		if !ok {
			break
		}
		if len(commit.Rows) > 1 || commit.Rows[0].ID == "b" {
			h.cell.Rejected(h.now, commit)
			continue
		}
		h.cell.Committed(commit)
	}
	assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(1))
	t.Run("until its row is written after all", func(t *testing.T) {
		h.advance(rejectedRowDelay - time.Second)
		assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(1))
		h.advance(2 * time.Second)
		assert.Equal(t, h.cell.Sync(h.now, "x", true).AckedSequence, int64(2))
	})
}

// While more jobs change than one commit holds, a job must not wait behind those
// that change again and again: no run of it would start.
func TestChangedJobsAreCommittedInTurn(t *testing.T) {
	const jobs = 3 * maxCommitRows
	h := newCellHarness(t, "x")
	for i := range jobs {
		h.add(fmt.Sprintf("j%03d", i), "checks", newStep(1, 500))
	}
	written := map[string]int{}
	acknowledgeable := h.cell.change
	for round := range 6 {
		for _, j := range h.cell.jobs {
			h.cell.markChanged(j)
		}
		if round == 0 {
			acknowledgeable = h.cell.change
		}
		commit, ok := h.cell.Commit()
		assert.Assert(t, ok)
		for _, row := range commit.Rows {
			written[row.ID]++
		}
		h.cell.Committed(commit)
	}
	assert.Equal(t, len(written), jobs)
	for id, n := range written {
		assert.Equal(t, n, 2, id)
	}
	assert.Assert(t, h.cell.committed >= acknowledgeable, "ends whose rows are written must be acknowledged")
}
