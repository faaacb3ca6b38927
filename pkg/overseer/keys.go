package overseer

import (
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
)

// cancelSuffix marks inbox rows that request a cancellation.
const cancelSuffix = "+cancel"

// AcceptedTask is the value of an inbox row: a task that an entry accepted.
type AcceptedTask struct {
	Spec placer.Spec `json:"spec"`
	At   time.Time   `json:"at"`
}

// The id of a task starts with the name of its cell, so that the rows of all
// tasks of a cell have a common prefix.

// CellKey returns the key of a cell's row.
func CellKey(cell string) string {
	return "cell/" + cell
}

// TaskKey returns the key of a task's row.
func TaskKey(id string) string {
	return "task/" + id
}

// EndedKey returns the key of the row of an ended task. Such rows have their own
// prefix, so that a new owner reads only unfinished tasks.
func EndedKey(id string) string {
	return "ended/" + id
}

func endedPrefix(cell string) string {
	return "ended/" + cell + "/"
}

func taskPrefix(cell string) string {
	return "task/" + cell + "/"
}

func inboxPrefix(cell string) string {
	return "inbox/" + cell + "/"
}

func inboxKey(id string) string {
	return "inbox/" + id
}

func cancelKey(id string) string {
	return inboxKey(id) + cancelSuffix
}

func isCancel(key string) bool {
	return strings.HasSuffix(key, cancelSuffix)
}
