// Package placer decides which worker runs which task of one cell. It keeps
// the ledger of what each worker is committed to, and does no I/O: it turns
// reports and confirmations into rows to commit and commands to workers.
package placer

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/qmuntal/stateless"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Class tells latency-critical tasks from batch tasks.
type Class string

// The classes of tasks.
const (
	ClassBatch           Class = "batch"
	ClassLatencyCritical Class = "latency-critical"
)

// State is where a task stands in its life cycle.
type State string

// The states of a task.
const (
	// StateAccepted: on record, waiting for a worker.
	StateAccepted State = "accepted"
	// StatePlaced: bound to a worker, which may have started it.
	StatePlaced State = "placed"
	// StateRunning: the worker said that it runs.
	StateRunning State = "running"
	// StateEvicting: asked to write a checkpoint and stop.
	StateEvicting State = "evicting"
	// StateCancelling: asked to stop for good.
	StateCancelling State = "cancelling"
	// StateDone, StateFailed and StateCancelled are final.
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// Final tells whether the state is never left.
func (s State) Final() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// trigger moves a task from state to state.
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

// Spec is what a team asks for.
type Spec struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Service string `json:"service,omitempty"`
	Class   Class  `json:"class"`
	// Kind groups batch tasks that behave alike, to learn what they slow.
	Kind    string              `json:"kind,omitempty"`
	Urgency int                 `json:"urgency"`
	Needs   publisher.Resources `json:"needs"`
	// Replica is the index of a latency-critical task among its service's.
	Replica int `json:"replica,omitempty"`
	// RunTimeMillis is how long the task is expected to run.
	RunTimeMillis int64 `json:"run-time-millis"`
}

// Task is a task and all that must outlive its cell's owner.
type Task struct {
	Spec       Spec      `json:"spec"`
	State      State     `json:"state"`
	AcceptedAt time.Time `json:"accepted-at"`
	// Worker, WorkerIncarnation and Start bind a start to one place: Start
	// counts the placements of the task.
	Worker            string `json:"worker,omitempty"`
	WorkerIncarnation uint64 `json:"worker-incarnation,omitempty"`
	Start             int    `json:"start"`
	// Checkpoint names the object that the next start resumes from.
	Checkpoint string `json:"checkpoint,omitempty"`
	// Failures counts starts that ended in failure.
	Failures int `json:"failures,omitempty"`
	// Evictions counts starts that were evicted.
	Evictions int `json:"evictions,omitempty"`
	// EndedAt is when the task came to its final state.
	EndedAt time.Time `json:"ended-at,omitzero"`
	Reason  string    `json:"reason,omitempty"`
}

// newLifeCycle returns the machine that moves the task that current returns.
func newLifeCycle(current func() *Task) *stateless.StateMachine {
	machine := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (stateless.State, error) { return current().State, nil },
		func(_ context.Context, s stateless.State) error {
			state, ok := s.(State)
			if !ok {
				return errors.AssertionFailedf("%v is not a task's state", s)
			}
			current().State = state
			return nil
		},
		stateless.FiringImmediate,
	)
	machine.Configure(StateAccepted).
		Permit(triggerPlace, StatePlaced).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelled)
	machine.Configure(StatePlaced).
		Permit(triggerRun, StateRunning).
		Permit(triggerReturn, StateAccepted).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelling)
	machine.Configure(StateRunning).
		Permit(triggerEvict, StateEvicting).
		Permit(triggerReturn, StateAccepted).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelling)
	machine.Configure(StateEvicting).
		Permit(triggerReturn, StateAccepted).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed).
		Permit(triggerCancel, StateCancelling)
	machine.Configure(StateCancelling).
		Permit(triggerStop, StateCancelled).
		Permit(triggerDone, StateDone).
		Permit(triggerFail, StateFailed)
	return machine
}
