package supervisor

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
)

// expiryPollMillis is how long after the end of a lease, by the runner's clock, the runner is
// listed without a wait, and each reading of its clock reported.
const expiryPollMillis = 2000

// lease is what the agent knows of the leases of its runner, by the runner's clock. The zero
// value is that of a runner without any.
type lease struct {
	// untilMillis is the end of the lease that calls carry, grantedUntilMillis that of the
	// last one that the owner granted, and confirmedUntilMillis the latest one in a call
	// that was answered.
	untilMillis          int64
	grantedUntilMillis   int64
	confirmedUntilMillis int64
	// expiredMillis is the first reading of the clock after untilMillis, or 0; settling has
	// all of them.
	expiredMillis int64
	settling      leaser.Settling
	// expiredSequence is the number of the last finished run since which a lease has
	// expired.
	expiredSequence int64
}

// grantLease records a lease that the owner granted, by its end on the runner's clock.
func (c *Core) grantLease(untilMillis int64) {
	c.lease.grantedUntilMillis = max(c.lease.grantedUntilMillis, untilMillis)
	c.adoptLease()
}

// advanceClock records a reading of the runner's clock that arrived now.
func (c *Core) advanceClock(now time.Time, clockMillis int64) {
	if c.clockMillis == 0 || clockMillis > c.clockByNow(now) {
		c.clockRead = clockMillis
		c.clockReadAt = now
	}
	c.clockMillis = max(c.clockMillis, clockMillis)
	if c.leaseExpired() {
		if c.lease.expiredMillis == 0 {
			c.lease.expiredMillis = c.clockMillis
		}
		c.lease.settling.Read(c.clockMillis)
	}
}

// clockByNow returns the least that the runner's clock can show now, given the drift that is
// permitted. advanceClock counts from no reading that is lower: it waited in a socket while
// the agent's process was stopped.
func (c *Core) clockByNow(now time.Time) int64 {
	return c.clockRead + now.Sub(c.clockReadAt).Milliseconds()*(100-clockDriftPercent)/100
}

// leaseExpired reports whether the last lease is over by the runner's own clock.
func (c *Core) leaseExpired() bool {
	return c.lease.untilMillis > 0 && c.clockMillis > c.lease.untilMillis
}

// expirySettling reports whether the runner may not have noticed yet that its lease has
// expired. Until it has, it gets neither another lease nor an acknowledgement.
func (c *Core) expirySettling() bool {
	return c.leaseExpired() && !c.lease.settling.Done()
}

// expiredLately reports whether the owner waits for readings of the runner's clock.
func (c *Core) expiredLately() bool {
	return c.leaseExpired() && c.clockMillis-c.lease.expiredMillis <= expiryPollMillis
}

// adoptLease lets the next calls carry the lease that was granted last. What has finished by
// then did so before the end of the last one.
func (c *Core) adoptLease() {
	if c.lease.grantedUntilMillis <= c.lease.untilMillis || c.expirySettling() {
		return
	}
	if c.leaseExpired() {
		for _, e := range c.finished {
			c.lease.expiredSequence = max(c.lease.expiredSequence, e.Sequence)
		}
	}
	c.lease.untilMillis = c.lease.grantedUntilMillis
	c.lease.expiredMillis = 0
	c.lease.settling = leaser.Settling{}
}
