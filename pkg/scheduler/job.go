// Package scheduler decides which runner runs which task of jobs that consist
// of steps. It does no I/O: it turns jobs, reports and confirmations into rows
// to commit and commands to agents.
package scheduler

import (
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Step is a set of identical tasks of a job.
type Step struct {
	Count int                 `cbor:"count"`
	Needs publisher.Resources `cbor:"needs"`
	// EstimateMillis is the caller's estimate of a task's run time, in
	// milliseconds.
	EstimateMillis int64 `cbor:"estimate-millis,omitempty"`
	// After lists the zero-based indexes of the steps that must be done first.
	After []int `cbor:"after,omitempty"`
	// Checkpoints means that a stopped run can be resumed from its checkpoint.
	Checkpoints bool `cbor:"checkpoints,omitempty"`
	// Gang means that all tasks of the step run at the same time or none does.
	Gang bool `cbor:"gang,omitempty"`
	// RackLocal means that the gang runs slower if it spans more than one rack.
	RackLocal bool `cbor:"rack-local,omitempty"`
	// Requires is a label that the runner must have, or empty.
	Requires string `cbor:"requires,omitempty"`
	// DataRack is the rack on which the tasks run fastest, or empty.
	DataRack string `cbor:"data-rack,omitempty"`
	// AntiAffinity is the maximum number of the step's tasks on one runner;
	// zero means no limit.
	AntiAffinity int `cbor:"anti-affinity,omitempty"`
	// LongRunning means that the tasks run until the job is cancelled.
	LongRunning bool `cbor:"long-running,omitempty"`
	// Image groups tasks that behave alike.
	Image string `cbor:"image,omitempty"`
	// TargetMillis is the target for the tail latency of latency-critical
	// tasks, in milliseconds; zero means none.
	TargetMillis float64 `cbor:"target-millis,omitempty"`
	// Speculative means that a task may have a copy, that is, a second run at the same
	// time; the first run that is done counts.
	Speculative bool `cbor:"speculative,omitempty"`
	// BestEffort means that the tasks use only processors that others leave
	// idle.
	BestEffort bool `cbor:"fills,omitempty"`
	// MaxUnavailable is the maximum number of the step's tasks that may be
	// unavailable at the same time.
	MaxUnavailable int `cbor:"may-miss,omitempty"`
}

// allocation returns what a task of the step takes from a runner's capacity.
// Best-effort tasks are allocated no processors.
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
	// Service is the service of the queue when the job was accepted, and Terms are its
	// other properties then.
	Service string `cbor:"service"`
	Terms   Terms  `cbor:"terms,omitzero"`
	Payload string `cbor:"payload"`
	Steps   []Step `cbor:"steps"`
	// RunCount is the number of scheduled occurrences of the steps; zero means
	// one occurrence, at once. StartAtMillis is the time of the first one in
	// milliseconds since 1970, and IntervalMillis is the time between two in
	// milliseconds.
	RunCount       int   `cbor:"run-count,omitempty"`
	StartAtMillis  int64 `cbor:"start-at-millis,omitempty"`
	IntervalMillis int64 `cbor:"interval-millis,omitempty"`
	// AcceptedAtMillis is when the job was accepted, in milliseconds since
	// 1970.
	AcceptedAtMillis int64 `cbor:"accepted-at-millis"`
	// Tombstone marks a job id that was cancelled before the job was accepted.
	Tombstone bool `cbor:"void,omitempty"`
}

// occurrences returns how many times the steps run.
func (s *Spec) occurrences() int {
	return max(1, s.RunCount)
}

// TasksPerOccurrence returns the number of tasks of one occurrence.
func (s *Spec) TasksPerOccurrence() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// dueAt returns when an occurrence is due; the zero time is at once.
func (s *Spec) dueAt(occurrence int) time.Time {
	if s.RunCount == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.StartAtMillis + int64(occurrence)*s.IntervalMillis)
}

// firstDueFrom returns when the first of the occurrences from a given one on is due. With a
// negative interval, that is the last one.
func (s *Spec) firstDueFrom(occurrence int) time.Time {
	return minTime(s.dueAt(occurrence), s.dueAt(s.occurrences()-1))
}

// State is the state of a job as callers see it.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether the state is final, that is, whether no other state
// follows it.
func (s State) Final() bool {
	return s == StateCompleted || s == StateFailed || s == StateCancelled
}

// TaskProgress is the part of a task's state that must survive a change of the
// cell's owner.
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

// CopyProgress is the copy of a task as the next owner must know it. If the copy has ended,
// only its number remains, because the next run must have a higher one.
type CopyProgress struct {
	_ struct{} `cbor:",toarray"`
	// Task is the index of the task in Progress.Tasks.
	Task                  int
	Run                   int
	RunnerID              string
	RunnerStartedAtMillis int64
	Address               string
}

// Progress is the part of a job's state that must survive a change of the
// cell's owner. Tasks are listed by occurrence, step and index, up to the last occurrence that
// was due.
type Progress struct {
	State State `cbor:"state"`
	// Begun reports whether any run of the job has reached a runner.
	Begun bool           `cbor:"begun,omitempty"`
	Tasks []TaskProgress `cbor:"tasks,omitempty"`
	// Copies lists the tasks that have a copy, or had one of the run in Tasks.
	Copies []CopyProgress `cbor:"copies,omitempty"`
	// Crashes holds the crashes of runners under each of the tasks, and Suspicions the
	// evidence that its start causes them; both are empty if there are none.
	Crashes    []byte `cbor:"crashes,omitempty"`
	Suspicions []byte `cbor:"suspicions,omitempty"`
	// CountedRuns lists the placed tasks, by index, whose present run has been counted in
	// Crashes. A row without room for them omits some.
	CountedRuns []int `cbor:"counted-runs,omitempty"`
	// Released lists the tasks with released runs, by index. MoreReleased is set if others
	// after them have some too.
	Released     []ReleasedRuns `cbor:"released,omitempty"`
	MoreReleased bool           `cbor:"more-released,omitempty"`
	// Lapsed lists the runners that were lost with runs of the job and may have crashed
	// under them.
	Lapsed []LapsedRunner `cbor:"lapsed,omitempty"`
	// EndedAtMillis is when the job reached a final state, in milliseconds
	// since 1970.
	EndedAtMillis int64 `cbor:"ended-at-millis,omitempty"`
}

// Terms are the properties of a queue that decide how its jobs run.
type Terms struct {
	// Urgency is the rank of the queue; zero is the most urgent.
	Urgency int `cbor:"urgency,omitempty"`
	// MaxFailures is the number of failed runs of one task at which the job
	// fails.
	MaxFailures int `cbor:"max-failures,omitempty"`
	// Stretch and TargetLatency give the time objective of a job: Stretch times
	// the duration of its longest chain of steps, plus TargetLatency.
	Stretch       float64       `cbor:"stretch,omitempty"`
	TargetLatency time.Duration `cbor:"target-latency,omitempty"`
}

// defaultTerms apply to jobs whose queue is not known and whose row states no terms.
func defaultTerms() Terms {
	return Terms{
		MaxFailures:   2,
		Stretch:       2,
		TargetLatency: time.Second,
	}
}

// Queue is a queue of jobs as configured by operators.
type Queue struct {
	Name string
	// Host and Prefix select the queue of a request; the longest prefix wins.
	Host   string
	Prefix string
	// Service is the service whose runners run the queue's tasks.
	Service string
	Terms   Terms
}

// Queues is one version of the queue configuration.
type Queues struct {
	Version int64
	List    []Queue
	// MaxBodyBytes and MaxHeadBytes limit the body and the head of a caller's request,
	// HeadTimeout the time for a head, and IdleTimeout the time without a request. Zero
	// means no limit of the operator's.
	MaxBodyBytes int
	MaxHeadBytes int
	HeadTimeout  time.Duration
	IdleTimeout  time.Duration
	// former holds the queues that earlier versions had, as the last of them had
	// them. The jobs of those that this one lacks are still to be run.
	former map[string]*Queue
}

// Succeed records the queues of an earlier version that this one lacks.
func (q *Queues) Succeed(earlier *Queues) {
	if earlier == nil {
		return
	}
	q.former = maps.Clone(earlier.former)
	if q.former == nil {
		q.former = map[string]*Queue{}
	}
	for i := range earlier.List {
		q.former[earlier.List[i].Name] = &earlier.List[i]
	}
}

// LastKnown returns the queue with the given name, as it was last if it was dropped,
// or nil if no known version has it.
func (q *Queues) LastKnown(name string) *Queue {
	if queue := q.Named(name); queue != nil {
		return queue
	}
	return q.former[name]
}

// Match returns the queue for a request's host and path, and the path without
// the queue's prefix. The queue is nil if none matches.
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

// Named returns the queue with the given name, or nil.
func (q *Queues) Named(name string) *Queue {
	for i := range q.List {
		if q.List[i].Name == name {
			return &q.List[i]
		}
	}
	return nil
}

// taskName returns the name by which runners identify a task.
func taskName(id string, occurrence, step, index int) string {
	return id + "." + strconv.Itoa(occurrence) + "." + strconv.Itoa(step) + "." + strconv.Itoa(index)
}

// parseTaskName parses a name that taskName returned. The id itself may contain
// dots.
func parseTaskName(name string) (id string, occurrence, step, index int, ok bool) {
	numbers := [3]int{}
	for i := len(numbers) - 1; i >= 0; i-- {
		dot := strings.LastIndexByte(name, '.')
		if dot < 0 {
			return "", 0, 0, 0, false
		}
		n, err := strconv.Atoi(name[dot+1:])
		if err != nil || n < 0 {
			return "", 0, 0, 0, false
		}
		numbers[i] = n
		name = name[:dot]
	}
	return name, numbers[0], numbers[1], numbers[2], true
}

const (
	// maxTasks is the maximum number of tasks of one job.
	maxTasks = 10_000
	// MaxEstimateMillis is the largest estimate of a task's run time, in milliseconds.
	// The work of a whole job fits into 63 bits with that and maxProcessorMillis.
	MaxEstimateMillis  = 1 << 24
	maxProcessorMillis = 1 << 24
	// maxMemoryBytes and maxAccelerators bound what a task may request.
	maxMemoryBytes  = 1 << 50
	maxAccelerators = 1 << 20
)

// Check returns a *publisher.FieldError for the first field with an invalid
// value.
func (s *Spec) Check() error {
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return err
		}
	}
	if err := publisher.CheckRange("run-count", int64(s.RunCount), 0, maxTasks); err != nil {
		return err
	}
	return publisher.CheckRange("tasks", int64(s.TasksPerOccurrence())*int64(s.occurrences()), 1, maxTasks)
}

// check returns a *publisher.FieldError for the first field of the step at an index with an
// invalid value.
func (s *Step) check(index int) error {
	field := "steps[" + strconv.Itoa(index) + "]"
	if err := publisher.CheckRange(field+".count", int64(s.Count), 1, maxTasks); err != nil {
		return err
	}
	if err := s.checkNeeds(field); err != nil {
		return err
	}
	for _, dependency := range s.After {
		if err := publisher.CheckRange(field+".after", int64(dependency), 0, int64(index-1)); err != nil {
			return err
		}
	}
	return nil
}

// Steps collects the steps of a job as they are decoded. It takes no more than a valid job has,
// however many a caller sends.
type Steps struct {
	List  []Step
	tasks int
}

// Add adds a step. It returns a *publisher.FieldError if the step is invalid, or if the job has
// too many steps or tasks with it.
func (s *Steps) Add(step Step) error {
	if err := publisher.CheckRange("steps", int64(len(s.List)+1), 1, maxSteps); err != nil {
		return err
	}
	if err := step.check(len(s.List)); err != nil {
		return err
	}
	s.tasks += step.Count
	if err := publisher.CheckRange("tasks", int64(s.tasks), 1, maxTasks); err != nil {
		return err
	}
	s.List = append(s.List, step)
	return nil
}

// checkNeeds returns a *publisher.FieldError for the first request that is out of range. A
// negative one would count as free capacity.
func (s *Step) checkNeeds(field string) error {
	if err := publisher.CheckRange(field+".processor-millis", s.Needs.ProcessorMillis, 0, maxProcessorMillis); err != nil {
		return err
	}
	if err := publisher.CheckRange(field+".memory-bytes", s.Needs.MemoryBytes, 0, maxMemoryBytes); err != nil {
		return err
	}
	if err := publisher.CheckRange(field+".accelerators", s.Needs.Accelerators, 0, maxAccelerators); err != nil {
		return err
	}
	return publisher.CheckRange(field+".estimate-millis", s.EstimateMillis, 0, MaxEstimateMillis)
}
