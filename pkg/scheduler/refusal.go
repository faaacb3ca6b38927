package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// refusal is the reason why a runner cannot take a task.
type refusal int

// The refusals, in the order in which they are checked. A runner is schedulable
// if none of the first group applies.
const (
	accepted refusal = iota + 1

	refusedNoLink
	// refusedUnanswered: the runner does not answer its agent.
	refusedUnanswered
	refusedNoListing
	refusedDraining
	// refusedDomain: the runner's failure domain was ordered drained.
	refusedDomain
	// refusedNoLease: the runner is granted no lease until the last one is proven to have
	// expired.
	refusedNoLease
	// refusedBackoff: the runner refused a start a moment ago.
	refusedBackoff
	refusedQuarantined
	refusedStalled
	// refusedProbation: the quarantine is over, and one task is tried.
	refusedProbation
	// refusedTrial: the runner is kept free for a task that may crash it.
	refusedTrial

	refusedWithoutLabel
	refusedAntiAffinity
	refusedNoProcessors
	refusedNoMemory
	refusedNoAccelerators
	// refusedReserved: what is free is reserved for the most urgent queue.
	refusedReserved
	// refusedCold: the runner is cold and has the load that it gets for now.
	refusedCold
	// refusedBusy: the runner has too few idle processors for a best-effort
	// task.
	refusedBusy
	// refusedNotTolerated: a best-effort task would slow latency-critical ones.
	refusedNotTolerated
	// refusedForWaiting: the room is reserved for a larger task that waits.
	refusedForWaiting

	// acceptedLately: the runner accepts the task, and it improved after the
	// last placement. Only waits are told so.
	acceptedLately

	refusalCount
)

// refusalNames are the names of the refusals in logs.
var refusalNames = [refusalCount]string{
	accepted:              "accepting",
	refusedNoLink:         "no-link",
	refusedUnanswered:     "unanswered",
	refusedNoListing:      "no-listing",
	refusedDraining:       "draining",
	refusedDomain:         "domain-draining",
	refusedNoLease:        "no-lease",
	refusedBackoff:        "backing-off",
	refusedQuarantined:    "quarantined",
	refusedStalled:        "stalled",
	refusedProbation:      "on-probation",
	refusedTrial:          "on-trial",
	refusedWithoutLabel:   "without-label",
	refusedAntiAffinity:   "anti-affinity",
	refusedNoProcessors:   "no-processors",
	refusedNoMemory:       "no-memory",
	refusedNoAccelerators: "no-accelerators",
	refusedReserved:       "reserved",
	refusedCold:           "cold",
	refusedBusy:           "busy",
	refusedNotTolerated:   "not-tolerated",
	refusedForWaiting:     "reserved-for-waiting",
	acceptedLately:        "accepting-lately",
}

// schedulable reports whether tasks may be placed on the runner now.
func (s *runnerState) schedulable(now time.Time) bool {
	return s.refusal(now) == accepted
}

// takes reports whether a task may be placed on the runner now: it is schedulable,
// or kept free for that task.
func (s *runnerState) takes(now time.Time, t *task) bool {
	reason := s.refusal(now)
	return reason == accepted || reason == refusedTrial && s.trial == t
}

// fits reports whether a task may be placed on a schedulable runner.
func (c *Cell) fits(s *runnerState, w *candidate, t *task) bool {
	return c.misfit(s, w, t) == accepted
}

// quarantineRefusal returns which refusal applies to a runner that is
// quarantined or was so until its next success.
func (s *runnerState) quarantineRefusal(now time.Time) refusal {
	switch {
	case now.After(s.quarantinedUntil):
		return refusedProbation
	case s.stalled:
		return refusedStalled
	default:
		return refusedQuarantined
	}
}

// shortage returns which resource a runner lacks for a task that does not fit.
func shortage(needs, free publisher.Resources) refusal {
	switch {
	case needs.ProcessorMillis > free.ProcessorMillis:
		return refusedNoProcessors
	case needs.MemoryBytes > free.MemoryBytes:
		return refusedNoMemory
	case needs.Accelerators > free.Accelerators:
		return refusedNoAccelerators
	default:
		return refusedReserved
	}
}

// refusal returns why no task may be placed on the runner now, or accepted.
func (s *runnerState) refusal(now time.Time) refusal {
	if reason := s.unavailability(now); reason != accepted {
		return reason
	}
	if s.quarantined(now) {
		return s.quarantineRefusal(now)
	}
	if s.onTrial(now) {
		return refusedTrial
	}
	return accepted
}

// unavailability returns why the runner can start no runs now, or accepted.
func (s *runnerState) unavailability(now time.Time) refusal {
	switch {
	case !s.reported || s.agent == "":
		return refusedNoLink
	case s.unanswered:
		return refusedUnanswered
	case now.Sub(s.listedAt) > listingTTL:
		return refusedNoListing
	case s.info.Draining || s.info.Left:
		return refusedDraining
	case s.domainClosed:
		return refusedDomain
	case s.expiry.due:
		return refusedNoLease
	case s.startRefusals.backingOff(now):
		return refusedBackoff
	default:
		return accepted
	}
}

// available reports whether the runner can start runs now.
func (s *runnerState) available(now time.Time) bool {
	return s.unavailability(now) == accepted
}
