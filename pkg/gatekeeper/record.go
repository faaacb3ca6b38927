package gatekeeper

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// state is the position of a request in its life cycle at the gate.
type state int

const (
	stateWaiting state = iota + 1
	stateRunning
	stateAnswered
	stateFailed
	stateFenced
)

// record is the state that the gate keeps for a request id.
type record struct {
	start      framer.Start
	peer       string
	state      state
	acceptedAt time.Time
	deadline   time.Time
	startedAt  time.Time
	evictAt    time.Time
	answer     *Result
	reason     framer.Reason
	fencedUpTo int
}

// Result is the outcome of a request that was sent to the endpoint.
type Result struct {
	// Status is the endpoint's HTTP status, or 0 if the response was incomplete
	// or missing.
	Status      int
	ContentType string
	Body        []byte
	// Failure is set if the request may have run but no complete response was
	// received.
	Failure framer.Reason
	// NotStarted is set if it is certain that the endpoint did not receive the
	// request.
	NotStarted framer.Reason
}

// Run instructs the agent to send a request to its endpoint.
type Run struct {
	Start    framer.Start
	Deadline time.Time
}

// Send instructs the agent to send a frame to a peer if a link to it is open.
type Send struct {
	Peer  string
	Frame framer.Frame
}

// Action is one output of the gate for the agent to carry out. Exactly one
// field is set.
type Action struct {
	Run  *Run
	Send *Send
}
