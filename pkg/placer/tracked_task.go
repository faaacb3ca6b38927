package placer

import "time"

// trackedTask is a task with the owner's state that is not part of its row.
type trackedTask struct {
	Task
	// seenAt is when this owner first saw the task, in its own clock; AcceptedAt is
	// a time of the entry that accepted the task.
	seenAt time.Time
	// version is the version of the row; zero means that it is not written yet.
	version uint64
	// committed is the state in the row, and committedStart the start it was
	// written for.
	committed      State
	committedStart int
	// inFlight is set while the row is being written.
	inFlight  bool
	fromInbox bool
	// throttled is set while the worker must throttle the task.
	throttled bool
	// reportedThrottled is whether the worker last reported the task as throttled.
	reportedThrottled bool
	// countedInQuota is set while the task counts against the quota of its team.
	countedInQuota bool
	// lastFailedWorker is the worker on which the task failed last.
	lastFailedWorker string
	// sent is set once a call to the worker contained this start, and confirmed once
	// the worker has reported it.
	sent      bool
	confirmed bool
	// runsSince is when the worker first reported this start as running to this owner.
	runsSince time.Time
	// unlistedSince is the time of the first of the latest reports without this
	// start, or zero. After maxUnlisted it is withdrawn.
	unlistedSince time.Time
	withdrawn     bool
}
