package scheduler

import (
	"encoding/json"
	"time"
)

// placementPause is the time without a placement after which tasks wait because
// of that.
const placementPause = 10 * placementInterval

// waitCause is why a task that should run does not.
type waitCause int

// The causes.
const (
	// causeNone: the task runs.
	causeNone waitCause = iota + 1
	// causeUnplaced: the task has no runner. One of the causes from
	// causeNotExamined on is the reason.
	causeUnplaced

	// causeLeaseOfLostRunner: the owner has no link to the runner, or the
	// runner lists no runs. Its lease must expire first.
	causeLeaseOfLostRunner
	// causeStopping: the former run was asked to stop and has not ended.
	causeStopping
	// causeCommitNotConfirmed: the row with the placement is not committed.
	causeCommitNotConfirmed
	// causeStartNotSent: the agent was not asked to start the run.
	causeStartNotSent
	// causeStartNotAccepted: the runner has not accepted the run.
	causeStartNotAccepted
	// causeNotListed: the runner accepted the run and has never listed it.
	causeNotListed
	// causeNoLongerListed: the runner listed the run, and its last listing is
	// without it.
	causeNoLongerListed

	causeNotExamined
	// causeRestartDelay: the task waits until its next start is permitted.
	causeRestartDelay
	// causeCrashUnproven: too many runners were lost under the task, and none of them is back
	// or was replaced.
	causeCrashUnproven
	// causeNotQueued: the job is not among those that placement considers.
	causeNotQueued
	// causeGangIncomplete: a member of the gang still has a runner.
	causeGangIncomplete
	// causeNoRunner: the service has no runners.
	causeNoRunner
	// causeNoneSchedulable: no runner of the service is schedulable.
	causeNoneSchedulable
	// causeDomainDraining: no runner of the service is schedulable, and some only
	// since their failure domain was ordered drained.
	causeDomainDraining
	// causeNoLabel: no schedulable runner has the label.
	causeNoLabel
	// causeAntiAffinity: all runners with the label have as many tasks of the
	// step as they may.
	causeAntiAffinity
	// causeNoRoom: all others lack free capacity.
	causeNoRoom
	// causeInterference: those with free capacity are too busy for best-effort
	// tasks, or their latency-critical ones do not tolerate them.
	causeInterference
	// causeRunnerReserved: a runner is reserved for the task, and its room is not free
	// yet.
	causeRunnerReserved
	// causeRoomReserved: those with free capacity are reserved for larger tasks.
	causeRoomReserved
	// causeNoRoomForGang: some runners accept a task, too few for the gang.
	causeNoRoomForGang
	// causePlacementPaused: a runner accepts the task, but nothing is placed at
	// present.
	causePlacementPaused
	// causePlacementDue: a runner accepts the task now, and the next placement
	// may choose it.
	causePlacementDue
	// causeNotChosen: a runner has accepted the task for some time, and
	// placement did not choose it.
	causeNotChosen

	causeCount
)

// causeNames are the names of the causes in logs and metrics.
var causeNames = [causeCount]string{
	causeLeaseOfLostRunner:  "lease-of-lost-runner",
	causeStopping:           "stopping",
	causeCommitNotConfirmed: "commit-not-confirmed",
	causeStartNotSent:       "start-not-sent",
	causeStartNotAccepted:   "start-not-accepted",
	causeNotListed:          "placed-but-not-listed",
	causeNoLongerListed:     "no-longer-listed",
	causeNotExamined:        "not-examined",
	causeRestartDelay:       "restart-delay",
	causeCrashUnproven:      "crash-unproven",
	causeNotQueued:          "not-queued",
	causeGangIncomplete:     "gang-incomplete",
	causeNoRunner:           "no-runner",
	causeNoneSchedulable:    "no-schedulable-runner",
	causeDomainDraining:     "domain-draining",
	causeNoLabel:            "no-runner-with-label",
	causeAntiAffinity:       "anti-affinity",
	causeNoRoom:             "no-room",
	causeInterference:       "interference",
	causeRunnerReserved:     "runner-reserved",
	causeRoomReserved:       "room-reserved",
	causeNoRoomForGang:      "no-room-for-gang",
	causePlacementPaused:    "placement-paused",
	causePlacementDue:       "placement-due",
	causeNotChosen:          "not-chosen",
}

// String returns the name of the cause in logs and metrics.
func (w waitCause) String() string {
	return causeNames[w]
}

// logged reports whether waits for the cause are logged. The others are not
// known yet.
func (w waitCause) logged() bool {
	return w != causeNotExamined && w != causePlacementDue
}

// waitCause returns why the task does not run: causeNone if it does, and
// causeUnplaced if it has no runner.
func (t *task) waitCause(now time.Time) waitCause {
	s := t.runner
	if s == nil {
		return causeUnplaced
	}
	switch s.unavailability(now) {
	case refusedNoLink, refusedUnanswered, refusedNoListing:
		return causeLeaseOfLostRunner
	default:
	}
	switch {
	case t.stopping:
		return causeStopping
	case t.committedRun != t.run:
		return causeCommitNotConfirmed
	case !t.startSent:
		return causeStartNotSent
	case !t.confirmed:
		return causeStartNotAccepted
	case !t.listed:
		return causeNotListed
	case t.listedIn != s.listings:
		return causeNoLongerListed
	default:
		return causeNone
	}
}

// refusedBy returns the cause of a task that all runners refuse. Of their
// reasons, the one that is checked last decides, since its runner is the closest
// to accepting the task.
func refusedBy(refusals *[refusalCount]int) waitCause {
	last := refusal(0)
	for reason, count := range refusals {
		if count > 0 {
			last = refusal(reason)
		}
	}
	switch {
	case last == 0:
		return causeNoRunner
	case last < refusedWithoutLabel && refusals[refusedDomain] > 0:
		return causeDomainDraining
	case last < refusedWithoutLabel:
		return causeNoneSchedulable
	case last == refusedWithoutLabel:
		return causeNoLabel
	case last == refusedAntiAffinity:
		return causeAntiAffinity
	case last <= refusedCold:
		return causeNoRoom
	case last == refusedForWaiting:
		return causeRoomReserved
	default:
		return causeInterference
	}
}

// Waits counts the tasks that should run and have not for longer than longWait.
type Waits struct {
	Tasks int64 `json:"tasks"`
	// OldestMillis is how long the oldest of them has waited, in milliseconds.
	OldestMillis int64        `json:"oldest-millis"`
	ByCause      WaitsByCause `json:"by-cause"`
	// LinesSuppressed counts the lines that were due and not logged, because
	// there were too many.
	LinesSuppressed int64 `json:"lines-suppressed"`
}

// WaitsByCause counts the waiting tasks by cause.
type WaitsByCause [causeCount]int64

// MarshalJSON implements json.Marshaler: the counts above zero by the names of
// their causes.
func (w WaitsByCause) MarshalJSON() ([]byte, error) {
	counts := map[string]int64{}
	for cause, count := range w {
		if count > 0 {
			counts[causeNames[cause]] = count
		}
	}
	return json.Marshal(counts)
}
