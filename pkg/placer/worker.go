package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// TaskLease is how long a worker runs tasks without a renewal. It is longer than
	// a change of the cell's owner, so that such a change stops no task, and short
	// enough for a lost replica to be replaced within 8 s.
	TaskLease = 7 * time.Second
	// maxUnlisted is how long a worker may report without a start that was sent to
	// it. With the time of two calls it is below the 8 s for a lost replica.
	maxUnlisted = 5 * time.Second
	// quarantineThreshold is how many starts of different tasks must fail in a
	// row before a worker is quarantined.
	quarantineThreshold = 3
	minQuarantine       = 10 * time.Second
	maxQuarantine       = 10 * time.Minute
	// trialDuration is how long a task must run on a worker after its quarantine for
	// the worker to count as sound, if the task does not end before.
	trialDuration = 10 * time.Second
)

// RunState is the state of a start as reported by a worker.
type RunState string

// The states of a start on a worker.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunFailed  RunState = "failed"
	RunStopped RunState = "stopped"
)

// TaskReport is a worker's report on one start of a task.
type TaskReport struct {
	ID    string   `json:"id"`
	Start int      `json:"start"`
	State RunState `json:"state"`
	// Checkpoint names the object that was written last, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Slowdown is the factor by which a latency-critical task answers slower than
	// when it runs alone; zero if that was not measured. The measurement may be up
	// to maxReportLag old.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Throttled is set while the worker throttles the task.
	Throttled bool `json:"throttled,omitempty"`
	// Usage is what the task used when it was last measured, some time ago.
	Usage publisher.Resources `json:"usage"`
}

// Report is a worker's report on itself and its tasks.
type Report struct {
	// Incarnation changes when the worker restarts without tasks.
	Incarnation uint64 `json:"incarnation"`
	// ClockMillis is the time of the worker's own clock, in which leases are granted.
	ClockMillis   int64               `json:"clock-millis"`
	FailureDomain string              `json:"failure-domain"`
	Rack          string              `json:"rack"`
	Capacity      publisher.Resources `json:"capacity"`
	Tasks         []TaskReport        `json:"tasks"`
}

// worker is the owner's view of a worker.
type worker struct {
	address       string
	incarnation   uint64
	failureDomain string
	rack          string
	allocations   *Allocations
	tasks         map[string]*trackedTask
	registered    bool
	reachable     bool
	// changedAt is when a task was last added, removed, throttled or unthrottled.
	changedAt time.Time
	// colocatedCache is the set of co-located tasks, or nil after a change.
	colocatedCache *colocatedSet
	clockMillis    int64
	clockAt        time.Time
	// leaseEnd is when the last lease that may have been granted ends.
	leaseEnd time.Time
	// leaseUntilMillis is the end of the last known lease by the worker's clock.
	leaseUntilMillis int64
	expiry           expiry

	failedTasks     []string
	quarantine      time.Duration
	quarantineUntil time.Time
	// trial is the task that was placed last after the quarantine, and
	// trialRunsSince when the worker first reported it as running.
	trial          *trackedTask
	trialRunsSince time.Time
}

// placed returns the tasks bound to the worker, sorted by id.
func (w *worker) placed() []*trackedTask {
	list := make([]*trackedTask, 0, len(w.tasks))
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		list = append(list, w.tasks[id])
	}
	return list
}

// recordFailure records a failed start and reports whether the worker is now
// quarantined. Failures of one task count once.
func (w *worker) recordFailure(now time.Time, id string) bool {
	for _, failed := range w.failedTasks {
		if failed == id {
			return false
		}
	}
	w.failedTasks = append(w.failedTasks, id)
	w.trial = nil
	if len(w.failedTasks) < quarantineThreshold {
		return false
	}
	w.quarantine = min(maxQuarantine, max(minQuarantine, 2*w.quarantine))
	w.quarantineUntil = now.Add(w.quarantine)
	return true
}

func (w *worker) recordSuccess() {
	w.failedTasks = nil
	w.quarantine = 0
	w.trial = nil
}

// beginTrial records that a task is placed on the worker after its quarantine.
func (w *worker) beginTrial(e *trackedTask) {
	w.trial = e
	w.trialRunsSince = time.Time{}
}

// recordRunning records that the worker reports a task as running. A trial that
// does not end, such as a replica, succeeds after trialDuration.
func (w *worker) recordRunning(now time.Time, e *trackedTask) {
	switch {
	case w.trial != e:
	case w.trialRunsSince.IsZero():
		w.trialRunsSince = now
	case now.Sub(w.trialRunsSince) >= trialDuration:
		w.recordSuccess()
	}
}

// onTrial reports whether the worker has a trial. One that was cancelled, evicted
// or lost is no longer bound to it.
func (w *worker) onTrial() bool {
	return w.trial != nil && w.tasks[w.trial.Spec.ID] == w.trial
}

// usable reports whether tasks may be placed on the worker now. After its
// quarantine, a worker gets one task at a time until one succeeds.
func (w *worker) usable(now time.Time) bool {
	if !w.registered || !w.reachable || w.expiry.due {
		return false
	}
	if len(w.failedTasks) < quarantineThreshold {
		return true
	}
	return now.After(w.quarantineUntil) && !w.onTrial()
}
