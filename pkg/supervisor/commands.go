package supervisor

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// phase is the state of a command to the runner.
type phase int

const (
	// phaseStarting: a start is to be sent or has no response yet.
	phaseStarting phase = iota + 1
	// phaseStarted: the runner has accepted the run.
	phaseStarted
	// phaseStopping: a stop is to be sent or has no response yet.
	phaseStopping
	// phaseVerifying: the runner has confirmed the stop. A listing requested
	// after that shows whether the run ever started.
	phaseVerifying
	// phaseNeverStarted: the run did not start and never will.
	phaseNeverStarted
)

// command is a start or stop of a run that the owner requested, or a fence
// against a start sent to an earlier incarnation of the runner.
type command struct {
	start framer.RunStart
	phase phase
	// inFlight is set while a call to the runner is in progress.
	inFlight bool
	// mayHaveStarted is set if a start may have been carried out or still be: it
	// got no response, an earlier agent may have sent it, or the runner refused
	// it as stale.
	mayHaveStarted bool
	// receivedAt is when the owner first requested the command, or when the
	// incarnation was first seen that a fence is for.
	receivedAt time.Time
	// requestedAt is when the owner last requested the start.
	requestedAt time.Time
	// startSentAt is when a start of the run was last requested, or may have been
	// by an earlier agent.
	startSentAt time.Time
	retryAt     time.Time
	// verifyAfter is the number of the first lease renewal whose listing can
	// resolve the command.
	verifyAfter uint64
	requested   bool
	// listed is set once the runner has listed the run.
	listed bool
	// fence marks a run whose start was sent to an earlier incarnation of the
	// runner and that must not start in this one.
	fence bool
}

func (c *Core) updateCommands(now time.Time, s framer.Sync) {
	for _, cmd := range c.commands {
		cmd.requested = false
	}
	for _, start := range s.Starts {
		cmd := c.commands[start.RunRef]
		if cmd == nil {
			cmd = &command{
				start:          start,
				phase:          phaseStarting,
				receivedAt:     now,
				startSentAt:    now,
				mayHaveStarted: start.Repeated,
			}
			if start.Repeated {
				// An earlier process of the agent may have sent it, and the call
				// may still arrive.
				c.unconfirmedStarts[start.RunRef] = now
			}
			if contains(c.running, start.RunRef) {
				cmd.phase = phaseStarted
				c.scheduleReport(now)
			}
			c.commands[start.RunRef] = cmd
		}
		cmd.requested = true
		cmd.requestedAt = now
	}
	for _, ref := range s.Stops {
		cmd := c.commands[ref]
		if cmd == nil {
			cmd = &command{
				start: framer.RunStart{
					RunRef: ref,
				},
				receivedAt:  now,
				startSentAt: now,
			}
			c.commands[ref] = cmd
		}
		cmd.requested = true
		if cmd.phase < phaseStopping {
			cmd.phase = phaseStopping
			cmd.retryAt = now
		}
	}
	maps.DeleteFunc(c.commands, func(_ framer.RunRef, cmd *command) bool {
		return !cmd.requested && !cmd.inFlight && (!cmd.fence || cmd.phase != phaseStopping)
	})
}

func (c *Core) sendCommands(now time.Time) {
	refs := slices.SortedFunc(maps.Keys(c.commands), compareRefs)
	for _, ref := range refs {
		cmd := c.commands[ref]
		if cmd.inFlight || now.Before(cmd.retryAt) || c.callsInFlight >= maxCallsInFlight {
			continue
		}
		switch cmd.phase {
		case phaseStarting:
			c.sendStart(now, cmd)
		case phaseStopping:
			cmd.inFlight = true
			c.callsInFlight++
			c.Counts.Stops++
			c.actions = append(c.actions, Action{
				Stop: &StopCall{
					Header: c.callHeader(),
					Ref:    ref,
				},
			})
		default:
		}
	}
}

// mayStart reports whether the runner is known well enough to start a run there, by this
// agent and, if the runner has shrunk, by the owner that requests the start.
func (c *Core) mayStart(now time.Time, cmd *command) bool {
	leased := c.clockMillis > 0 && c.lease.untilMillis > c.clockMillis
	answers := c.unansweredRenewals == 0 && now.Sub(c.listedAt) <= listingTTL
	described := now.Sub(c.heartbeatAt) <= c.heartbeatInterval+maxHeartbeatDelay && cmd.requestedAt.Sub(c.shrunkAt) >= shrinkHold
	timely := c.startsUntilMillis == 0 || c.clockByNow(now) < c.startsUntilMillis
	return leased && answers && described && timely && !c.claimedAgain() && !c.replacedUnheard()
}

func (c *Core) sendStart(now time.Time, cmd *command) {
	if c.runner.Draining {
		c.abandonStart(now, cmd)
		return
	}
	if !c.mayStart(now, cmd) {
		// The owner grants a lease after it has received a reading of the
		// runner's clock, and a runner that stopped responding may come back
		// as another incarnation, with a clock by which the lease is longer.
		if !cmd.mayHaveStarted && now.Sub(cmd.receivedAt) >= maxStartHold {
			c.abandonStart(now, cmd)
		}
		return
	}
	cmd.inFlight = true
	c.callsInFlight++
	c.Counts.Starts++
	c.actions = append(c.actions, Action{
		Start: &StartCall{
			Header: c.callHeader(),
			Start:  cmd.start,
		},
	})
}

// abandonStart ensures that a run does not start later.
func (c *Core) abandonStart(now time.Time, cmd *command) {
	if cmd.mayHaveStarted {
		cmd.phase = phaseStopping
		return
	}
	cmd.phase = phaseNeverStarted
	c.scheduleReport(now)
}

// StartAnswered processes the result of a start call; err is set if there was
// no response. Unless it is a *NotSentError, the call may still be carried out.
func (c *Core) StartAnswered(now time.Time, call StartCall, a Answer, err error) {
	c.callsInFlight--
	cmd := c.commands[call.Start.RunRef]
	var notSent *NotSentError
	mayArrive := err != nil && !errors.As(err, &notSent)
	if err != nil {
		c.Counts.Unanswered++
	}
	if mayArrive {
		c.unconfirmedStarts[call.Start.RunRef] = now
	}
	if cmd == nil || call.Header.Runner != c.runner.Key {
		return
	}
	cmd.inFlight = false
	if !cmd.requested {
		delete(c.commands, call.Start.RunRef)
		return
	}
	cmd.startSentAt = now
	if err != nil {
		cmd.mayHaveStarted = cmd.mayHaveStarted || mayArrive
		cmd.retryAt = now.Add(retryBackoff)
		return
	}
	c.advanceClock(now, a.ClockMillis)
	if cmd.phase != phaseStarting {
		return
	}
	if a.Refusal == "" {
		cmd.phase = phaseStarted
		c.verifyDue = true
		return
	}
	c.Counts.Refusals++
	if a.Refusal == RefusalFenced && call.Header.Epoch < c.epoch {
		// The epoch was raised while the call was on its way.
		cmd.retryAt = now
		return
	}
	if a.Refusal == RefusalStaleRun {
		// The runner has had this run before. Only the listing after a stop
		// shows whether it finished or was merely fenced.
		cmd.mayHaveStarted = true
	}
	c.abandonStart(now, cmd)
}

// StopAnswered processes the result of a stop call; err is set if there was no
// response.
func (c *Core) StopAnswered(now time.Time, call StopCall, a Answer, err error) {
	c.callsInFlight--
	cmd := c.commands[call.Ref]
	if cmd == nil || call.Header.Runner != c.runner.Key {
		return
	}
	cmd.inFlight = false
	if err != nil || a.Refusal != "" {
		cmd.retryAt = now.Add(retryBackoff)
		return
	}
	c.advanceClock(now, a.ClockMillis)
	if cmd.phase != phaseStopping {
		return
	}
	cmd.phase = phaseVerifying
	cmd.verifyAfter = c.renewCalls + 1
	c.nextRenewal = now
}

// recentUnconfirmedStarts returns the starts that may still be carried out, and
// drops those older than unconfirmedStartTTL.
func (c *Core) recentUnconfirmedStarts(now time.Time) []framer.RunRef {
	maps.DeleteFunc(c.unconfirmedStarts, func(_ framer.RunRef, at time.Time) bool { return now.Sub(at) > unconfirmedStartTTL })
	return slices.SortedFunc(maps.Keys(c.unconfirmedStarts), compareRefs)
}

// dropExpiredFences drops the fences against starts that can no longer arrive, so
// that a runner which refuses stops is reported in the end.
func (c *Core) dropExpiredFences(now time.Time) {
	maps.DeleteFunc(c.commands, func(_ framer.RunRef, cmd *command) bool {
		return cmd.fence && !cmd.requested && !cmd.inFlight && now.Sub(cmd.receivedAt) > unconfirmedStartTTL
	})
}

// fencePending reports whether a start sent to an earlier incarnation has not
// been stopped yet in this one.
func (c *Core) fencePending() bool {
	for _, cmd := range c.commands {
		if cmd.fence && cmd.phase == phaseStopping {
			return true
		}
	}
	return false
}
