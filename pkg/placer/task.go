// Package placer decides which worker runs which task of one cell. It keeps the
// resource allocations of each worker and does no I/O: it turns reports and
// commit confirmations into rows to commit and commands to workers.
package placer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Class distinguishes latency-critical tasks from batch tasks.
type Class string

// The classes of tasks.
const (
	ClassBatch           Class = "batch"
	ClassLatencyCritical Class = "latency-critical"
)

// State is the state of a task in its life cycle.
type State string

// The states of a task.
const (
	// StateAccepted: committed, waiting for a worker.
	StateAccepted State = "accepted"
	// StatePlaced: bound to a worker, which may have started it.
	StatePlaced State = "placed"
	// StateRunning: reported as running by the worker.
	StateRunning State = "running"
	// StateEvicting: the worker is to write a checkpoint and stop the task.
	StateEvicting State = "evicting"
	// StateCancelling: the worker is to stop the task permanently.
	StateCancelling State = "cancelling"
	// StateDone, StateFailed and StateCancelled are final.
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final reports whether no further transition is possible.
func (s State) Final() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// trigger is an event that moves a task from one state to another.
type trigger string

const (
	triggerPlace  trigger = "place"
	triggerRun    trigger = "run"
	triggerEvict  trigger = "evict"
	triggerCancel trigger = "cancel"
	triggerReturn trigger = "return"
	triggerDone   trigger = "done"
	triggerFail   trigger = "fail"
	triggerStop   trigger = "stop"
)

// Spec is the specification of a task, as submitted by a team.
type Spec struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service,omitempty"`
	Class   Class  `json:"class"`
	// Kind groups batch tasks with similar behaviour, to learn which services they
	// slow.
	Kind    string              `json:"kind,omitempty"`
	Urgency int                 `json:"urgency"`
	Needs   publisher.Resources `json:"needs"`
	// Replica is the index of a latency-critical task among the replicas of its
	// service.
	Replica int `json:"replica,omitempty"`
	// RunTimeMillis is the expected run time of the task in milliseconds.
	RunTimeMillis int64 `json:"run-time-millis"`
}

// Task is a task with all state that must survive a change of its cell's owner.
type Task struct {
	Spec       Spec      `json:"spec"`
	State      State     `json:"state"`
	AcceptedAt time.Time `json:"accepted-at"`
	// Worker, WorkerIncarnation and Start bind a start to one worker: Start counts
	// the placements of the task.
	Worker            string `json:"worker,omitempty"`
	WorkerIncarnation uint64 `json:"worker-incarnation,omitempty"`
	Start             int    `json:"start"`
	// Checkpoint names the object that the next start resumes from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures counts starts that failed.
	Failures int `json:"failures,omitempty"`
	// Released lists the last starts that were given up because of an expired lease. If
	// one of them failed, that was not counted.
	Released []int `json:"released,omitempty"`
	// Crashes counts the workers in a row that were replaced under the task, and Lapses lists
	// its starts under which a worker may have crashed.
	Crashes int     `json:"crashes,omitempty"`
	Lapses  []Lapse `json:"lapses,omitempty"`
	// Evictions counts starts that were evicted.
	Evictions int `json:"evictions,omitempty"`
	// EndedAt is when the task reached its final state.
	EndedAt time.Time `json:"ended-at,omitzero"`
	Reason  string    `json:"reason,omitempty"`
}

// newLifeCycle returns the state machine for the task that current returns.
func newLifeCycle(current func() *Task) *stateless.StateMachine {
	stateMachine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return current().State, nil },
		func(_ context.Context, s stateless.State) error {
			state, ok := s.(State)
			if !ok {
				return errors.AssertionFailedf("invalid task state %v", s)
			}
			current().State = state
			return nil
		},
		stateless.FiringImmediate,
	)
	stateMachine.Configure(StateAccepted).
		Permit(triggerPlace, StatePlaced).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelled)
	stateMachine.Configure(StatePlaced).
		Permit(triggerRun, StateRunning).
		Permit(triggerReturn, StateAccepted).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelling)
	stateMachine.Configure(StateRunning).
		Permit(triggerEvict, StateEvicting).
		Permit(triggerReturn, StateAccepted).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelling)
	stateMachine.Configure(StateEvicting).
		Permit(triggerReturn, StateAccepted).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelling)
	stateMachine.Configure(StateCancelling).
		Permit(triggerStop, StateCancelled).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed)
	return stateMachine
}
