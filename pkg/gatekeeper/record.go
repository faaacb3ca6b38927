package gatekeeper

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// state is the life cycle of a request at the gate.
type state int

const (
	stateWaiting state = iota + 1
	stateRunning
	stateAnswered
	stateFailed
	stateFenced
)

// record is what the gate remembers of a request id.
type record struct {
	start      framer.Start
	peer       string
	state      state
	acceptedAt time.Time
	deadline   time.Time
	startedAt  time.Time
	forgetAt   time.Time
	answer     *Result
	reason     framer.Reason
	fencedUpTo int
}

// Result is what the endpoint gave for a request that was run.
type Result struct {
	// Status is the endpoint's HTTP status; nought when there was no whole answer.
	Status      int
	ContentType string
	Body        []byte
	// Failure is set when the request may have run but gave no whole answer.
	Failure framer.Reason
	// NotStarted is set when the endpoint provably never got the request.
	NotStarted framer.Reason
}

// Run tells the agent to start a request on its endpoint.
type Run struct {
	Start    framer.Start
	Deadline time.Time
}

// Send tells the agent to send a frame to a peer, if it has a link to it.
type Send struct {
	Peer  string
	Frame framer.Frame
}

// Action is one outward act the gate decided on; exactly one field is set.
type Action struct {
	Run  *Run
	Send *Send
}
