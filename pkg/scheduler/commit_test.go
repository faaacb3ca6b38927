package scheduler

import (
	"testing"

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
