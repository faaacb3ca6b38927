package placer

import "github.com/bilberrywalk/bilberrywalk/pkg/publisher"

// Row is a task's row to be written. Expect is the version that it replaces.
// FromInbox deletes the inbox row under which the task was accepted.
type Row struct {
	Task      Task
	Expect    uint64
	FromInbox bool
}

// Commit is a set of rows to be written in one transaction.
type Commit struct {
	Rows []Row
	// Cancels are the ids of the tasks whose cancellation rows are deleted from
	// the inbox by the transaction.
	Cancels []string
	// Audit are the rows to be added to the audit trail.
	Audit []publisher.AuditRow
}

// CommandKind is the action that a worker is requested to perform.
type CommandKind string

// The commands to a worker.
const (
	CommandStart      CommandKind = "start"
	CommandStop       CommandKind = "stop"
	CommandEvict      CommandKind = "evict"
	CommandForget     CommandKind = "forget"
	CommandThrottle   CommandKind = "throttle"
	CommandUnthrottle CommandKind = "release"
)

// Command is a request to a worker about one start of a task. A stop command
// also forbids a start that has not arrived yet.
type Command struct {
	Kind       CommandKind         `json:"kind"`
	ID         string              `json:"id"`
	Start      int                 `json:"start"`
	Needs      publisher.Resources `json:"needs"`
	Checkpoint string              `json:"checkpoint,omitempty"`
	RunMillis  int64               `json:"run-millis,omitempty"`
	Class      Class               `json:"class,omitempty"`
	Service    string              `json:"service,omitempty"`
	TaskKind   string              `json:"task-kind,omitempty"`
}

// Sync is the body of one call to a worker: a lease, which ends at a time of the
// worker's own clock, and commands. A worker rejects epochs below the highest it
// has seen. It ignores lease and commands that are meant for another
// incarnation: the clock of that incarnation differs, and the tasks placed on it
// go back to the queue.
type Sync struct {
	Worker           string    `json:"worker"`
	Cell             string    `json:"cell"`
	Epoch            uint64    `json:"epoch"`
	Incarnation      uint64    `json:"incarnation"`
	LeaseUntilMillis int64     `json:"lease-until-millis"`
	Commands         []Command `json:"commands"`
}
