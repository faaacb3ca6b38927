package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// readClock lets an agent report a reading of its runner's clock.
func (h *cellHarness) readClock(agent string, clockMillis int64) {
	h.t.Helper()
	h.now = h.now.Add(leaser.SettleMillis * time.Millisecond)
	h.runners[agent].ClockMillis = clockMillis
	h.report(agent)
	h.tickUntilIdle()
}

// grantedUntil returns the end of the last known lease of an agent's runner.
func (h *cellHarness) grantedUntil(agent string) int64 {
	return h.cell.agents[agent].grantedUntilMillis
}

// assertWithheld checks that an agent's runner gets neither a lease nor an acknowledgement
// nor a task.
func assertWithheld(t *testing.T, h *cellHarness, agent string) {
	t.Helper()
	sync := h.cell.Sync(h.now, agent, true)
	assert.Equal(t, sync.AckedSequence, int64(0))
	assert.Equal(t, sync.LeaseUntilMillis, int64(0))
	assert.Equal(t, h.cell.agents[agent].refusal(h.now), refusedNoLease)
}

// loseByLease returns a harness with a run that was released because the lease of its
// runner had expired by the owner's clock. The run has finished there.
func loseByLease(t *testing.T) *cellHarness {
	t.Helper()
	h := newCellHarness(t, "x")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("x")), 1)
	silent := h.runners["x"]
	delete(h.runners, "x")
	h.cell.AgentDisconnected("x")
	h.advance(h.cell.maxLease() + time.Second)
	assert.Equal(t, h.cell.Counts.Lost, int64(1))
	h.runners["x"] = silent
	h.finish("x", runRef("j.0.0.0", 1), framer.FinishDone)
	h.tickUntilIdle()
	return h
}

// TestLostRunIsAcknowledgedOnlyOnceItsLeaseIsProvenToHaveExpired guards against the
// incident TWICE: a run that was released because its lease had expired turned out to have
// finished, and was acknowledged, and its runner granted a lease, without any proof that
// the lease had expired there.
func TestLostRunIsAcknowledgedOnlyOnceItsLeaseIsProvenToHaveExpired(t *testing.T) {
	t.Run("a reading from before the end of the lease proves nothing", func(t *testing.T) {
		h := loseByLease(t)
		assertWithheld(t, h, "x")
		h.readClock("x", h.grantedUntil("x"))
		assertWithheld(t, h, "x")
	})
	t.Run("one reading after it may come before the runner has noticed", func(t *testing.T) {
		h := loseByLease(t)
		h.readClock("x", h.grantedUntil("x")+1)
		assertWithheld(t, h, "x")
		h.readClock("x", h.grantedUntil("x")+leaser.SettleMillis)
		assertWithheld(t, h, "x")
	})
	t.Run("two readings apart prove it", func(t *testing.T) {
		h := loseByLease(t)
		until := h.grantedUntil("x")
		h.readClock("x", until+1)
		h.readClock("x", until+1+leaser.SettleMillis)
		sync := h.cell.Sync(h.now, "x", true)
		assert.Equal(t, sync.AckedSequence, int64(1))
		assert.Equal(t, sync.LeaseUntilMillis, h.cell.agents["x"].clockMillis+testLease.Milliseconds())
	})
	t.Run("a lease that only the agent knows of counts", func(t *testing.T) {
		h := loseByLease(t)
		h.runners["x"].LeaseUntilMillis = 60_000
		h.readClock("x", 59_000)
		h.readClock("x", 60_000)
		assertWithheld(t, h, "x")
	})
	t.Run("the proof is due as long as the runner may come back, whatever it lists", func(t *testing.T) {
		h := loseByLease(t)
		silent := h.runners["x"]
		delete(h.runners, "x")
		h.cell.AgentDisconnected("x")
		h.advance(4 * maxCallDelay)
		silent.Finished = nil
		h.runners["x"] = silent
		h.report("x")
		assertWithheld(t, h, "x")
	})
	t.Run("a start that was never sent needs none", func(t *testing.T) {
		h := newCellHarness(t, "x")
		h.add("j", "checks", newStep(1, 500))
		h.cell.Tick(h.now, true)
		h.cell.AgentDisconnected("x")
		h.now = h.now.Add(h.cell.maxLease() + time.Second)
		h.cell.Tick(h.now, false)
		assert.Assert(t, !h.cell.runners[h.runners["x"].Runner.Key].expiry.due)
	})
}
