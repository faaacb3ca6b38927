package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
)

// The bound for starts in a failure domain that was ordered drained is divided as follows.
// An owner whose reading of the orders is older than DrainWithin times staleOrdersPercent
// starts nothing. What an agent is asked to start, it starts within DrainWithin times
// startValidityPercent, also if it is cut off. What remains is for the call to the runner.
const (
	// domainInterval is the time between two looks at the failure domains.
	domainInterval = 200 * time.Millisecond

	staleOrdersPercent   = 50
	startValidityPercent = 30
)

// SetOrders replaces the orders to drain failure domains. No runner of such a domain gets
// a task from now on, and starts that its agent has not accepted are withdrawn.
func (c *Cell) SetOrders(now time.Time, orders []drainer.Order) {
	c.domains.SetOrders(now, orders)
	c.placementDue = true
	for _, s := range c.runners {
		c.updateDomain(now, s)
	}
}

// OrdersRead records that the orders are complete as of a time.
func (c *Cell) OrdersRead(at time.Time) {
	c.ordersReadAt = at
}

// ordersKnown reports whether the orders are known well enough to start tasks.
func (c *Cell) ordersKnown(now time.Time) bool {
	return c.cfg.DrainWithin == 0 || now.Sub(c.ordersReadAt) <= c.cfg.DrainWithin*staleOrdersPercent/100
}

// startsUntilMillis returns until when the agent of a runner may carry out the starts in a
// sync, by the runner's clock; 0 if there is no bound.
func (c *Cell) startsUntilMillis(now time.Time, s *runnerState) int64 {
	if c.cfg.DrainWithin == 0 || s.clockMillis == 0 {
		return 0
	}
	return s.clockMillis + (now.Sub(s.clockAt) + c.cfg.DrainWithin*startValidityPercent/100).Milliseconds()
}

// updateDomain records whether the failure domain of a runner takes tasks.
func (c *Cell) updateDomain(now time.Time, s *runnerState) {
	closed := s.reported && !c.domains.Accepts(s.info.FailureDomain)
	switch {
	case closed == s.domainClosed:
	case closed:
		s.domainClosed = true
		s.index.worsened(s)
		s.needsSync()
		c.withdrawStarts(now, s)
	default:
		s.domainClosed = false
		s.index.improved(s)
		s.needsSync()
	}
}

// mayWithdraw reports whether the start of a task on a runner in a domain that is drained
// may be withdrawn: this owner has requested it and the agent has not accepted it. A run
// that a former owner started may be at work until a listing shows that it is not.
func (c *Cell) mayWithdraw(s *runnerState, t *task) bool {
	requestedHere := !t.startSent || !t.startSentAt.IsZero()
	return requestedHere || s.listedSinceLink
}

// watchDomains moves the domains to the states that follow from what runs there.
func (c *Cell) watchDomains(now time.Time) {
	if now.Sub(c.domainsWatchedAt) < domainInterval {
		return
	}
	c.domainsWatchedAt = now
	loads := map[string]drainer.Load{}
	for _, s := range c.runners {
		switch {
		case s.reported:
		case len(s.tasks) > 0:
			// Its domain is not known yet, so none is known to be drained.
			return
		default:
			continue
		}
		load := loads[s.info.FailureDomain]
		load.Runs += len(s.tasks) + len(s.unexpectedRuns)
		if s.agent != "" {
			load.Runners++
		}
		if s.agent != "" && s.cold(now) {
			load.Cold++
		}
		loads[s.info.FailureDomain] = load
	}
	c.domains.Observe(now, loads)
	c.dropHolds(now)
}

// moveIfDue moves tasks out of drained domains. It must be called only if tasks may be
// placed: what is stopped could not start elsewhere otherwise.
func (c *Cell) moveIfDue(now time.Time) {
	if now.Sub(c.movedAt) < domainInterval {
		return
	}
	c.movedAt = now
	c.moveTasks(now)
}

// Domains returns the state of all failure domains.
func (c *Cell) Domains() []drainer.Domain {
	return c.domains.Snapshot()
}
