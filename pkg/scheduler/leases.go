package scheduler

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// leaseDriftPercent allows for a runner's clock that is up to 2 % slow, and
	// leaseMargin for a kill that takes effect late.
	leaseDriftPercent = 3
	leaseMargin       = 300 * time.Millisecond
	// maxCallTime is the longest time from when an agent sends a start until the
	// runner carries it out, unless the call is delayed.
	maxCallTime = 500 * time.Millisecond
	// maxCallDelay is how long an unanswered call may take to be executed.
	maxCallDelay = 12 * time.Second
	// leaveMargin is how long a runner may continue after it reported that it
	// left.
	leaveMargin = time.Second
)

func (c *Cell) expireLeases(now time.Time) {
	for _, s := range c.runners {
		if !now.After(maxTime(s.leaseEnd, s.delayedLeaseEnd)) {
			continue
		}
		c.loseExpiredRuns(now, s)
		if s.forgettable(now) {
			c.removeRunner(s)
		}
	}
}

// loseExpiredRuns releases the tasks of a runner whose lease has expired.
func (c *Cell) loseExpiredRuns(now time.Time, s *runnerState) {
	lost := slices.DeleteFunc(s.placed(), func(t *task) bool { return !now.After(c.runEnd(now, s, t)) })
	c.recordLapse(now, s, lost)
	for _, t := range lost {
		if t.startSent {
			s.requireExpiry(now)
			t.recordReleased()
		}
		if t.runner == s {
			c.loseRun(now, t, "lease expired")
		}
	}
}

// runEnd returns when the run of a task on a runner has certainly ended, provided that the
// runner's leases have expired. A start that the runner has not listed may have reached a
// later incarnation under the same id, by whose clock its lease is the longest that a
// runner grants. The agent that requested it would have learned of that incarnation, and
// would have stopped the run there, unless that agent may be gone.
func (c *Cell) runEnd(now time.Time, s *runnerState, t *task) time.Time {
	ends := maxTime(s.leaseEnd, s.delayedLeaseEnd)
	if t.startSent && !t.listed && !s.watchedSince(now, t.ref()) {
		ends = maxTime(ends, s.listedAt.Add(listingTTL+maxCallTime+MaxLease(c.cfg.LongestLease)))
	}
	return ends
}

// watchedSince reports whether the agent to which this owner sent the start of a run has
// reported to it without interruption since then, and has seen no later incarnation, not
// even one that only heartbeats name: its responses may be lost.
func (s *runnerState) watchedSince(now time.Time, ref framer.RunRef) bool {
	sentAt, sent := s.startsSent[ref]
	unclaimed := s.claimedAt.Before(sentAt)
	return sent && unclaimed && s.agent != "" && !sentAt.Before(s.linkedAt) && now.Sub(s.reportedAt) <= listingTTL
}

// DelayedLeases returns when the last lease expires that a delayed call for an
// earlier incarnation can have granted a runner, by the runner's id.
func (c *Cell) DelayedLeases(now time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for id, end := range c.cfg.DelayedLeases {
		if end.After(now) {
			ends[id] = end
		}
	}
	for key, s := range c.runners {
		if s.delayedLeaseEnd.After(now) {
			ends[key.ID] = maxTime(ends[key.ID], s.delayedLeaseEnd)
		}
	}
	return ends
}

// EpochRaiseDue reports whether the owner must raise its epoch, with its next
// write, so that runners reject delayed calls of the present one.
func (c *Cell) EpochRaiseDue() bool {
	return c.requiredEpoch > c.cfg.Epoch
}

// SetEpoch records a higher epoch under which the cell is owned.
func (c *Cell) SetEpoch(epoch uint64) {
	if epoch == c.cfg.Epoch {
		return
	}
	c.cfg.Epoch = epoch
	c.cfg.LogEvent("epoch raised")
	for _, s := range c.runners {
		if s.fenceEpoch > 0 {
			s.needsSync()
		}
	}
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// maxLease returns how long a lease may last by this process's clock.
func (c *Cell) maxLease() time.Duration {
	return MaxLease(c.cfg.Lease)
}

// MaxLease returns how long a lease on a runner may last by the clock of another
// instance.
func MaxLease(lease time.Duration) time.Duration {
	return lease + lease*leaseDriftPercent/100 + leaseMargin
}

// LeaseWithin returns the longest lease whose MaxLease is at most d.
func LeaseWithin(d time.Duration) time.Duration {
	return (d - leaseMargin) * 100 / (100 + leaseDriftPercent)
}

// mayBeGranted reports whether the runner can be granted a lease: its clock is known, it
// has not left, and no proof is due that its last lease has expired.
func (s *runnerState) mayBeGranted() bool {
	return s.clockMillis > 0 && !s.info.Left && !s.expiry.due
}

// grantLease grants a runner a lease and returns its end by the runner's clock, in
// milliseconds.
func (c *Cell) grantLease(now time.Time, s *runnerState) int64 {
	s.leaseEnd = maxTime(s.leaseEnd, s.clockAt.Add(c.maxLease()))
	s.leaseSentAt = now
	untilMillis := s.clockMillis + c.cfg.Lease.Milliseconds()
	s.grantedUntilMillis = max(s.grantedUntilMillis, untilMillis)
	return untilMillis
}

// renewalDue reports whether the runner's lease must be renewed. Unless the runner
// left, that is always so if the last sync could not grant it.
func (c *Cell) renewalDue(now time.Time, s *runnerState) bool {
	return !s.info.Left && now.Sub(s.leaseSentAt) >= c.cfg.Lease/leaseRenewals
}

// recordFence records that a runner rejects delayed calls for an earlier
// incarnation once it has listed its runs under a higher epoch. What they
// granted before expires a longest lease later.
func (c *Cell) recordFence(now time.Time, s *runnerState, r framer.Report) {
	if s.fenceEpoch == 0 || !r.Listed || r.ListedEpoch < s.fenceEpoch {
		return
	}
	s.fenceEpoch = 0
	listedAt := now.Add(-time.Duration(r.ListingAgeMillis) * time.Millisecond)
	s.delayedLeaseEnd = minTime(s.delayedLeaseEnd, listedAt.Add(MaxLease(c.cfg.LongestLease)))
}

// delaysRestart reports whether a task of a step would wait for long if the runner was
// lost now: delayed calls for its earlier incarnation may have granted it a lease. Until
// it rejects such calls, that is too long for a finite task as well.
func (s *runnerState) delaysRestart(now time.Time, step *Step) bool {
	return now.Before(s.delayedLeaseEnd) && (step.LongRunning || s.fenceEpoch > 0)
}

// limitLeases records that no lease of the runner lasts beyond end.
func (s *runnerState) limitLeases(end time.Time) {
	s.leaseEnd = minTime(s.leaseEnd, end)
	s.delayedLeaseEnd = minTime(s.delayedLeaseEnd, end)
}
