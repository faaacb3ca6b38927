package scheduler

import (
	"math"
	"time"
)

// unknownLease stands for a lease of which nothing is known; a runner shortens it to the
// longest one that it grants.
const unknownLease = math.MaxInt64

// latestLeaseMillis returns the latest end of a lease, by the runner's clock, that any call
// to this incarnation can state. What a former owner granted has ended by formerLeasesEnd, so
// its end is no later than what the clock shows then.
func (s *runnerState) latestLeaseMillis(formerLeasesEnd time.Time) int64 {
	if s.clockMillis == 0 {
		return unknownLease
	}
	// The report of a reading may be as old as one listing may be.
	former := max(0, formerLeasesEnd.Sub(s.clockAt)+listingTTL)
	return max(s.grantedUntilMillis, s.clockMillis+former.Milliseconds())
}

// expectDelayedCalls records that this incarnation may carry out calls to an earlier one, and
// what that one may still get from those before it.
func (c *Cell) expectDelayedCalls(now time.Time, s, old *runnerState) {
	s.delayedUntilMillis = max(s.delayedUntilMillis, old.latestLeaseMillis(c.cfg.FormerLeasesEnd))
	if c.succeeds && now.Before(c.cfg.FormerLeasesEnd.Add(maxCallDelay)) {
		// Calls to incarnations that only the former owner has seen may still arrive.
		s.delayedUntilMillis = unknownLease
	}
	if now.Before(old.delayedCallsEnd) {
		s.delayedUntilMillis = max(s.delayedUntilMillis, old.delayedUntilMillis)
	}
	s.delayedCallsEnd = now.Add(maxCallDelay)
	s.delayedLeaseEnd = s.delayedCallsEnd.Add(MaxLease(c.cfg.LongestLease))
}

// limitDelayedLease limits when a lease expires that a delayed call can have granted. The call
// names the end of the lease as a time on the runner's clock, whichever incarnation carries it
// out: it lasts no longer than until the present one's clock shows that.
func (s *runnerState) limitDelayedLease() {
	if s.clockMillis == 0 || s.delayedUntilMillis == unknownLease || !s.delayedLeaseEnd.After(s.clockAt) {
		return
	}
	left := time.Duration(max(0, s.delayedUntilMillis-s.clockMillis)) * time.Millisecond
	s.delayedLeaseEnd = minTime(s.delayedLeaseEnd, s.clockAt.Add(MaxLease(left)))
}
