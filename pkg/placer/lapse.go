package placer

import (
	"slices"
	"time"
)

// lapseTTL is how long after the end of its lease a worker is expected to be back or to be
// replaced.
const lapseTTL = 10 * time.Minute

// Lapse is a start that was lost because the lease of its worker expired. The worker may have
// crashed under it, or may only have been cut off.
type Lapse struct {
	Worker      string    `json:"worker"`
	Incarnation uint64    `json:"incarnation"`
	At          time.Time `json:"at"`
}

// awaitsProof reports whether the task must not start before one of its lapses is explained:
// if all are crashes, too many workers have crashed under it.
func (t *Task) awaitsProof() bool {
	return len(t.Lapses) > 0 && t.Crashes+len(t.Lapses) >= maxCrashes
}

// lapseTask requeues a task that was lost because the lease of its worker expired.
func (c *Cell) lapseTask(e *trackedTask) {
	e.Lapses = append(slices.Clone(e.Lapses), Lapse{
		Worker:      e.Worker,
		Incarnation: e.WorkerIncarnation,
		At:          c.now,
	})
	c.watchLapses(e)
	e.lastFailedWorker = e.Worker
	c.loseTask(e, "the worker's lease lapsed")
}

// watchLapses makes the reports of the workers of a task's lapses explain them.
func (c *Cell) watchLapses(e *trackedTask) {
	for _, lapse := range e.Lapses {
		if !slices.Contains(c.lapsed[lapse.Worker], e) {
			c.lapsed[lapse.Worker] = append(c.lapsed[lapse.Worker], e)
		}
	}
}

// explainLapses processes the report of a worker under whose address tasks have lapses: those
// of this incarnation are withdrawn, and those of others are crashes.
func (c *Cell) explainLapses(address string, incarnation uint64) {
	tasks := c.lapsed[address]
	delete(c.lapsed, address)
	for _, e := range tasks {
		crashes := 0
		c.dropLapses(e, func(lapse Lapse) bool {
			if lapse.Worker == address && lapse.Incarnation != incarnation {
				crashes++
			}
			return lapse.Worker == address
		})
		c.addCrashes(e, crashes)
	}
}

// expireLapses withdraws the lapses of workers that were neither back nor replaced within
// lapseTTL.
func (c *Cell) expireLapses() {
	for address, tasks := range c.lapsed {
		c.lapsed[address] = slices.DeleteFunc(tasks, func(e *trackedTask) bool {
			c.dropLapses(e, func(lapse Lapse) bool { return c.now.Sub(lapse.At) > lapseTTL })
			return e.State.Final() || !slices.ContainsFunc(e.Lapses, func(lapse Lapse) bool { return lapse.Worker == address })
		})
		if len(c.lapsed[address]) == 0 {
			delete(c.lapsed, address)
		}
	}
}

// dropLapses removes some of a task's lapses from its row.
func (c *Cell) dropLapses(e *trackedTask, drop func(lapse Lapse) bool) {
	left := slices.DeleteFunc(slices.Clone(e.Lapses), drop)
	if len(left) == len(e.Lapses) || e.State.Final() {
		return
	}
	e.Lapses = left
	c.changed[e.Spec.ID] = e
}

// addCrashes counts proven crashes of its workers against a task. A task that waits is given up
// if there are too many; one that has a worker may still prove to be sound.
func (c *Cell) addCrashes(e *trackedTask, crashes int) {
	if e.State.Final() {
		return
	}
	e.Crashes += crashes
	if e.State == StateAccepted && e.Crashes >= maxCrashes {
		c.dequeue(e)
		c.giveUp(e, "the worker was replaced")
	}
}
