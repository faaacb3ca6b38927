package supervisor

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// renewWait is how long a runner may keep a lease renewal open while no run
	// finishes there, and idleRenewWait the same while nothing runs.
	renewWait     = 500 * time.Millisecond
	idleRenewWait = time.Second
	// renewBackoff is the time between lease renewals after a failed one, and
	// while finished runs are not yet acknowledged by the owner.
	renewBackoff = 100 * time.Millisecond
	// retryBackoff is the wait before a start or stop that failed is sent again.
	retryBackoff = 50 * time.Millisecond
	// reportInterval is the maximum time between two reports.
	reportInterval = 500 * time.Millisecond
	// reportBatchDelay delays a report to batch changes that occur close
	// together.
	reportBatchDelay = 3 * time.Millisecond
	// unconfirmedStartTTL is how long a start without a response may still be
	// carried out by the runner.
	unconfirmedStartTTL = 15 * time.Second
	// listingTTL is how long a listing is valid as evidence of which incarnation
	// of the runner is present.
	listingTTL = 1500 * time.Millisecond
	// maxUnansweredRenewals is how many lease renewals in a row may get no
	// response before the runner is reported as unanswering. One may be lost.
	maxUnansweredRenewals = 2
	// maxHeartbeatDelay is how late the runner's next heartbeat may be for a start: its
	// capacity may have shrunk since the last one. minHeartbeatInterval is the interval
	// that is assumed at least.
	maxHeartbeatDelay    = 2 * time.Second
	minHeartbeatInterval = time.Second
	// shrinkHold is how long after the runner has shrunk the owner may still request
	// starts without knowing.
	shrinkHold = 100 * time.Millisecond
	// maxStartHold is how long a start is held back, for want of a lease or of a
	// recent listing, before the agent gives it back to the owner.
	maxStartHold = time.Second
	// maxCallsInFlight bounds the concurrent start and stop calls to the runner.
	maxCallsInFlight = 16
)

// Action is one output of the core for the agent to carry out. Exactly one
// field is set.
type Action struct {
	Renew    *RenewCall
	Start    *StartCall
	Stop     *StopCall
	SetSpeed *SetSpeedCall
	Report   *framer.Report
}

// RenewCall requests a lease renewal and a listing. Its result is passed to
// LeaseRenewed.
type RenewCall struct {
	Header        CallHeader
	AckedSequence int64
	Wait          time.Duration
	// Purpose is why the runner is called; Number counts the calls to the known
	// incarnation.
	Purpose RenewPurpose
	Number  uint64
}

// RenewPurpose is why a lease renewal is requested.
type RenewPurpose int

const (
	// PurposeRenew renews the lease and waits for finished runs.
	PurposeRenew RenewPurpose = iota + 1
	// PurposeProbe asks a claimed incarnation whether it is there.
	PurposeProbe
	// PurposeVerify shows, after an accepted start, that the known incarnation accepted
	// it.
	PurposeVerify
)

// StartCall requests the start of a run. Its result is passed to StartAnswered.
type StartCall struct {
	Header CallHeader
	Start  framer.RunStart
}

// StopCall requests the stop of a run. Its result is passed to StopAnswered.
type StopCall struct {
	Header CallHeader
	Ref    framer.RunRef
}

// SetSpeedCall sets the speed limit of a run, in percent. Its result is passed to
// SpeedSet.
type SetSpeedCall struct {
	Header  CallHeader
	Ref     framer.RunRef
	Percent int
	// Number counts the calls to the known incarnation.
	Number uint64
	SentAt time.Time
}

// Core makes the decisions of one agent. It does no I/O and is not safe for
// concurrent use; one goroutine owns it.
type Core struct {
	runner            framer.RunnerInfo
	known             bool
	heartbeatSequence int64
	// answeredBy is the start time of another incarnation than the known one
	// that answered a call to it, or 0 if none did.
	answeredBy int64
	// claims are the incarnations that have not answered a call yet. probing is set
	// while a probe has no result.
	claims  []*claim
	probing bool
	// heartbeatAt is the time of the last accepted heartbeat, and rival what the
	// last other one says.
	heartbeatAt time.Time
	rival       rival
	// heartbeatInterval is the mean time between the latest heartbeats.
	heartbeatInterval time.Duration
	// shrunkAt is when the runner last reported less capacity than before.
	shrunkAt time.Time
	// leaveNoticed is set from a notice that the runner has left until its next heartbeat.
	leaveNoticed bool
	// replaced is the incarnation that the known one replaced.
	replaced framer.RunnerKey
	// clockMillis is the latest reading of the runner's clock, or 0 if there is
	// none yet. clockRead and clockReadAt are the reading from which clockByNow counts.
	clockMillis int64
	clockRead   int64
	clockReadAt time.Time
	// startsUntilMillis is until when the requested starts may be carried out, by
	// the runner's clock; 0 sets no bound.
	startsUntilMillis int64
	// listedAt is the time of the latest listing of this incarnation of the
	// runner.
	listedAt time.Time
	// listedEpoch is the epoch of the call that the latest listing answered, and
	// listedClock the reading of the runner's clock in it.
	listedEpoch uint64
	listedClock int64

	epoch         uint64
	lease         lease
	ackedSequence int64
	// deliveredAckSequence is the highest acknowledged sequence number that the
	// runner has confirmed to have received.
	deliveredAckSequence int64
	commands             map[framer.RunRef]*command
	// unconfirmedStarts maps each start that got no response to the time of the
	// failed call. The start may be carried out later, even by a later
	// incarnation of the runner.
	unconfirmedStarts map[framer.RunRef]time.Time
	callsInFlight     int
	running           []framer.RunStatus
	finished          []framer.FinishedRun
	throttler         *throttler
	speedCalls        *speedCalls

	renewing bool
	// verifying is set while a listing is requested beside the renewals, and
	// verifyDue if the next one is due.
	verifying bool
	verifyDue bool
	// unansweredRenewals counts the latest lease renewals without a response.
	unansweredRenewals int
	renewCalls         uint64
	nextRenewal        time.Time
	nextReport         time.Time
	actions            []Action

	// Counts are totals since the start of the agent.
	Counts Counts
}

// Counts are the counters of an agent.
type Counts struct {
	Starts             int64 `json:"starts"`
	Refusals           int64 `json:"refusals"`
	Unanswered         int64 `json:"unanswered"`
	Stops              int64 `json:"stops"`
	LeaseRenewals      int64 `json:"holds"`
	SpeedChanges       int64 `json:"paces"`
	RunnerIncarnations int64 `json:"runner-lives"`
	// Claims counts the incarnations that heartbeats named, RefutedClaims those that
	// another one answered for.
	Claims        int64 `json:"claims"`
	RefutedClaims int64 `json:"refuted-claims"`
}

// NewCore returns the core of an agent that knows no runner yet.
func NewCore() *Core {
	return &Core{
		commands:          map[framer.RunRef]*command{},
		unconfirmedStarts: map[framer.RunRef]time.Time{},
		throttler:         newThrottler(),
		speedCalls:        newSpeedCalls(),
	}
}

// Runner returns the state in the latest heartbeat of the known incarnation and reports
// whether there is one.
func (c *Core) Runner() (framer.RunnerInfo, bool) {
	return c.runner, c.known
}

// Epoch returns the highest epoch received.
func (c *Core) Epoch() uint64 {
	return c.epoch
}

// SyncReceived applies a sync frame of an owner. It returns false if the epoch
// of the sender is below the highest epoch received.
func (c *Core) SyncReceived(now time.Time, s framer.Sync) bool {
	if s.Epoch < c.epoch {
		return false
	}
	if s.Epoch > c.epoch {
		c.epoch = s.Epoch
		c.nextRenewal = now
		c.nextReport = now
		for _, claimed := range c.claims {
			claimed.nextProbe = now
		}
	}
	if !c.known || s.Runner != c.runner.Key {
		return true
	}
	c.grantLease(s.LeaseUntilMillis)
	c.startsUntilMillis = s.StartsUntilMillis
	if s.AckedSequence > c.ackedSequence {
		c.ackedSequence = s.AckedSequence
		c.nextRenewal = now
	}
	c.updateCommands(now, s)
	c.throttler.setSharing(s.Sharing)
	return true
}

// Tick returns the actions that are due and the time until the next call.
func (c *Core) Tick(now time.Time) ([]Action, time.Duration) {
	c.dropExpiredFences(now)
	c.sendCommands(now)
	c.probeClaims(now)
	c.renewLease(now)
	c.verifyStarts()
	c.setSpeeds(now)
	if c.known && !c.replacedUnheard() && !now.Before(c.nextReport) && !c.fencePending() {
		c.report(now)
	}
	actions := c.actions
	c.actions = nil
	return actions, c.wake(now)
}

// wake returns the time until the next action is due.
func (c *Core) wake(now time.Time) time.Duration {
	next := c.nextReport
	if !c.renewing && c.nextRenewal.Before(next) {
		next = c.nextRenewal
	}
	if claimed := c.nextClaim(); claimed != nil && !c.probing && claimed.nextProbe.Before(next) {
		next = claimed.nextProbe
	}
	for _, cmd := range c.commands {
		open := cmd.phase == phaseStopping || cmd.phase == phaseStarting && c.lease.untilMillis > c.clockMillis
		if open && !cmd.inFlight && cmd.retryAt.Before(next) {
			next = cmd.retryAt
		}
	}
	return min(reportInterval, max(minWakeInterval, next.Sub(now)))
}

// minWakeInterval keeps the control goroutine from busy-looping.
const minWakeInterval = 2 * time.Millisecond

func (c *Core) callHeader() CallHeader {
	return CallHeader{
		Runner:           c.runner.Key,
		Epoch:            c.epoch,
		LeaseUntilMillis: c.lease.untilMillis,
	}
}

// scheduleReport schedules a report after reportBatchDelay, unless an earlier
// one is due.
func (c *Core) scheduleReport(now time.Time) {
	if at := now.Add(reportBatchDelay); at.Before(c.nextReport) {
		c.nextReport = at
	}
}

// report sends the owner the full state, including all that it may not have
// received yet.
func (c *Core) report(now time.Time) {
	c.nextReport = now.Add(reportInterval)
	r := &framer.Report{
		Epoch:            c.epoch,
		Runner:           c.runner,
		ClockMillis:      c.clockMillis,
		LeaseUntilMillis: c.lease.grantedUntilMillis,
		ExpiredSequence:  c.lease.expiredSequence,
		Listed:           !c.listedAt.IsZero(),
		Unanswered:       c.unansweredRenewals >= maxUnansweredRenewals,
		Claimed:          c.claimedAgain(),
		ListedEpoch:      c.listedEpoch,
		Running:          slices.Clone(c.running),
		Finished:         slices.Clone(c.finished),
	}
	r.Runner.ColdMillis = max(0, r.Runner.ColdMillis-now.Sub(c.heartbeatAt).Milliseconds())
	if r.Listed {
		r.ListingAgeMillis = now.Sub(c.listedAt).Milliseconds()
	}
	for _, ref := range slices.SortedFunc(maps.Keys(c.commands), compareRefs) {
		switch c.commands[ref].phase {
		case phaseStarted:
			r.Started = append(r.Started, ref)
		case phaseNeverStarted:
			r.Finished = append(r.Finished, framer.FinishedRun{
				RunRef: ref,
				Reason: framer.FinishNeverStarted,
			})
		default:
		}
	}
	c.actions = append(c.actions, Action{
		Report: r,
	})
}

func compareRefs(a, b framer.RunRef) int {
	return cmp.Or(
		cmp.Compare(a.Task, b.Task),
		cmp.Compare(a.Run, b.Run),
	)
}

// Reconnected schedules a report because a new link to the owner was opened,
// over which the last report may not have been received.
func (c *Core) Reconnected(now time.Time) {
	c.nextReport = now
}
