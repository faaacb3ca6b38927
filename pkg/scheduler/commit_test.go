package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

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
