package scheduler

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
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

// Guards against a runner that gets neither starts nor leases any more, since the starts
// that wait for it are larger than a frame may be.
func TestSyncOfManyLargeStartsFitsIntoFrame(t *testing.T) {
	const (
		jobs  = 22
		tasks = 96
	)
	h := newCellHarness(t, "x")
	step := newStep(tasks, 15)
	step.Needs.MemoryBytes = 0
	for i := range jobs {
		h.cell.Add(h.now, Spec{
			ID:      fmt.Sprintf("j%d", i),
			Queue:   "checks",
			Service: "polls",
			Payload: strings.Repeat("x", 4000),
			Steps:   []Step{step},
		})
	}
	h.tickUntilIdle()
	frames, err := framer.New()
	assert.NilError(t, err)
	started := 0
	for round := 0; started < jobs*tasks && round < jobs*tasks; round++ {
		placed := h.cell.Sync(h.now, "x", true)
		data, err := frames.Encode(framer.Frame{
			Sync: &placed,
		})
		assert.NilError(t, err)
		assert.Assert(t, len(data) <= framer.MaxFrameBytes/4)
		assert.Assert(t, placed.LeaseUntilMillis > 0)
		again := h.acceptStarts("x")
		assert.Equal(t, len(again), len(placed.Starts), "what was sent is requested until it is confirmed")
		started += len(again)
		assert.Assert(t, len(again) > 0 && (started == jobs*tasks || h.cell.agents["x"].dirty), "the rest is sent at once, after %d", started)
	}
	assert.Equal(t, started, jobs*tasks)
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
