// Package dispatcher handles each request of an entry from acceptance to its
// only outcome: queueing, choice of endpoint, attempts, fencing, retries and
// deadline. It does no I/O; it turns events into actions.
package dispatcher

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

// OutcomeKind is the kind of a request's outcome.
type OutcomeKind string

// The three outcomes of a request.
const (
	// Answered: the complete answer of the endpoint was received.
	Answered OutcomeKind = "answered"
	// NotRun: the request has not started and will not start.
	NotRun OutcomeKind = "not-run"
	// Unknown: the request may have run.
	Unknown OutcomeKind = "unknown"
)

// Outcome is the final result of a request. Status, ContentType and Body are set
// for Answered, Reason for the other kinds.
type Outcome struct {
	Kind        OutcomeKind
	Reason      framer.Reason
	RetryAfter  time.Duration
	Attempts    int
	Status      int
	ContentType string
	Body        []byte
}

// Request is a caller's request. ID is unique to this submission; CallerID is the
// id that the caller chose, if any.
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

// Stage is the stage of a request's life cycle at an entry.
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

// request is a Request with the state of its processing.
type request struct {
	Request
	stage       Stage
	attempt     int
	address     string
	incarnation uint64
	sentAt      time.Time
	// mayHaveRun is set once an attempt that may have started was abandoned.
	mayHaveRun bool
	// lostAttempts counts the attempts that may have run and gave no answer.
	lostAttempts int
	// claimed is set if a claim for the request may have taken effect.
	claimed bool
	backoff time.Duration

	answerParts [][]byte
	answerBytes int
	status      int
	contentType string
}

// Send is the action of sending a frame to an endpoint's agent.
type Send struct {
	Address string
	Frame   framer.Frame
}

// Finish is the action of delivering a request's outcome to its caller.
type Finish struct {
	ID      string
	Outcome Outcome
}

// Claim is the action of recording a caller's id, once, in the platform's table.
type Claim struct {
	ID       string
	Service  string
	CallerID string
	// Deadline is that of the request; the claim must be kept beyond it.
	Deadline time.Time
}

// Release is the action of releasing a claim in the table because nothing ran
// under it.
type Release struct {
	ID       string
	Service  string
	CallerID string
	Deadline time.Time
}

// Action is an action for the entry to execute; exactly one field is set.
type Action struct {
	Send    *Send
	Finish  *Finish
	Claim   *Claim
	Release *Release
}
