package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// At hundreds of runners, most reports tell nothing that an agent must hear of.
func TestReportsWithoutNewsAreNotAnswered(t *testing.T) {
	newSynced := func(t *testing.T) *cellHarness {
		h := newCellHarness(t, "x")
		h.add("j", "checks", newStep(1, 500))
		h.tickUntilIdle()
		h.acceptStarts("x")
		h.cell.Sync(h.now, "x", true)
		return h
	}
	t.Run("a report without news is not answered", func(t *testing.T) {
		h := newSynced(t)
		h.report("x")
		assert.Equal(t, len(h.cell.Dirty()), 0)
	})
	t.Run("a lease is renewed long before it expires", func(t *testing.T) {
		h := newSynced(t)
		h.now = h.now.Add(testLease / leaseRenewals)
		h.report("x")
		assert.DeepEqual(t, h.cell.Dirty(), []string{"x"})
		assert.Assert(t, h.cell.Sync(h.now, "x", true).LeaseUntilMillis > 0)
	})
	t.Run("what could not be granted is granted after the next report", func(t *testing.T) {
		h := newSynced(t)
		h.add("k", "checks", newStep(1, 500))
		h.tickUntilIdle()
		assert.Equal(t, len(h.cell.Sync(h.now, "x", false).Starts), 0)
		h.now = h.now.Add(time.Millisecond)
		h.report("x")
		assert.DeepEqual(t, h.cell.Dirty(), []string{"x"})
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Starts), 1)
	})
	t.Run("a stop is sent at once", func(t *testing.T) {
		h := newSynced(t)
		h.cell.Cancel(h.now, "j")
		assert.DeepEqual(t, h.cell.Dirty(), []string{"x"})
	})
	t.Run("an agent without a link is asked nothing, and told all once it is back", func(t *testing.T) {
		h := newSynced(t)
		h.cell.AgentDisconnected("x")
		h.cell.Cancel(h.now, "j")
		assert.Equal(t, len(h.cell.Dirty()), 0)
		h.report("x")
		assert.DeepEqual(t, h.cell.Dirty(), []string{"x"})
		assert.Equal(t, len(h.cell.Sync(h.now, "x", true).Stops), 1)
	})
}

func TestTaskNamesAreParsed(t *testing.T) {
	for _, id := range []string{"a", "a.b", "a.1.2", "4f0c.0"} {
		gotID, occurrence, step, index, ok := parseTaskName(taskName(id, 3, 1, 27))
		assert.Assert(t, ok, id)
		assert.Equal(t, gotID, id)
		assert.DeepEqual(t, []int{occurrence, step, index}, []int{3, 1, 27})
	}
	for _, name := range []string{"", "a", "a.1", "a.1.2", "a.1.2.x", "a.1.-2.3"} {
		_, _, _, _, ok := parseTaskName(name)
		assert.Assert(t, !ok, name)
	}
}
