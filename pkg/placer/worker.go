package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// TaskLease is how long a worker runs tasks without a renewal. It outlasts
	// the change of a cell's owner, so that this stops no task, and is short
	// enough for a lost replica to be replaced within 8 s.
	TaskLease = 7 * time.Second
	// failuresToSetAside is how many starts of different tasks must fail in a
	// row before a worker is set aside.
	failuresToSetAside = 3
	firstSetAside      = 10 * time.Second
	longestSetAside    = 10 * time.Minute
)

// RunState is what a worker says of a start.
type RunState string

// The states of a start on a worker.
const (
	RunRunning RunState = "running"
	RunDone    RunState = "done"
	RunFailed  RunState = "failed"
	RunStopped RunState = "stopped"
)

// TaskReport is what a worker says of one start of a task.
type TaskReport struct {
	ID    string   `json:"id"`
	Start int      `json:"start"`
	State RunState `json:"state"`
	// Checkpoint names the object that was written last, if any.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Slowdown is how much slower a latency-critical task answered a while
	// ago than alone; nought if that was not measured.
	Slowdown float64 `json:"slowdown,omitempty"`
	// Throttled tells that the worker holds the task back.
	Throttled bool `json:"throttled,omitempty"`
	// Usage is what the task used a while ago.
	Usage publisher.Resources `json:"usage"`
}

// Report is what a worker says of itself.
type Report struct {
	// Incarnation changes when the worker starts anew with no tasks.
	Incarnation uint64 `json:"incarnation"`
	// ClockMillis is the worker's own clock, in which leases are granted.
	ClockMillis   int64               `json:"clock-millis"`
	FailureDomain string              `json:"failure-domain"`
	Rack          string              `json:"rack"`
	Capacity      publisher.Resources `json:"capacity"`
	Tasks         []TaskReport        `json:"tasks"`
}

// worker is what a cell's owner knows of a worker.
type worker struct {
	address       string
	incarnation   uint64
	failureDomain string
	rack          string
	ledger        *Ledger
	tasks         map[string]*tracked
	known         bool
	reachable     bool
	// changedAt is when a task came, went, or was held back or let go.
	changedAt time.Time
	// mixed is what runs there, or nil after a change.
	mixed       *colocated
	clockMillis int64
	clockAt     time.Time
	// leaseEnd is when the last lease that could have been granted ends.
	leaseEnd time.Time

	failedTasks   []string
	setAside      time.Duration
	setAsideUntil time.Time
	onTrial       bool
}

// placed returns the tasks bound to the worker, by id.
func (w *worker) placed() []*tracked {
	list := make([]*tracked, 0, len(w.tasks))
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		list = append(list, w.tasks[id])
	}
	return list
}

// noteFailure counts a failed start; failures of one task count once.
func (w *worker) noteFailure(now time.Time, id string) bool {
	for _, known := range w.failedTasks {
		if known == id {
			return false
		}
	}
	w.failedTasks = append(w.failedTasks, id)
	w.onTrial = false
	if len(w.failedTasks) < failuresToSetAside {
		return false
	}
	w.setAside = min(longestSetAside, max(firstSetAside, 2*w.setAside))
	w.setAsideUntil = now.Add(w.setAside)
	return true
}

func (w *worker) noteSuccess() {
	w.failedTasks = nil
	w.setAside = 0
	w.onTrial = false
}

// usable tells whether tasks may be placed on the worker now. A worker that
// was set aside gets one task at a time until one succeeds.
func (w *worker) usable(now time.Time) bool {
	if !w.known || !w.reachable {
		return false
	}
	if len(w.failedTasks) < failuresToSetAside {
		return true
	}
	// A trial that was cancelled or lost leaves the worker without tasks.
	onTrial := w.onTrial && len(w.tasks) > 0
	return now.After(w.setAsideUntil) && !onTrial
}
