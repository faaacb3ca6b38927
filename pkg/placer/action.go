package placer

import "github.com/bilberrywalk/bilberrywalk/pkg/publisher"

// Row is a task's row as it is to be written; Expect is the version that it
// replaces. FromInbox deletes the row under which the task was accepted.
type Row struct {
	Task      Task
	Expect    uint64
	FromInbox bool
}

// Commit is a set of rows to be written in one transaction.
type Commit struct {
	Rows []Row
	// Cancels are the inbox rows of cancellations to be deleted with it.
	Cancels []string
	// Audit are the lines to be added to the audit trail.
	Audit []publisher.AuditRow
}

// CommandKind tells what a worker is asked to do.
type CommandKind string

// The commands to a worker.
const (
	CommandStart    CommandKind = "start"
	CommandStop     CommandKind = "stop"
	CommandEvict    CommandKind = "evict"
	CommandForget   CommandKind = "forget"
	CommandThrottle CommandKind = "throttle"
	CommandRelease  CommandKind = "release"
)

// Command is a request to a worker about one start of a task. A stop also
// forbids a start that has not arrived yet.
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

// Sync is all that is sent to a worker at once: a lease in the worker's own
// clock, and commands. A worker refuses epochs below the highest it has seen,
// and passes over lease and commands that are meant for another incarnation:
// its clock is another one, and what was placed on its predecessor will be
// placed elsewhere.
type Sync struct {
	Worker           string    `json:"worker"`
	Cell             string    `json:"cell"`
	Epoch            uint64    `json:"epoch"`
	Incarnation      uint64    `json:"incarnation"`
	LeaseUntilMillis int64     `json:"lease-until-millis"`
	Commands         []Command `json:"commands"`
}
