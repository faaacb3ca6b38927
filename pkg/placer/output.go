package placer

import (
	"maps"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// Commit returns the rows that changed since the last commit, and whether there is
// anything to write. It must not be called again before Committed.
func (c *Cell) Commit() (Commit, bool) {
	var commit Commit
	for _, id := range slices.Sorted(maps.Keys(c.changed)) {
		if len(commit.Rows) == maxCommitRows {
			break
		}
		e := c.changed[id]
		delete(c.changed, id)
		e.inFlight = true
		commit.Rows = append(commit.Rows, Row{
			Task:      e.Task,
			Expect:    e.version,
			FromInbox: e.fromInbox,
		})
	}
	commit.Cancels = c.cancels
	commit.Audit = c.audit
	c.cancelsInFlight = c.cancels
	c.cancels = nil
	c.audit = nil
	return commit, len(commit.Rows) > 0 || len(commit.Cancels) > 0 || len(commit.Audit) > 0
}

// Committed records that the rows of the last commit are in the table.
func (c *Cell) Committed(now time.Time, commit Commit) {
	c.now = now
	c.cancelsInFlight = nil
	for _, row := range commit.Rows {
		e := c.tasks[row.Task.Spec.ID]
		e.inFlight = false
		e.fromInbox = false
		e.version = row.Expect + 1
		e.committed = row.Task.State
		e.committedStart = row.Task.Start
		if row.Task.State.Final() {
			delete(c.tasks, row.Task.Spec.ID)
		}
	}
}

// Sync returns the next call to a worker. With mayStart false it only renews the
// lease and sends commands other than starts. While a proof is due that the last lease has
// expired, it only asks for a report.
func (c *Cell) Sync(now time.Time, address string, mayStart bool) Sync {
	c.now = now
	w := c.workers[address]
	s := Sync{
		Worker: address,
		Cell:   c.name,
		Epoch:  c.epoch,
	}
	if !w.registered {
		return s
	}
	s.Incarnation = w.incarnation
	if w.expiry.due {
		// A worker carries out no command without a lease.
		return s
	}
	s.LeaseUntilMillis = w.clockMillis + TaskLease.Milliseconds()
	w.leaseUntilMillis = max(w.leaseUntilMillis, s.LeaseUntilMillis)
	w.leaseEnd = w.clockAt.Add(TaskLease)
	c.withdrawStarts(w)
	for _, e := range w.placed() {
		if command, ok := c.command(e, mayStart); ok {
			s.Commands = append(s.Commands, command)
		}
	}
	return s
}

// withdrawStarts withdraws the starts that a worker has not reported yet if it has become
// too small for what is placed on it. A former owner may have sent them.
func (c *Cell) withdrawStarts(w *worker) {
	if w.allocations.Fits(publisher.Resources{}) {
		return
	}
	for _, e := range w.placed() {
		if e.State == StatePlaced && !e.confirmed {
			e.withdrawn = true
		}
	}
}

// command returns the command for a task that is placed on a worker, if one is
// due. A start is sent only after its row has been committed.
func (c *Cell) command(e *trackedTask, mayStart bool) (Command, bool) {
	command := Command{
		ID:    e.Spec.ID,
		Start: e.Start,
	}
	if e.withdrawn {
		command.Kind = CommandStop
		return command, true
	}
	switch e.State {
	case StateCancelling:
		command.Kind = CommandStop
		return command, true
	case StateEvicting:
		command.Kind = CommandEvict
		return command, true
	case StatePlaced:
		committed := e.committed == StatePlaced && e.committedStart == e.Start
		if !committed || e.confirmed || !mayStart {
			return command, false
		}
		e.sent = true
		command.Kind = CommandStart
		command.Needs = e.Spec.Needs
		command.Checkpoint = e.Checkpoint
		command.RunMillis = e.Spec.RunTimeMillis
		command.Class = e.Spec.Class
		command.Service = e.Spec.Service
		command.TaskKind = e.Spec.Kind
		return command, true
	case StateRunning:
		if e.throttled == e.reportedThrottled {
			return command, false
		}
		command.Kind = CommandUnthrottle
		if e.throttled {
			command.Kind = CommandThrottle
		}
		return command, true
	default:
		return command, false
	}
}

// StaleRunCommands returns the commands that stop or drop starts that a worker
// reports but should not have: those that are over, or that belong to another
// worker. There are none while a proof is due that the worker's lease has expired.
func (c *Cell) StaleRunCommands(address string, r Report) []Command {
	if c.workers[address].expiry.due {
		return nil
	}
	var commands []Command
	for _, t := range r.Tasks {
		e := c.tasks[t.ID]
		current := e != nil && e.Worker == address && e.Start == t.Start && !e.State.Final()
		if current {
			continue
		}
		kind := CommandStop
		if t.State != RunRunning {
			kind = CommandForget
		}
		if kind == CommandForget && e != nil && c.hasUncommittedChange(e) {
			// The row must record the end of this start before the worker drops it.
			continue
		}
		commands = append(commands, Command{
			Kind:  kind,
			ID:    t.ID,
			Start: t.Start,
		})
	}
	return commands
}

func (c *Cell) hasUncommittedChange(e *trackedTask) bool {
	_, changed := c.changed[e.Spec.ID]
	return changed || e.inFlight
}

// Urgent reports whether an urgent start waits to be committed, so that the next
// commit should come sooner.
func (c *Cell) Urgent() bool {
	for _, e := range c.changed {
		if e.State == StatePlaced && e.Spec.Urgency >= urgentThreshold {
			return true
		}
	}
	return false
}

// urgentThreshold is the lowest urgency whose starts are committed sooner.
const urgentThreshold = 7

// Workers returns the addresses of the workers of the cell.
func (c *Cell) Workers() []string {
	return c.addresses
}

// Waiting returns the number of tasks that wait for a worker.
func (c *Cell) Waiting() int {
	return len(c.queue)
}

// Task returns a task, if the cell has it.
func (c *Cell) Task(id string) (Task, bool) {
	e := c.tasks[id]
	if e == nil {
		return Task{}, false
	}
	return e.Task, true
}

// Registered reports whether a worker has sent a report.
func (c *Cell) Registered(address string) bool {
	return c.workers[address].registered
}

// Epoch returns the epoch under which the cell is owned.
func (c *Cell) Epoch() uint64 {
	return c.epoch
}
