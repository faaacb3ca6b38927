package scheduler

import "time"

// replaceEarlier replaces the earlier incarnations of a runner and the earlier
// runners with its address.
func (c *Cell) replaceEarlier(now time.Time, s *runnerState) {
	c.proveLapses(now, s)
	for _, old := range c.incarnations.earlier(s) {
		if old.key.ID == s.key.ID {
			c.supersede(now, old, s)
			continue
		}
		c.recordCrash(now, old)
		// Calls to the former runner carry its id, so none of them takes effect
		// on this one.
		c.loseRuns(now, old, "another runner uses its address")
		c.removeRunner(old)
	}
}

// supersede replaces an earlier incarnation of a runner that restarted with the
// same id. Delayed start requests for the earlier incarnation may still reach
// the new one, so recent and unlisted runs are stopped there before they start
// elsewhere.
func (c *Cell) supersede(now time.Time, old, s *runnerState) {
	c.recordCrash(now, old)
	for _, t := range old.placed() {
		// A start is requested again until it is confirmed, so the last request counts.
		mayArrive := old.startMayArrive(now, t.ref()) || now.Sub(t.startSentAt) <= maxCallDelay
		if t.startSent && (!t.listed || mayArrive) {
			old.release(t)
			s.bind(t)
			t.stopping = true
			t.superseded = true
			c.markChanged(t.job)
		}
	}
	for ref := range old.startsSent {
		if old.startMayArrive(now, ref) && c.currentTask(s, ref) == nil {
			s.fences[ref] = struct{}{}
		}
	}
	c.loseRuns(now, old, "runner restarted without runs")
	// A delayed call to the earlier incarnation may still reach this one, with
	// a lease by the earlier incarnation's clock, which this one shortens to the
	// longest that it grants. A higher epoch makes this one reject such calls.
	c.expectDelayedCalls(now, s, old)
	s.fenceEpoch = c.cfg.Epoch + 1
	c.requiredEpoch = s.fenceEpoch
	c.removeRunner(old)
}

// loseRuns releases all tasks of a runner that provably runs none of them.
func (c *Cell) loseRuns(now time.Time, s *runnerState, why string) {
	for _, t := range s.placed() {
		// The end of a job with the run of another task releases what was not sent.
		if t.runner == s {
			c.loseRun(now, t, why)
		}
	}
}

func (c *Cell) loseRun(now time.Time, t *task, why string) {
	c.Counts.Lost++
	s := t.runner
	c.cfg.LogEvent("run lost", "task", t.name(), "run", t.run, "runner", s.key.ID, "why", why,
		"start-sent", t.startSent, "confirmed", t.confirmed, "listed", t.listed,
		"lease-until-millis", s.grantedUntilMillis, "clock-millis", s.clockMillis)
	c.release(t)
	c.failExhausted(now, t)
}
