package supervisor

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// maxListedEnds is the number of finished runs in the largest listing; a runner
// lists further ones once these are acknowledged.
const maxListedEnds = 500

// clockDriftPercent allows for a runner's clock that is up to 2 % slow.
const clockDriftPercent = 3

// renewLease sends the next lease renewal when it is due.
func (c *Core) renewLease(now time.Time) {
	if !c.known || c.runner.Left || c.renewing || now.Before(c.nextRenewal) {
		return
	}
	c.renewing = true
	c.requestListing(RenewCall{
		AckedSequence: c.ackToSend(),
		Wait:          c.listingWait(),
		Purpose:       PurposeRenew,
	})
	c.verifyDue = false
}

// verifyStarts requests a listing beside the open renewal, which may be answered late, if
// the runner has accepted a start since the last request. Until the run is listed, nothing
// proves which incarnation has it.
func (c *Core) verifyStarts() {
	if !c.verifyDue || c.verifying || !c.known || c.runner.Left {
		return
	}
	c.verifyDue = false
	c.verifying = true
	c.requestListing(RenewCall{
		Purpose: PurposeVerify,
	})
}

func (c *Core) requestListing(call RenewCall) {
	c.renewCalls++
	c.Counts.LeaseRenewals++
	call.Header = c.callHeader()
	call.Number = c.renewCalls
	if c.replacedUnheard() {
		// Neither the lease nor the acknowledgement is for the one that answers.
		call.Header.LeaseUntilMillis = 0
		call.AckedSequence = 0
	}
	c.actions = append(c.actions, Action{
		Renew: &call,
	})
}

// ackToSend returns the acknowledged sequence number, or 0 if the runner has
// confirmed it. It is sent no more often than needed: a renewal without a
// response may be carried out by a later incarnation, which numbers its
// finished runs from the start. It waits until the runner has a lease that is in force: a
// runner may note the end of the former one only with the renewal.
func (c *Core) ackToSend() int64 {
	if c.deliveredAckSequence >= c.ackedSequence || c.lease.confirmedUntilMillis <= c.clockMillis {
		return 0
	}
	return c.ackedSequence
}

// listingWait returns how long the runner may wait for a run to finish before
// it responds. A listing after a request without a response, or after an accepted start,
// is requested without a wait: no run is started until there is one, or nothing proves
// where the run is. After the end of a lease, the owner waits for further readings of the
// runner's clock.
func (c *Core) listingWait() time.Duration {
	if c.unansweredRenewals > 0 || c.verifyDue || c.expiredLately() {
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
	switch call.Purpose {
	case PurposeProbe:
		c.probeAnswered(now, call, l, err)
		return
	case PurposeVerify:
		c.verifying = false
	default:
		c.renewing = false
	}
	if call.Header.Runner != c.runner.Key {
		return
	}
	if call.Purpose == PurposeVerify {
		// The accepted start is reported in any case.
		c.scheduleReport(now)
	} else {
		c.countUnanswered(now, err)
		c.nextRenewal = now.Add(renewBackoff)
	}
	if err != nil || l.Refusal != "" {
		return
	}
	if l.StartedAtMillis != 0 && l.StartedAtMillis != c.runner.Key.StartedAtMillis {
		// Another incarnation responded; its own heartbeat will follow.
		c.answeredBy = l.StartedAtMillis
		return
	}
	c.answeredBy = 0
	if call.Purpose != PurposeVerify {
		c.nextRenewal = now
	}
	c.listed(now, call, l)
}

// listed applies a listing of the known incarnation, unless the runner made it before the
// last one.
func (c *Core) listed(now time.Time, call RenewCall, l Listing) {
	if l.ClockMillis < c.listedClock {
		return
	}
	c.listedAt = c.madeBy(now, l)
	c.listedClock = l.ClockMillis
	if call.Header.Epoch != c.listedEpoch {
		c.listedEpoch = call.Header.Epoch
		c.scheduleReport(now)
	}
	c.lease.confirmedUntilMillis = max(c.lease.confirmedUntilMillis, call.Header.LeaseUntilMillis)
	c.advanceClock(now, l.ClockMillis)
	c.deliveredAckSequence = max(c.deliveredAckSequence, call.AckedSequence)
	hasNew := c.applyListing(l)
	c.adoptLease()
	c.resolveVerifying(now, call, l)
	if hasNew || c.expiredLately() {
		c.scheduleReport(now)
	}
	if call.Purpose == PurposeVerify {
		return
	}
	c.throttler.measure(now, l.Running)
	if c.expiredLately() || len(c.finished) > 0 && c.ackToSend() == 0 {
		c.nextRenewal = now.Add(renewBackoff)
	}
}

// madeBy returns by when the runner has made a listing that was read now. It may have waited
// in a socket while the agent's process was stopped. By the runner's clock it was made soon
// after the one before.
func (c *Core) madeBy(now time.Time, l Listing) time.Time {
	if c.listedAt.IsZero() {
		return now
	}
	since := time.Duration(l.ClockMillis-c.listedClock) * time.Millisecond
	at := c.listedAt.Add(since + since*clockDriftPercent/100 + time.Millisecond)
	if at.Before(now) {
		return at
	}
	return now
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
	c.confirmLeave(now)
}

// applyListing stores the running and finished runs and reports whether a
// finished run, or one that was to be started, is new.
func (c *Core) applyListing(l Listing) bool {
	latest := int64(0)
	for _, e := range c.finished {
		latest = max(latest, e.Sequence)
	}
	c.running = l.Running
	c.throttler.record(l.Running, len(l.Malformed) > 0)
	c.finished = c.finished[:0]
	hasNew := false
	for _, e := range l.Finished {
		if e.Sequence <= c.ackedSequence {
			continue
		}
		c.finished = append(c.finished, e)
		hasNew = hasNew || e.Sequence > latest
	}
	slices.SortFunc(c.finished, func(a, b framer.FinishedRun) int { return cmp.Compare(a.Sequence, b.Sequence) })
	for _, r := range l.Running {
		cmd := c.commands[r.RunRef]
		if cmd == nil || cmd.listed {
			continue
		}
		cmd.listed = true
		hasNew = true
		if cmd.phase == phaseStarting {
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
func (c *Core) resolveVerifying(now time.Time, call RenewCall, l Listing) {
	if len(l.Finished) >= maxListedEnds || len(l.Malformed) > 0 {
		return
	}
	for ref, cmd := range c.commands {
		confirmed := cmd.phase == phaseVerifying && call.Number >= cmd.verifyAfter
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
