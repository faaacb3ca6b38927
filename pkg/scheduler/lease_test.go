package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPlacementDoesNotExtendLeaseOfLostRunner guards against the incident LOST:
// each placement on a runner that was lost already, but was listed less than
// listingTTL ago, delayed the restart of all its tasks.
func TestPlacementDoesNotExtendLeaseOfLostRunner(t *testing.T) {
	h := newCellHarness(t, "a")
	h.add("early", "checks", newStep(1, 500))
	h.advance(time.Second)
	h.acceptStarts("a")
	lostAt := h.now
	h.now = lostAt.Add(time.Second)
	h.add("late", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, h.cell.jobs["late"].placed, 1)
	h.now = lostAt.Add(h.cell.maxLease() + expiryInterval)
	h.cell.Tick(h.now, true)
	assert.Equal(t, h.cell.Counts.Lost, int64(2))
}
