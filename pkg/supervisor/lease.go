package supervisor

// expirySettleMillis is how long, by its own clock, a runner must have continued without
// a lease before it gets another one or an acknowledgement: a process that was stopped
// notices the end of its lease late.
const expirySettleMillis = 100

// grantLease records a lease that the owner granted, by its end on the runner's clock.
func (c *Core) grantLease(untilMillis int64) {
	c.grantedUntilMillis = max(c.grantedUntilMillis, untilMillis)
	c.adoptLease()
}

// advanceClock records a reading of the runner's clock.
func (c *Core) advanceClock(clockMillis int64) {
	c.clockMillis = max(c.clockMillis, clockMillis)
	if c.leaseExpired() && c.expiredMillis == 0 {
		c.expiredMillis = c.clockMillis
	}
	c.adoptLease()
}

// leaseExpired reports whether the last lease is over by the runner's own clock.
func (c *Core) leaseExpired() bool {
	return c.leaseUntilMillis > 0 && c.clockMillis > c.leaseUntilMillis
}

// expirySettling reports whether the runner may not have noticed yet that its lease has
// expired.
func (c *Core) expirySettling() bool {
	return c.leaseExpired() && c.clockMillis-c.expiredMillis < expirySettleMillis
}

// adoptLease lets the next calls carry the lease that was granted last.
func (c *Core) adoptLease() {
	if c.grantedUntilMillis <= c.leaseUntilMillis || c.expirySettling() {
		return
	}
	c.leaseUntilMillis = c.grantedUntilMillis
	c.expiredMillis = 0
}
