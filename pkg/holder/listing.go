package holder

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// hold asks for the next listing when its time has come.
func (c *Core) hold(now time.Time) {
	if !c.known || c.runner.Left || c.holding || now.Before(c.nextHold) {
		return
	}
	c.holding = true
	c.holds++
	c.Counts.LeaseRenewals++
	c.actions = append(c.actions, Action{
		Hold: &RenewCall{
			Order:    c.order(),
			EndsSeen: c.endsToTell(),
			Wait:     c.holdWait(),
		},
	})
}

// endsToTell is the number of ends on record, if the runner may not know it
// yet. It is told no more often than that, since a call without an answer may
// be carried out by a later life, which counts its own ends anew.
func (c *Core) endsToTell() int64 {
	if c.endsTold >= c.endsSeen {
		return 0
	}
	return c.endsSeen
}

// holdWait is how long the runner may wait for an end before it answers. The
// owner starts nothing on a runner that never listed its runs.
func (c *Core) holdWait() time.Duration {
	if c.listedAt.IsZero() {
		return 0
	}
	for _, o := range c.orders {
		if o.phase == phaseSettling || o.phase == phaseStopping {
			return 0
		}
	}
	if len(c.ended) > 0 {
		return 0
	}
	if len(c.running) == 0 && len(c.orders) == 0 {
		return idleHoldWait
	}
	return holdWait
}

// LeaseRenewed takes the runner's listing, or its silence.
func (c *Core) LeaseRenewed(now time.Time, call RenewCall, l Listing, err error) {
	c.holding = false
	if call.Order.Runner != c.runner.Key {
		return
	}
	if err != nil || l.Refusal != "" {
		c.nextHold = now.Add(holdPause)
		return
	}
	if l.StartedAtMillis != 0 && l.StartedAtMillis != c.runner.Key.StartedAtMillis {
		// Another life answers; its own beat will say so.
		c.nextHold = now.Add(holdPause)
		return
	}
	c.listedAt = now
	c.readClock(l.ClockMillis)
	c.endsTold = max(c.endsTold, call.EndsSeen)
	news := c.listed(l)
	c.settle(now, l)
	c.pacer.measure(now, l.Running)
	c.nextHold = now
	if len(c.ended) > 0 && c.endsTold >= c.endsSeen {
		c.nextHold = now.Add(holdPause)
	}
	if news {
		c.reportSoon(now)
	}
}

// listed takes both lists and tells whether there is an end that is new.
func (c *Core) listed(l Listing) bool {
	known := int64(0)
	for _, e := range c.ended {
		known = max(known, e.Sequence)
	}
	c.running = l.Running
	c.ended = c.ended[:0]
	news := false
	for _, e := range l.Finished {
		if e.Sequence <= c.endsSeen {
			continue
		}
		c.ended = append(c.ended, e)
		news = news || e.Sequence > known
	}
	for _, r := range l.Running {
		if o := c.orders[r.RunRef]; o != nil && o.phase == phaseStarting {
			o.phase = phaseStarted
		}
	}
	return news
}

// settle decides the orders whose run is neither present nor ended after the
// runner confirmed a stop: such a run never was there.
func (c *Core) settle(now time.Time, l Listing) {
	for ref, o := range c.orders {
		if o.phase != phaseSettling || c.holds < o.settleAfter {
			continue
		}
		present := slices.ContainsFunc(l.Running, func(r framer.RunStatus) bool { return r.RunRef == ref })
		ended := slices.ContainsFunc(l.Finished, func(e framer.FinishedRun) bool { return e.RunRef == ref })
		if !present && !ended {
			o.phase = phaseNever
			c.reportSoon(now)
		}
	}
}

func (c *Core) readClock(clockMillis int64) {
	c.clockMillis = max(c.clockMillis, clockMillis)
}
