// Package framer defines the messages that the system's processes exchange and
// encodes them as CBOR frames of bounded size.
package framer

import "time"

// ProtocolVersion is sent in each hello; both ends of a link must have the same
// version.
const ProtocolVersion = 1

// Role is the kind of process at one end of a link.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Reason is why a request was not run, or why its outcome is unknown.
type Reason string

// The reasons that are sent in refusals and in answers to callers.
const (
	ReasonBusy             Reason = "busy"
	ReasonLeaving          Reason = "leaving"
	ReasonExpired          Reason = "deadline-passed"
	ReasonTooShort         Reason = "deadline-too-short"
	ReasonFenced           Reason = "fenced"
	ReasonDuplicate        Reason = "duplicate-request"
	ReasonUnknownKind      Reason = "unknown-kind"
	ReasonOverloaded       Reason = "overloaded"
	ReasonQueueFull        Reason = "queue-full"
	ReasonNoEndpoint       Reason = "no-endpoint"
	ReasonEndpointDown     Reason = "endpoint-down"
	ReasonRetryBudget      Reason = "retry-budget-spent"
	ReasonStoreUnavailable Reason = "store-unavailable"
	ReasonLinkLost         Reason = "link-lost"
	ReasonEndpointReplaced Reason = "endpoint-replaced"
	ReasonBrokenAnswer     Reason = "broken-answer"
)

// Hello is the first frame in each direction of a link. It identifies the
// sender.
type Hello struct {
	Version       int    `cbor:"version"`
	Role          Role   `cbor:"role"`
	Address       string `cbor:"address"`
	FailureDomain string `cbor:"failure-domain"`
	Service       string `cbor:"service,omitempty"`
	Incarnation   uint64 `cbor:"incarnation"`
}

// KindFreeSlots is the number of further requests of a kind that a gate would
// admit now.
type KindFreeSlots struct {
	Kind      string `cbor:"kind"`
	FreeSlots int    `cbor:"room"`
}

// Load is a gate's state as reported on one link. StartsReceived counts the
// starts that the gate had received on that link, so that the entry can
// determine which of its own starts the figures include.
type Load struct {
	Running        int             `cbor:"running"`
	Waiting        int             `cbor:"waiting"`
	Slots          int             `cbor:"slots"`
	Leaving        bool            `cbor:"leaving,omitempty"`
	StartsReceived uint64          `cbor:"seen"`
	FreeSlots      []KindFreeSlots `cbor:"rooms"`
}

// Heartbeat shows that one direction of a link works. Echo is the latest
// sequence number received from the other end.
type Heartbeat struct {
	Sequence uint64 `cbor:"sequence"`
	Echo     uint64 `cbor:"echo"`
}

// Start requests that a gate run a request. Remaining is the time left until
// the deadline and Age the time since acceptance, both at the time of sending.
type Start struct {
	ID          string        `cbor:"id"`
	Attempt     int           `cbor:"attempt"`
	Kind        string        `cbor:"kind"`
	Idempotent  bool          `cbor:"idempotent,omitempty"`
	Remaining   time.Duration `cbor:"remaining"`
	Age         time.Duration `cbor:"age"`
	ContentType string        `cbor:"content-type,omitempty"`
	Body        []byte        `cbor:"body"`
}

// Refused reports that an attempt was not run and never will be.
type Refused struct {
	ID      string `cbor:"id"`
	Attempt int    `cbor:"attempt"`
	Reason  Reason `cbor:"reason"`
}

// Answer carries one part of an endpoint's answer. Parts are numbered from
// zero; Last marks the final one.
type Answer struct {
	ID          string `cbor:"id"`
	Attempt     int    `cbor:"attempt"`
	Part        int    `cbor:"part"`
	Last        bool   `cbor:"last,omitempty"`
	Status      int    `cbor:"status,omitempty"`
	ContentType string `cbor:"content-type,omitempty"`
	Body        []byte `cbor:"body"`
}

// Failed reports that an attempt started but returned no answer; it may have
// run.
type Failed struct {
	ID      string `cbor:"id"`
	Attempt int    `cbor:"attempt"`
	Reason  Reason `cbor:"reason"`
}

// Fence requests that a gate ensure that an attempt either has started already
// or never will. RetainFor is how long the gate must keep the fence.
type Fence struct {
	ID        string        `cbor:"id"`
	Attempt   int           `cbor:"attempt"`
	RetainFor time.Duration `cbor:"remember"`
}

// FenceState is the state of a fenced attempt as its gate reports it.
type FenceState string

// The states of a fenced attempt.
const (
	FenceNeverStarted FenceState = "never-started"
	FenceRunning      FenceState = "running"
	FenceAnswered     FenceState = "answered"
	FenceFailed       FenceState = "failed"
)

// Fenced is the response to a Fence. If the state is FenceAnswered, the frames
// of the answer follow on the same link.
type Fenced struct {
	ID      string     `cbor:"id"`
	Attempt int        `cbor:"attempt"`
	State   FenceState `cbor:"state"`
}

// MemberState is whether a process accepts new work.
type MemberState string

// The states of a member.
const (
	MemberServing MemberState = "serving"
	MemberLeaving MemberState = "leaving"
)

// Member announces one process. A higher incarnation replaces a lower one. Age
// is the time since the last message from the process itself.
type Member struct {
	Role          Role          `cbor:"role"`
	Address       string        `cbor:"address"`
	FailureDomain string        `cbor:"failure-domain"`
	Service       string        `cbor:"service,omitempty"`
	Incarnation   uint64        `cbor:"incarnation"`
	State         MemberState   `cbor:"state"`
	Age           time.Duration `cbor:"age"`
}

// Members carries the sender's view of the system's processes and a digest of
// the service documents that it has. The response carries documents if the
// digests differ.
type Members struct {
	Members   []Member   `cbor:"members"`
	Digest    uint64     `cbor:"digest"`
	Documents []Document `cbor:"documents,omitempty"`
}

// Document carries one accepted version of a service document.
type Document struct {
	Service string `cbor:"service"`
	Version uint64 `cbor:"version"`
	Text    string `cbor:"text"`
}

// Documents carries the latest documents that the sender has.
type Documents struct {
	Documents []Document `cbor:"documents"`
}

// Leave requests that an agent drain its endpoint. Who is the operator who made
// the request.
type Leave struct {
	Who string `cbor:"who"`
}

// Frame is one message on a link; exactly one field is set.
type Frame struct {
	Hello     *Hello     `cbor:"hello,omitempty"`
	Heartbeat *Heartbeat `cbor:"heartbeat,omitempty"`
	Start     *Start     `cbor:"start,omitempty"`
	Refused   *Refused   `cbor:"refused,omitempty"`
	Answer    *Answer    `cbor:"answer,omitempty"`
	Failed    *Failed    `cbor:"failed,omitempty"`
	Fence     *Fence     `cbor:"fence,omitempty"`
	Fenced    *Fenced    `cbor:"fenced,omitempty"`
	Load      *Load      `cbor:"load,omitempty"`
	Members   *Members   `cbor:"members,omitempty"`
	Documents *Documents `cbor:"documents,omitempty"`
	Leave     *Leave     `cbor:"leave,omitempty"`
	Sync      *Sync      `cbor:"sync,omitempty"`
	Report    *Report    `cbor:"report,omitempty"`
}
