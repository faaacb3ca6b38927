// Package supervisor is the part of an agent that runs tasks. Only the agent
// calls the runner beside it. It starts and stops runs as the owner of the cell
// requests, renews the runner's lease within the bounds granted by the owner,
// and reports running and finished runs. Core makes the decisions; Agent does
// the I/O.
package supervisor

import (
	"context"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Refusal is the reason why a runner refused a call. It is empty if the call
// was accepted.
type Refusal string

// The refusals of a runner. A refused call has had no effect.
const (
	// RefusalFenced: the runner has received a higher epoch.
	RefusalFenced Refusal = "fenced"
	// RefusalStaleRun: the runner has already had this run or a later one of the
	// task.
	RefusalStaleRun Refusal = "old"
	// RefusalLeaseExpired: the lease in the call has expired.
	RefusalLeaseExpired Refusal = "late"
	// RefusalNoCapacity: the free capacity is too small for the run.
	RefusalNoCapacity Refusal = "room"
	// RefusalUnhealthy: the runner accepts no runs at present.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalWrongIncarnation: the call was addressed to another incarnation of
	// the runner.
	RefusalWrongIncarnation Refusal = "other-life"
	// RefusalMalformed: the runner cannot decode the call.
	RefusalMalformed Refusal = "malformed"
)

// Answer is the response of a runner to a start, a stop or a speed change.
type Answer struct {
	Refusal     Refusal
	ClockMillis int64
}

// Listing is the response of a runner to a lease renewal: its running and
// finished runs.
type Listing struct {
	Refusal         Refusal
	ClockMillis     int64
	StartedAtMillis int64
	Running         []framer.RunStatus
	Finished        []framer.FinishedRun
	// Malformed lists why rows of the listing were skipped.
	Malformed []error
}

// CallHeader is the part common to all calls to a runner.
type CallHeader struct {
	Runner framer.RunnerKey
	Epoch  uint64
	// LeaseUntilMillis is the end of the lease on the runner's clock; 0 renews
	// nothing.
	LeaseUntilMillis int64
}

// NotSentError reports that a call to the runner failed before any of it was
// sent, so that the runner will never carry it out.
type NotSentError struct {
	Cause string
}

// Error implements error.
func (e *NotSentError) Error() string {
	return "call not sent: " + e.Cause
}

// Runner calls the runner beside the agent. Each function returns an error if
// there was no response; the runner may still carry out the call later, unless
// the error is a *NotSentError.
type Runner struct {
	Start    func(ctx context.Context, h CallHeader, start framer.RunStart) (Answer, error)
	Stop     func(ctx context.Context, h CallHeader, ref framer.RunRef) (Answer, error)
	SetSpeed func(ctx context.Context, h CallHeader, ref framer.RunRef, percent int) (Answer, error)
	// RenewLease renews the lease, lets the runner drop its finished runs up to
	// ackedSequence and lists the others. It is a long poll: the runner responds
	// after at most wait, or earlier if a run finishes.
	RenewLease func(ctx context.Context, h CallHeader, ackedSequence int64, wait time.Duration) (Listing, error)
}

// Heartbeat is the state that a runner sends to its agent.
type Heartbeat struct {
	Info framer.RunnerInfo
	// Sequence increases with each heartbeat of an incarnation.
	Sequence int64
}
