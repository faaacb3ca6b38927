// Package scheduler decides which runner runs which task of jobs that are
// made of steps. It does no I/O: it turns jobs, reports and confirmations into
// rows to commit and orders to agents.
package scheduler

import (
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Step is a set of like tasks of a job.
type Step struct {
	Count int                 `cbor:"count"`
	Needs publisher.Resources `cbor:"needs"`
	// EstimateMillis is the caller's guess of how long a task runs.
	EstimateMillis int64 `cbor:"estimate-millis,omitempty"`
	// After lists the steps, counted from nought, that must be done first.
	After []int `cbor:"after,omitempty"`
	// Checkpoints: a stopped run can be resumed.
	Checkpoints bool `cbor:"checkpoints,omitempty"`
	// Gang: the tasks run all at once or not at all.
	Gang bool `cbor:"gang,omitempty"`
	// RackLocal: a gang that is slower on more than one rack.
	RackLocal bool `cbor:"rack-local,omitempty"`
	// Requires is a label that the runner must have, or empty.
	Requires string `cbor:"requires,omitempty"`
	// DataRack is the rack on which the tasks are fastest, or empty.
	DataRack string `cbor:"data-rack,omitempty"`
	// AntiAffinity is how many tasks of the step one runner may hold; nought
	// means any number.
	AntiAffinity int `cbor:"anti-affinity,omitempty"`
	// LongRunning: the tasks run until the job is cancelled.
	LongRunning bool `cbor:"long-running,omitempty"`
	// Image groups tasks that behave alike.
	Image string `cbor:"image,omitempty"`
	// TargetMillis bounds the tail latency of tasks that serve users.
	TargetMillis float64 `cbor:"target-millis,omitempty"`
	// BestEffort: the tasks use what processors others leave unused.
	BestEffort bool `cbor:"fills,omitempty"`
	// MaxUnavailable is how many tasks of the step may be away at once.
	MaxUnavailable int `cbor:"may-miss,omitempty"`
}

// allocation is what a task of the step takes of a runner's capacity.
func (s *Step) allocation() publisher.Resources {
	needs := s.Needs
	if s.BestEffort {
		needs.ProcessorMillis = 0
	}
	return needs
}

// Spec is a job as it was accepted.
type Spec struct {
	ID    string `cbor:"id"`
	Queue string `cbor:"queue"`
	// Service ran the queue when the job was accepted.
	Service string `cbor:"service"`
	Payload string `cbor:"payload"`
	Steps   []Step `cbor:"steps"`
	// RunCount is how often the steps run at set times; nought means once,
	// at once. Times are in milliseconds since 1970.
	RunCount       int   `cbor:"run-count,omitempty"`
	StartAtMillis  int64 `cbor:"start-at-millis,omitempty"`
	IntervalMillis int64 `cbor:"interval-millis,omitempty"`
	// AcceptedAtMillis is in milliseconds since 1970.
	AcceptedAtMillis int64 `cbor:"accepted-at-millis"`
	// Tombstone marks an id that was cancelled before it was ever accepted.
	Tombstone bool `cbor:"void,omitempty"`
}

// occurrences is how many times the steps run.
func (s *Spec) occurrences() int {
	return max(1, s.RunCount)
}

// State is what callers see of a job.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final tells whether the state is never left.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskProgress is what must outlive the owner of a cell of one task.
type TaskProgress struct {
	_                     struct{} `cbor:",toarray"`
	Done                  bool
	Run                   int
	RunnerID              string
	RunnerStartedAtMillis int64
	Failures              int
	Checkpoint            string
	// Address is where the runner listens.
	Address string
}

// Progress is what must outlive the owner of a cell of one job. Tasks are
// listed by round, step and index.
type Progress struct {
	State State `cbor:"state"`
	// Begun tells whether a runner ever had a run of the job.
	Begun bool           `cbor:"begun,omitempty"`
	Tasks []TaskProgress `cbor:"tasks,omitempty"`
	// EndedAtMillis is when a final state was reached, in milliseconds since
	// 1970.
	EndedAtMillis int64 `cbor:"ended-at-millis,omitempty"`
}

// Queue is a queue of jobs as operators configure it.
type Queue struct {
	Name string
	// Host and Prefix select the queue; the longest prefix wins.
	Host   string
	Prefix string
	// Service names the runners that run the queue's tasks.
	Service string
	// Urgency is the rank of the queue; nought comes first.
	Urgency int
	// MaxFailures is how many runs of a task may fail.
	MaxFailures int
	// Stretch and TargetLatency give a job's objective: so many times its
	// longest chain of work, and so much more.
	Stretch       float64
	TargetLatency time.Duration
}

// Queues is one version of the configuration of queues.
type Queues struct {
	Version int64
	List    []Queue
	// MaxBodyBytes bounds a caller's request body.
	MaxBodyBytes int
}

// Match returns the queue that a request is for, and the rest of its path.
func (q *Queues) Match(host, path string) (*Queue, string) {
	var best *Queue
	for i := range q.List {
		queue := &q.List[i]
		if queue.Host != host || !strings.HasPrefix(path, queue.Prefix) {
			continue
		}
		if best == nil || len(queue.Prefix) > len(best.Prefix) {
			best = queue
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Named returns a queue by name, or nil.
func (q *Queues) Named(name string) *Queue {
	for i := range q.List {
		if q.List[i].Name == name {
			return &q.List[i]
		}
	}
	return nil
}

// taskName is the name under which runners know a task.
func taskName(id string, round, step, index int) string {
	return id + "." + strconv.Itoa(round) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// parseTaskName undoes taskName.
func parseTaskName(name string) (id string, round, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	numbers := [3]int{}
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return "", 0, 0, 0, false
		}
		numbers[i] = n
	}
	return parts[0], numbers[0], numbers[1], numbers[2], true
}

// maxTasks bounds the tasks of one job.
const maxTasks = 10_000

// Check returns a *publisher.FieldError for the first field that no job may
// have.
func (s *Spec) Check() error {
	tasks := 0
	for i, step := range s.Steps {
		field := "steps[" + strconv.Itoa(i) + "]"
		if err := publisher.CheckRange(field+".count", int64(step.Count), 1, maxTasks); err != nil {
			return err
		}
		tasks += step.Count
		for _, before := range step.After {
			if err := publisher.CheckRange(field+".after", int64(before), 0, int64(i-1)); err != nil {
				return err
			}
		}
	}
	return publisher.CheckRange("tasks", int64(tasks)*int64(s.occurrences()), 1, maxTasks)
}
