package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// takeOver replaces the harness's cell by that of the next owner, which loads job j from
// its committed row.
func (h *cellHarness) takeOver() {
	h.t.Helper()
	j := h.cell.jobs["j"]
	h.cell = NewCell(Config{
		Epoch:           2,
		Assert:          strictAsserter(h.t),
		Lease:           testLease,
		LongestLease:    testLease,
		FormerLeasesEnd: h.now.Add(MaxLease(testLease)),
	})
	h.cell.SetQueues(testQueues())
	h.cell.Load(h.now, j.spec, j.progress())
}

// finishSilent lets the runner of agent a, which was silent, list the end of the first run.
func (h *cellHarness) finishSilent(silent *framer.Report, reason framer.FinishReason) {
	h.t.Helper()
	h.runners["a"] = silent
	h.finish("a", runRef("j.0.0.0", 1), reason)
	h.tickUntilIdle()
}

// Guards against a gang's task that starts again after its end was acknowledged: the former
// owner gave its run up, and the next one acknowledges the end without a proof that the
// lease has expired.
func TestEndOfGivenUpGangIsNotAckedByNextOwner(t *testing.T) {
	h := newCellHarness(t, "a")
	step := newStep(2, 500)
	step.Gang = true
	h.add("j", "checks", step)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 2)
	silent := h.runners["a"]
	h.silence("a", "b")
	assert.DeepEqual(t, h.acceptStarts("b"), []framer.RunRef{runRef("j.0.0.0", 2), runRef("j.0.0.1", 2)})
	h.takeOver()
	h.finishSilent(silent, framer.FinishDone)
	assert.Equal(t, h.cell.Sync(h.now, "a", true).AckedSequence, int64(0))
}

// silence ends the reports of an agent for longer than a lease, and lets another agent
// report an empty runner.
func (h *cellHarness) silence(agent, other string) {
	h.t.Helper()
	r := *h.runners[agent]
	delete(h.runners, agent)
	h.cell.AgentDisconnected(agent)
	r.Running = nil
	r.Runner.Key.ID = "i-" + other
	h.runners[other] = &r
	h.advance(MaxLease(testLease) + time.Second)
}

// Guards against a task that starts after its last allowed failure: the former owner gave
// the run up, and the next one acknowledges that it failed without counting that.
func TestFailureOfGivenUpRunIsCountedOrNotAckedByNextOwner(t *testing.T) {
	h, silent := newGivenUpHarness(t)
	h.takeOver()
	h.finishSilent(silent, framer.FinishFailed)
	acked := h.cell.Sync(h.now, "a", true).AckedSequence
	failures := h.cell.jobs["j"].occurrences[0].steps[0][0].failures
	assert.Assert(t, acked == 0 || failures == 1, "%d acknowledged, %d failures", acked, failures)
}

// Guards against a task that starts again after its end was acknowledged: the former owner
// gave its run up and found no room for the next one, so that the end has the number of the
// task's last run.
func TestEndOfGivenUpRunIsNotAckedByNextOwnerBeforeNextRun(t *testing.T) {
	h := newCellHarness(t, "a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 1)
	silent := h.runners["a"]
	delete(h.runners, "a")
	h.cell.AgentDisconnected("a")
	h.advance(MaxLease(testLease) + time.Second)
	h.takeOver()
	h.finishSilent(silent, framer.FinishDone)
	sync := h.cell.Sync(h.now, "a", true)
	assert.Assert(t, sync.AckedSequence == 0 || len(sync.Starts) == 0, "%d acknowledged, %v starts", sync.AckedSequence, sync.Starts)
}

// Guards against an end that is acknowledged, and a lease that is renewed, before the lease
// that a former owner granted has expired: an agent that has restarted knows of no lease, so
// that any reading counts as one after its end.
func TestLeaseOfFormerOwnerIsNotProvenExpiredByRestartedAgent(t *testing.T) {
	h := newCellHarness(t, "a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 1)
	until := h.grantedUntil("a")
	silent := h.runners["a"]
	delete(h.runners, "a")
	h.takeOver()
	h.advance(MaxLease(testLease) + time.Second)
	assert.Equal(t, h.cell.Counts.Lost, int64(1))
	h.finishSilent(silent, framer.FinishDone)
	h.readClock("a", until-2*leaser.SettleMillis)
	h.readClock("a", until-leaser.SettleMillis)
	assertWithheld(t, h, "a")
}

// Guards against an end that is acknowledged, and a lease that is renewed, before the lease
// has expired that a delayed call for an earlier incarnation can have granted: it is longer
// than the ones that the owner granted.
func TestDelayedLeaseIsNotProvenExpiredByGrantedOnes(t *testing.T) {
	const longest = 30 * time.Second
	h := newCellHarness(t, "a")
	h.cell.cfg.LongestLease = longest
	h.report("a")
	r := h.runners["a"]
	r.Runner.Key.StartedAtMillis++
	r.ClockMillis = 0
	h.report("a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	h.cell.SetEpoch(2)
	assert.Equal(t, len(h.acceptStarts("a")), 1)
	until := h.grantedUntil("a")
	delete(h.runners, "a")
	h.cell.AgentDisconnected("a")
	h.advance(maxCallDelay + MaxLease(longest) + time.Second)
	assert.Equal(t, h.cell.Counts.Lost, int64(1))
	h.finishSilent(r, framer.FinishDone)
	h.readClock("a", until+1)
	h.readClock("a", until+1+leaser.SettleMillis)
	assertWithheld(t, h, "a")
}

// Guards against an end that is acknowledged, and a lease that is renewed, by a runner that
// has not noticed yet that its lease has expired: it was stopped again between two readings
// of its clock, and answered each time before its timers.
func TestReadingsAroundAnotherStopProveNothing(t *testing.T) {
	h := loseByLease(t)
	until := h.grantedUntil("x")
	h.readClock("x", until+1)
	h.now = h.now.Add(testLease)
	h.readClock("x", until+1+testLease.Milliseconds())
	assertWithheld(t, h, "x")
}

// Guards against work that is lost: a task that was placed on a runner starts there once its
// lease is no longer renewed, and ends with that lease.
func TestRunnerWithoutRenewalGetsNoPlacedTask(t *testing.T) {
	h, silent := newGivenUpHarness(t)
	h.takeOver()
	delete(h.runners, "b")
	h.runners["a"] = silent
	h.report("a")
	h.add("k", "checks", newStep(1, 500))
	h.tickUntilIdle()
	h.finishSilent(silent, framer.FinishDone)
	sync := h.cell.Sync(h.now, "a", true)
	assert.Equal(t, sync.LeaseUntilMillis, int64(0))
	assert.Equal(t, len(sync.Starts), 0)
}

// Guards against work that is lost: a runner's lease had to expire once more for an end that
// an earlier expiry had followed already, which its agent knows.
func TestEndOfSupersededRunNeedsNoSecondExpiry(t *testing.T) {
	h, silent := newGivenUpHarness(t)
	h.takeOver()
	silent.ExpiredSequence = 1
	h.finishSilent(silent, framer.FinishDone)
	sync := h.cell.Sync(h.now, "a", true)
	assert.Equal(t, sync.AckedSequence, int64(1))
	assert.Assert(t, sync.LeaseUntilMillis > 0)
}
