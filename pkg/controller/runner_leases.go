package controller

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/configurer"
	"github.com/bilberrywalk/bilberrywalk/pkg/scheduler"
)

// restartOverhead is how long the restart of a lost runner's tasks takes beside
// the wait for its lease: a former owner may grant leases until its own one
// expires, and the last reading of the runner's clock, the placement and its
// commit take time.
const restartOverhead = leaseDuration + 800*time.Millisecond

// RunnerLease returns the duration of the leases that an owner grants to
// runners. Runs survive an outage that is shorter, so they last as long as the
// platform permits and Fleet.RestartWithin allows.
func RunnerLease(cfg configurer.Fleet) time.Duration {
	return min(time.Duration(cfg.LongestLease), scheduler.LeaseWithin(time.Duration(cfg.RestartWithin)-restartOverhead))
}

// formerOwner is what the lease row states of the owners before this one.
type formerOwner struct {
	// none is set if there is no row, so that nobody has owned the cell. The write that
	// acquires it expects that, too.
	none bool
	// runnerLease is the duration of the longest lease of a runner that may be
	// in force; zero if the row does not state it.
	runnerLease time.Duration
	// delayedLeases is the time until the last lease expires that a delayed call
	// can have granted a runner, by the runner's id.
	delayedLeases map[string]time.Duration
}

// observe records what a version of the lease row states; version is zero if there is
// none.
func (f *formerOwner) observe(version uint64, row leaseRow) {
	f.none = version == 0
	f.runnerLease = time.Duration(row.RunnerLeaseMillis) * time.Millisecond
	f.delayedLeases = map[string]time.Duration{}
	for id, millis := range row.DelayedLeaseMillis {
		f.delayedLeases[id] = time.Duration(millis) * time.Millisecond
	}
}

// delayedLeasesEnd returns when the leases expire that delayed calls can have
// granted, by the runner's id. The row was written before it was seen at seenAt.
func (f *formerOwner) delayedLeasesEnd(seenAt time.Time) map[string]time.Time {
	ends := map[string]time.Time{}
	for id, remaining := range f.delayedLeases {
		ends[id] = seenAt.Add(remaining)
	}
	return ends
}

// leasesEnd returns when the last lease of a runner expires that a former owner
// can have granted, also if it has not yet noticed that it was replaced. It
// grants leases for leaseDuration after it sent its last write, which is the
// row that was observed at seenAt. longest is the longest lease that the
// platform permits. The end is zero if there was no former owner.
func (f formerOwner) leasesEnd(seenAt time.Time, longest time.Duration) time.Time {
	if f.none {
		return time.Time{}
	}
	return seenAt.Add(leaseDuration + scheduler.MaxLease(f.lease(longest)))
}

// lease returns the duration of the longest lease that may be in force.
func (f formerOwner) lease(longest time.Duration) time.Duration {
	if f.runnerLease == 0 {
		return longest
	}
	return f.runnerLease
}

// longestInForce returns the duration of the longest lease of a runner that may
// be in force: this owner's, or a former one's until the last of those expired.
func (e *Entry) longestInForce(now time.Time) time.Duration {
	lease := RunnerLease(e.cfg)
	if !now.After(e.owner.formerLeasesEnd) {
		lease = max(lease, e.owner.former.lease(time.Duration(e.cfg.LongestLease)))
	}
	return lease
}

// delayedLeaseMillis returns the time until the leases expire that delayed calls
// can have granted, in milliseconds, by the runner's id.
func (e *Entry) delayedLeaseMillis(now time.Time) map[string]int64 {
	ends := e.owner.delayedLeases
	if e.owner.cell != nil {
		ends = e.owner.cell.DelayedLeases(now)
	}
	millis := map[string]int64{}
	for id, end := range ends {
		if remaining := end.Sub(now); remaining > 0 {
			millis[id] = remaining.Milliseconds() + 1
		}
	}
	return millis
}
