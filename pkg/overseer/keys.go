package overseer

import (
	"strings"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/placer"
)

// cancelSuffix marks inbox rows that ask for a cancellation.
const cancelSuffix = "+cancel"

// Accepted is the value of an inbox row: a task that an entry took in.
type Accepted struct {
	Spec placer.Spec `json:"spec"`
	At   time.Time   `json:"at"`
}

// A task's id starts with its cell's name, so that all rows of a cell's tasks
// stand together.

// CellKey is the key of a cell's row.
func CellKey(cell string) string {
	return "cell/" + cell
}

// TaskKey is the key of a task's row.
func TaskKey(id string) string {
	return "task/" + id
}

// EndedKey is the key of the row of a task that has ended. Such rows stand
// apart, so that a new owner reads only what is still to be done.
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
