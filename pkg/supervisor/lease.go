package supervisor

import "github.com/bilberrywalk/bilberrywalk/pkg/leaser"

// expiryPollMillis is how long after the end of a lease, by the runner's clock, the runner is
// listed without a wait, and each reading of its clock reported.
const expiryPollMillis = 2000

// grantLease records a lease that the owner granted, by its end on the runner's clock.
func (c *Core) grantLease(untilMillis int64) {
	c.grantedUntilMillis = max(c.grantedUntilMillis, untilMillis)
	c.adoptLease()
}

// advanceClock records a reading of the runner's clock.
func (c *Core) advanceClock(clockMillis int64) {
	c.clockMillis = max(c.clockMillis, clockMillis)
	if c.leaseExpired() {
		if c.expiredMillis == 0 {
			c.expiredMillis = c.clockMillis
		}
		c.settling.Read(c.clockMillis)
	}
}

// leaseExpired reports whether the last lease is over by the runner's own clock.
func (c *Core) leaseExpired() bool {
	return c.leaseUntilMillis > 0 && c.clockMillis > c.leaseUntilMillis
}

// expirySettling reports whether the runner may not have noticed yet that its lease has
// expired. Until it has, it gets neither another lease nor an acknowledgement.
func (c *Core) expirySettling() bool {
	return c.leaseExpired() && !c.settling.Done()
}

// expiredLately reports whether the owner waits for readings of the runner's clock.
func (c *Core) expiredLately() bool {
	return c.leaseExpired() && c.clockMillis-c.expiredMillis <= expiryPollMillis
}

// adoptLease lets the next calls carry the lease that was granted last. What has finished by
// then did so before the end of the last one.
func (c *Core) adoptLease() {
	if c.grantedUntilMillis <= c.leaseUntilMillis || c.expirySettling() {
		return
	}
	if c.leaseExpired() {
		for _, e := range c.finished {
			c.expiredSequence = max(c.expiredSequence, e.Sequence)
		}
	}
	c.leaseUntilMillis = c.grantedUntilMillis
	c.expiredMillis = 0
	c.settling = leaser.Settling{}
}
