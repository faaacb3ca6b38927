package supervisor

import (
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// maxListedEnds is the number of finished runs in the largest listing; a runner
// lists further ones once these are acknowledged.
const maxListedEnds = 500

// renewLease sends the next lease renewal when it is due.
func (c *Core) renewLease(now time.Time) {
	if !c.known || c.runner.Left || c.renewing || now.Before(c.nextRenewal) {
		return
	}
	c.renewing = true
	c.renewCalls++
	c.Counts.LeaseRenewals++
	c.actions = append(c.actions, Action{
		Renew: &RenewCall{
			Header:        c.callHeader(),
			AckedSequence: c.ackToSend(),
			Wait:          c.listingWait(),
		},
	})
}

// ackToSend returns the acknowledged sequence number, or 0 if the runner has
// confirmed it. It is sent no more often than needed: a renewal without a
// response may be carried out by a later incarnation, which numbers its
// finished runs from the start.
func (c *Core) ackToSend() int64 {
	if c.deliveredAckSequence >= c.ackedSequence {
		return 0
	}
	return c.ackedSequence
}

// listingWait returns how long the runner may wait for a run to finish before
// it responds. A listing after a request without a response is requested without a
// wait, since no run is started until there is one.
func (c *Core) listingWait() time.Duration {
	if c.unansweredRenewals > 0 {
		return 0
	}
	for _, cmd := range c.commands {
		if cmd.phase == phaseVerifying || cmd.phase == phaseStopping {
			return 0
		}
	}
	if len(c.finished) > 0 {
		return 0
	}
	if len(c.running) == 0 && len(c.commands) == 0 {
		return idleRenewWait
	}
	return renewWait
}

// LeaseRenewed processes the result of a lease renewal; err is set if there was
// no response.
func (c *Core) LeaseRenewed(now time.Time, call RenewCall, l Listing, err error) {
	if call.Probe {
		c.probeAnswered(now, call, l, err)
		return
	}
	c.renewing = false
	if call.Header.Runner != c.runner.Key {
		return
	}
	c.countUnanswered(now, err)
	if err != nil || l.Refusal != "" {
		c.nextRenewal = now.Add(renewBackoff)
		return
	}
	if l.StartedAtMillis != 0 && l.StartedAtMillis != c.runner.Key.StartedAtMillis {
		// Another incarnation responded; its own heartbeat will follow.
		c.answeredBy = l.StartedAtMillis
		c.nextRenewal = now.Add(renewBackoff)
		return
	}
	c.listed(now, call, l)
}

// listed applies a listing of the known incarnation.
func (c *Core) listed(now time.Time, call RenewCall, l Listing) {
	c.listedAt = now
	if call.Header.Epoch != c.listedEpoch {
		c.listedEpoch = call.Header.Epoch
		c.scheduleReport(now)
	}
	c.advanceClock(l.ClockMillis)
	c.deliveredAckSequence = max(c.deliveredAckSequence, call.AckedSequence)
	hasNew := c.applyListing(l)
	c.resolveVerifying(now, l)
	c.throttler.measure(now, l.Running)
	c.nextRenewal = now
	if len(c.finished) > 0 && c.deliveredAckSequence >= c.ackedSequence {
		c.nextRenewal = now.Add(renewBackoff)
	}
	if hasNew {
		c.scheduleReport(now)
	}
}

// countUnanswered counts lease renewals without a response. The owner learns at
// once that the runner stopped answering or answers again, since it places runs
// on runners that were listed a short time ago.
func (c *Core) countUnanswered(now time.Time, err error) {
	before := c.unansweredRenewals >= maxUnansweredRenewals
	c.unansweredRenewals++
	if err == nil {
		c.unansweredRenewals = 0
	}
	if before != (c.unansweredRenewals >= maxUnansweredRenewals) {
		c.scheduleReport(now)
	}
}

// applyListing stores the running and finished runs and reports whether a
// finished run is new.
func (c *Core) applyListing(l Listing) bool {
	latest := int64(0)
	for _, e := range c.finished {
		latest = max(latest, e.Sequence)
	}
	c.running = l.Running
	c.finished = c.finished[:0]
	hasNew := false
	for _, e := range l.Finished {
		if e.Sequence <= c.ackedSequence {
			continue
		}
		c.finished = append(c.finished, e)
		hasNew = hasNew || e.Sequence > latest
	}
	for _, r := range l.Running {
		if cmd := c.commands[r.RunRef]; cmd != nil && cmd.phase == phaseStarting {
			cmd.phase = phaseStarted
		}
	}
	return hasNew
}

// resolveVerifying marks as never started each command whose stop was confirmed
// and whose run is neither running nor finished in a listing requested after
// that. A stop that the runner does not confirm counts as confirmed once no start
// of the run can arrive any more. A listing that may lack runs or ends resolves
// none.
func (c *Core) resolveVerifying(now time.Time, l Listing) {
	if len(l.Finished) >= maxListedEnds || len(l.Malformed) > 0 {
		return
	}
	for ref, cmd := range c.commands {
		confirmed := cmd.phase == phaseVerifying && c.renewCalls >= cmd.verifyAfter
		overdue := cmd.phase == phaseStopping && !cmd.fence && now.Sub(cmd.startSentAt) > unconfirmedStartTTL+renewWait
		if !confirmed && !overdue {
			continue
		}
		present := contains(l.Running, ref)
		finished := slices.ContainsFunc(l.Finished, func(e framer.FinishedRun) bool { return e.RunRef == ref })
		if !present && !finished {
			cmd.phase = phaseNeverStarted
			c.scheduleReport(now)
		}
	}
}

// contains reports whether a run is among the running ones.
func contains(running []framer.RunStatus, ref framer.RunRef) bool {
	return slices.ContainsFunc(running, func(r framer.RunStatus) bool { return r.RunRef == ref })
}

func (c *Core) advanceClock(clockMillis int64) {
	c.clockMillis = max(c.clockMillis, clockMillis)
}
