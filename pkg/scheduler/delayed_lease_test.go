package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against tasks that wait for leases that no delayed call can have granted, and
// against tasks that run twice since such a lease was held to end too early: calls to an
// earlier incarnation name the end of a lease by its clock.
func TestDelayedLeaseEndsWithWhatCallsCanState(t *testing.T) {
	const longestLease = 10 * time.Second
	// delayedLease returns the longest delayed lease that is waited for after the restarts
	// of a runner, by the clocks of the earlier incarnations and of the present one.
	var succeeds bool
	delayedLease := func(t *testing.T, former time.Duration, clocks ...time.Duration) time.Duration {
		t.Helper()
		h := newCellHarness(t, "a")
		h.cell.succeeds = succeeds
		h.cell.cfg.LongestLease = longestLease
		h.cell.cfg.FormerLeasesEnd = h.now.Add(former)
		r := h.runners["a"]
		for _, clock := range clocks {
			r.Runner.Key.StartedAtMillis++
			r.ClockMillis = clock.Milliseconds()
			h.report("a")
			h.cell.Sync(h.now, "a", true)
		}
		return h.cell.agents["a"].delayedLeaseEnd.Sub(h.now)
	}
	const hour = time.Hour
	longest := maxCallDelay + MaxLease(longestLease)
	t.Run("the clock is as far as before", func(t *testing.T) {
		assert.Equal(t, delayedLease(t, 0, hour, hour), MaxLease(testLease))
	})
	t.Run("the clock is beyond the last lease", func(t *testing.T) {
		assert.Equal(t, delayedLease(t, 0, hour, hour+testLease), MaxLease(0))
	})
	t.Run("the clock starts anew", func(t *testing.T) {
		assert.Equal(t, delayedLease(t, 0, hour, 0), longest)
	})
	t.Run("a former owner may have granted a longer lease", func(t *testing.T) {
		assert.Equal(t, delayedLease(t, 8*time.Second, hour, hour), MaxLease(8*time.Second+listingTTL))
	})
	t.Run("calls to an incarnation before the earlier one", func(t *testing.T) {
		assert.Equal(t, delayedLease(t, 0, 2*hour, hour, hour), longest)
	})
	t.Run("a former owner may have seen other incarnations", func(t *testing.T) {
		succeeds = true
		assert.Equal(t, delayedLease(t, 0, hour, hour), longest)
		assert.Equal(t, delayedLease(t, -maxCallDelay, hour, hour), MaxLease(testLease))
	})
}
