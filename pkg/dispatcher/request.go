// Package dispatcher carries each request of an entry from acceptance to its
// one outcome: turn, choice of endpoint, attempts, fencing, retries, deadline.
// It does no I/O; it turns events into actions.
package dispatcher

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// OutcomeKind is what an answer says of a request.
type OutcomeKind string

// The three outcomes of a request.
const (
	// Answered: the whole answer of the endpoint is there.
	Answered OutcomeKind = "answered"
	// NotRun: the request has not started and never will.
	NotRun OutcomeKind = "not-run"
	// Unknown: the request may have run.
	Unknown OutcomeKind = "unknown"
)

// Outcome ends a request.
type Outcome struct {
	Kind        OutcomeKind
	Reason      framer.Reason
	RetryAfter  time.Duration
	Attempts    int
	Status      int
	ContentType string
	Body        []byte
}

// Request is what a caller asked for. ID is unique to this submission;
// CallerID is the caller's own id, if it gave one.
type Request struct {
	ID          string
	CallerID    string
	Service     string
	Kind        string
	Idempotent  bool
	AcceptedAt  time.Time
	Deadline    time.Time
	ContentType string
	Body        []byte
}

// Stage is the life cycle of a request at an entry.
type Stage int

// The stages of a request.
const (
	StageClaiming Stage = iota + 1
	StageQueued
	StageDelayed
	StageSent
	StageFencing
	StageDone
)

// String implements fmt.Stringer.
func (s Stage) String() string {
	names := [...]string{"none", "claiming", "queued", "delayed", "sent", "fencing", "done"}
	return names[s]
}

// request is a Request on its way.
type request struct {
	Request
	stage       Stage
	attempt     int
	address     string
	incarnation uint64
	sentAt      time.Time
	// mayHaveRun is set once an attempt may have started and was given up.
	mayHaveRun bool
	claimed    bool
	backoff    time.Duration

	parts       [][]byte
	partBytes   int
	status      int
	contentType string
}

// Send asks for a frame to be sent to an endpoint's agent.
type Send struct {
	Address string
	Frame   framer.Frame
}

// Finish hands a request's outcome to its caller.
type Finish struct {
	ID      string
	Outcome Outcome
}

// Claim asks the platform's table to record a caller's id, once.
type Claim struct {
	ID       string
	Service  string
	CallerID string
	// Deadline is that of the request; the claim must outlast it.
	Deadline time.Time
}

// Release asks the table to give a claim back, because nothing ran under it.
type Release struct {
	ID       string
	Service  string
	CallerID string
	Deadline time.Time
}

// Action is one outward act; exactly one field is set.
type Action struct {
	Send    *Send
	Finish  *Finish
	Claim   *Claim
	Release *Release
}
