// Package holder is the agent's side of running tasks: it alone speaks to the
// runner beside it. It starts and stops runs as the owner of the cell says,
// renews the runner's lease within what the owner granted, and reports what
// runs and what has ended. Core decides; Agent carries out.
package holder

import (
	"context"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// Refusal is why a runner did not do what it was told; empty if it did.
type Refusal string

// The refusals of a runner. After each of them the call has done nothing.
const (
	// RefusalFenced: the runner has heard a higher epoch.
	RefusalFenced Refusal = "fenced"
	// RefusalStaleRun: this run or a later one of the task was there already.
	RefusalStaleRun Refusal = "old"
	// RefusalLeaseExpired: the lease that came with the call has passed.
	RefusalLeaseExpired Refusal = "late"
	// RefusalNoCapacity: the run doesn't fit.
	RefusalNoCapacity Refusal = "room"
	// RefusalUnhealthy: the runner takes nothing now.
	RefusalUnhealthy Refusal = "unhealthy"
	// RefusalWrongIncarnation: the runner is not the one that was meant.
	RefusalWrongIncarnation Refusal = "other-life"
	// RefusalMalformed: the runner doesn't understand the call.
	RefusalMalformed Refusal = "malformed"
)

// Answer is a runner's answer to an order.
type Answer struct {
	Refusal     Refusal
	ClockMillis int64
}

// Listing is all that a runner lists.
type Listing struct {
	Refusal         Refusal
	ClockMillis     int64
	StartedAtMillis int64
	Running         []framer.RunStatus
	Finished        []framer.FinishedRun
}

// CallHeader names what each call to a runner carries.
type CallHeader struct {
	Runner framer.RunnerKey
	Epoch  uint64
	// LeaseUntilMillis is in the runner's clock; nought renews nothing.
	LeaseUntilMillis int64
}

// Runner is the runner beside the agent. Each function returns an error when
// there was no answer; the call may then still be carried out.
type Runner struct {
	Start    func(ctx context.Context, o CallHeader, start framer.RunStart) (Answer, error)
	Stop     func(ctx context.Context, o CallHeader, ref framer.RunRef) (Answer, error)
	SetSpeed func(ctx context.Context, o CallHeader, ref framer.RunRef, percent int) (Answer, error)
	// RenewLease renews the lease, forgets ends up to endsSeen and lists the rest;
	// it waits up to wait for an end.
	RenewLease func(ctx context.Context, o CallHeader, endsSeen int64, wait time.Duration) (Listing, error)
}

// Heartbeat is what a runner says of itself.
type Heartbeat struct {
	Info framer.RunnerInfo
	// Sequence rises with each beat of one life.
	Sequence int64
}
