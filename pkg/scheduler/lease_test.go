package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
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

// TestLeaseOfRestartedRunner guards against the incident LOST: the tasks of a
// runner that had restarted under its id and was then lost waited for delayed
// calls for the earlier incarnation, also once the runner rejected those.
func TestLeaseOfRestartedRunner(t *testing.T) {
	const longestLease = 10 * time.Second
	// restart returns a harness with a runner that just restarted under its id.
	restart := func(t *testing.T) *cellHarness {
		h := newCellHarness(t, "a")
		h.cell.cfg.LongestLease = longestLease
		r := h.runners["a"]
		// By the clock of the next incarnation, the leases of this one end in an hour.
		r.ClockMillis = time.Hour.Milliseconds()
		h.advance(time.Second)
		r.Runner.Key.StartedAtMillis++
		r.ClockMillis = 0
		h.report("a")
		return h
	}
	// assertExpires checks how long the cell waits for the runner's last lease if
	// the runner is lost now.
	assertExpires := func(t *testing.T, h *cellHarness, after time.Duration) {
		t.Helper()
		h.add("j", "checks", newStep(1, 500))
		h.tickUntilIdle()
		assert.Equal(t, h.cell.jobs["j"].placed, 1)
		h.now = h.now.Add(after)
		h.cell.Tick(h.now, false)
		assert.Equal(t, h.cell.Counts.Lost, int64(0))
		h.now = h.now.Add(expiryInterval)
		h.cell.Tick(h.now, false)
		assert.Equal(t, h.cell.Counts.Lost, int64(1))
	}
	t.Run("a delayed call may grant the longest lease", func(t *testing.T) {
		assertExpires(t, restart(t), maxCallDelay+MaxLease(longestLease))
	})
	t.Run("calls of an earlier epoch are rejected after a listing under a higher one", func(t *testing.T) {
		h := restart(t)
		assert.Assert(t, h.cell.EpochRaiseDue())
		h.cell.SetEpoch(2)
		assert.Assert(t, !h.cell.EpochRaiseDue())
		assert.DeepEqual(t, h.cell.Dirty(), []string{"a"})
		h.runners["a"].ListedEpoch = 2
		h.report("a")
		assertExpires(t, h, MaxLease(longestLease))
	})
	t.Run("a listing under the epoch of the earlier incarnation proves nothing", func(t *testing.T) {
		h := restart(t)
		h.cell.SetEpoch(2)
		h.runners["a"].ListedEpoch = 1
		h.report("a")
		assertExpires(t, h, maxCallDelay+MaxLease(longestLease))
	})
	t.Run("a runner with a new id receives no delayed calls", func(t *testing.T) {
		h := newCellHarness(t, "a")
		h.runners["a"].Runner.Key = framer.RunnerKey{
			ID:              "i-new",
			StartedAtMillis: 2000,
		}
		h.report("a")
		assert.Assert(t, !h.cell.EpochRaiseDue())
	})
}

// TestUnansweringRunnerGetsNoTask guards against work that is placed on a lost
// runner for as long as its last listing counts as recent.
func TestUnansweringRunnerGetsNoTask(t *testing.T) {
	h := newCellHarness(t, "a")
	h.runners["a"].Unanswered = true
	h.report("a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, h.cell.jobs["j"].placed, 0)
	h.runners["a"].Unanswered = false
	h.report("a")
	h.now = h.now.Add(placementInterval)
	h.tickUntilIdle()
	assert.Equal(t, h.cell.jobs["j"].placed, 1)
}

// TestUnlistedRunWaitsForLongestLease guards against a task that runs twice: a start
// may reach a later incarnation under the same id, by whose clock its lease is the
// longest that a runner grants (seeds 22 and 46 of TestStepsUnderFaults).
func TestUnlistedRunWaitsForLongestLease(t *testing.T) {
	const longestLease = 10 * time.Second
	h := newCellHarness(t, "a")
	h.cell.cfg.LongestLease = longestLease
	h.advance(time.Second)
	listedAt := h.now
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.cell.Sync(h.now, "a", true).Starts), 1)
	h.cell.AgentDisconnected("a")
	h.now = listedAt.Add(listingTTL + MaxLease(longestLease))
	h.cell.Tick(h.now, true)
	assert.Equal(t, h.cell.Counts.Lost, int64(0))
	h.now = h.now.Add(maxCallTime + expiryInterval)
	h.cell.Tick(h.now, true)
	assert.Equal(t, h.cell.Counts.Lost, int64(1))
}

// Guards against a long-running task that is down for the longest lease that the platform
// permits, since its runner was lost between the start and the next listing. The agent that
// requested the start is there and would have seen a later incarnation.
func TestUnlistedRunWaitsForItsLeaseOnlyWhileAgentReports(t *testing.T) {
	const (
		reports = iota + 1
		silent
		unlinked
	)
	for _, longestLease := range []time.Duration{10 * time.Second, 30 * time.Second} {
		// lostAfter returns when the run counts as lost, from when the runner was.
		lostAfter := func(t *testing.T, agent func(since time.Duration) int) time.Duration {
			h := newCellHarness(t, "a")
			h.cell.cfg.LongestLease = longestLease
			h.advance(time.Second)
			h.add("j", "checks", newStep(1, 500))
			h.tickUntilIdle()
			assert.Equal(t, len(h.cell.Sync(h.now, "a", true).Starts), 1)
			lostAt, r := h.now, h.runners["a"]
			clock := r.ClockMillis
			for h.cell.Counts.Lost == 0 && h.now.Sub(lostAt) < 2*longestLease {
				h.now = h.now.Add(100 * time.Millisecond)
				switch agent(h.now.Sub(lostAt)) {
				case reports:
					r.ListingAgeMillis = h.now.Sub(lostAt).Milliseconds()
					r.Unanswered = true
					r.ClockMillis = clock
					r.Listed = true
					h.cell.HandleReport(h.now, "a", *r)
				case unlinked:
					h.cell.AgentDisconnected("a")
				default:
				}
				h.cell.Tick(h.now, true)
			}
			return h.now.Sub(lostAt)
		}
		name := longestLease.String()
		t.Run(name+", the agent reports", func(t *testing.T) {
			after := lostAfter(t, func(time.Duration) int { return reports })
			assert.Assert(t, after <= MaxLease(testLease)+500*time.Millisecond, "after %s", after)
		})
		for what, agent := range map[string]func(since time.Duration) int{
			"the agent is lost": func(since time.Duration) int {
				if since < time.Second {
					return reports
				}
				return unlinked
			},
			"the agent may have been replaced": func(since time.Duration) int {
				if since == time.Second {
					return unlinked
				}
				return reports
			},
			"the agent is cut off": func(since time.Duration) int {
				if since < time.Second {
					return reports
				}
				return silent
			},
		} {
			t.Run(name+", "+what, func(t *testing.T) {
				after := lostAfter(t, agent)
				assert.Assert(t, after > listingTTL+maxCallTime+MaxLease(longestLease), "after %s", after)
			})
		}
	}
}

// TestLongRunningTaskAvoidsRestartedRunner guards against the incident LOST: the
// tasks of a runner that is lost soon after a restart under its id wait for longer.
func TestLongRunningTaskAvoidsRestartedRunner(t *testing.T) {
	h := newCellHarness(t, "a", "b")
	r := h.runners["a"]
	r.Runner.ProcessorMillis *= 2
	r.Runner.Key.StartedAtMillis++
	r.ClockMillis = 0
	h.report("a")
	h.add("j", "checks", newLongRunningStep(500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 0)
	assert.Equal(t, len(h.acceptStarts("b")), 1)
}

// TestFiniteTaskAvoidsUnfencedRunner guards against finite tasks that wait for delayed calls
// because their runner, which restarted under its id, is lost before it rejects these.
func TestFiniteTaskAvoidsUnfencedRunner(t *testing.T) {
	h := newCellHarness(t, "a", "b")
	r := h.runners["a"]
	r.Runner.ProcessorMillis *= 2
	r.Runner.Key.StartedAtMillis++
	r.ClockMillis = 0
	h.report("a")
	h.add("j", "checks", newStep(1, 500))
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 0)
	assert.Equal(t, len(h.acceptStarts("b")), 1)
	h.cell.SetEpoch(2)
	r.ListedEpoch = 2
	h.report("a")
	h.add("k", "checks", newStep(1, 500))
	h.now = h.now.Add(placementInterval)
	h.tickUntilIdle()
	assert.Equal(t, len(h.acceptStarts("a")), 1)
}

// TestNextOwnerWaitsForDelayedLeases guards against a task that runs twice: a delayed
// call may have granted its runner a longer lease than the former owner did.
func TestNextOwnerWaitsForDelayedLeases(t *testing.T) {
	now := time.Unix(10_000, 0)
	end := now.Add(20 * time.Second)
	load := func(runner string) *Cell {
		cell := NewCell(Config{
			Epoch:           2,
			Assert:          strictAsserter(t),
			Lease:           testLease,
			FormerLeasesEnd: now.Add(testLease),
			DelayedLeases: map[string]time.Time{
				"i-restarted": end,
			},
		})
		cell.Load(now, Spec{
			ID:      "j",
			Queue:   "checks",
			Service: "polls",
			Steps:   []Step{newStep(1, 500)},
		}, Progress{
			State: StateRunning,
			Tasks: []TaskProgress{{
				Run:      1,
				RunnerID: runner,
			}},
		})
		return cell
	}
	t.Run("a runner that restarted under its id", func(t *testing.T) {
		cell := load("i-restarted")
		cell.Tick(end, false)
		assert.Equal(t, cell.Counts.Lost, int64(0))
		cell.Tick(end.Add(expiryInterval), false)
		assert.Equal(t, cell.Counts.Lost, int64(1))
	})
	t.Run("each incarnation that a row names", func(t *testing.T) {
		cell := load("i-restarted")
		cell.Load(now, Spec{
			ID:      "k",
			Queue:   "checks",
			Service: "polls",
			Steps:   []Step{newStep(1, 500)},
		}, Progress{
			State: StateRunning,
			Tasks: []TaskProgress{{
				Run:                   1,
				RunnerID:              "i-restarted",
				RunnerStartedAtMillis: 2000,
			}},
		})
		cell.Tick(end, false)
		assert.Equal(t, cell.Counts.Lost, int64(0))
	})
	t.Run("any other runner", func(t *testing.T) {
		cell := load("i-other")
		cell.Tick(now.Add(testLease+expiryInterval), false)
		assert.Equal(t, cell.Counts.Lost, int64(1))
	})
	t.Run("they are stated for the owner after it", func(t *testing.T) {
		assert.DeepEqual(t, load("i-restarted").DelayedLeases(now), load("i-other").DelayedLeases(now))
	})
}
