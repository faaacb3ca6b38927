package placer

import (
	"time"
)

// Reported takes a worker's report. The report's clock was read before now.
func (c *Cell) Reported(now time.Time, address string, r Report) {
	c.now = now
	w := c.workers[address]
	if w == nil {
		return
	}
	if w.known && w.incarnation != r.Incarnation {
		c.emptied(w, "the worker was replaced")
	}
	if !w.known || w.incarnation != r.Incarnation {
		c.learn(w, r)
	}
	w.reachable = true
	w.clockMillis = r.ClockMillis
	w.clockAt = now
	c.reconcile(w, r)
	c.watchServices(w, r)
}

// Unreachable notes that a worker gave no report.
func (c *Cell) Unreachable(now time.Time, address string) {
	c.now = now
	if w := c.workers[address]; w != nil {
		w.reachable = false
	}
}

// learn takes a worker's capacity and books what is placed on it.
func (c *Cell) learn(w *worker, r Report) {
	w.known = true
	w.incarnation = r.Incarnation
	w.failureDomain = r.FailureDomain
	w.rack = r.Rack
	w.ledger = NewLedger(c.assert, r.Capacity)
	w.failedTasks = nil
	for _, e := range w.placed() {
		if e.WorkerIncarnation == r.Incarnation {
			w.ledger.Commit(e.Spec.ID, e.Spec.Needs)
			continue
		}
		c.lose(e, "the worker was replaced")
	}
}

// emptied returns all tasks of a worker that provably runs none of them.
func (c *Cell) emptied(w *worker, why string) {
	for _, e := range w.placed() {
		c.lose(e, why)
	}
}

// lose returns a task whose start is gone; it resumes from its checkpoint.
func (c *Cell) lose(e *tracked, why string) {
	c.Counts.Lost++
	c.release(e)
	e.Reason = why
	if e.State == StateCancelling {
		c.fire(e, triggerStop)
		return
	}
	c.giveBack(e)
}

// giveBack puts a task back in the queue for its next start.
func (c *Cell) giveBack(e *tracked) {
	c.fire(e, triggerReturn)
	e.Worker = ""
	e.WorkerIncarnation = 0
	c.enqueue(e)
}

// reconcile holds a worker's report against what is placed on it.
func (c *Cell) reconcile(w *worker, r Report) {
	for _, t := range r.Tasks {
		e := c.tasks[t.ID]
		if e == nil || e.Worker != w.address || e.Start != t.Start || e.State.Final() {
			continue
		}
		e.confirmed = true
		e.saidThrottled = t.Throttled
		switch t.State {
		case RunRunning:
			c.running(e)
		case RunDone:
			w.noteSuccess()
			c.ended(e, triggerDone, "")
		case RunFailed:
			c.failed(w, e)
		case RunStopped:
			c.stopped(e, t)
		}
	}
}

func (c *Cell) running(e *tracked) {
	if e.State == StatePlaced {
		// The row need not say more than that the task is placed.
		_, wasChanged := c.changed[e.Spec.ID]
		c.fire(e, triggerRun)
		if !wasChanged {
			delete(c.changed, e.Spec.ID)
		}
	}
}

func (c *Cell) ended(e *tracked, t trigger, reason string) {
	c.release(e)
	e.Reason = reason
	c.fire(e, t)
}

func (c *Cell) failed(w *worker, e *tracked) {
	e.Failures++
	e.avoid = w.address
	if w.noteFailure(c.now, e.Spec.ID) {
		c.note("worker set aside", e, w.address, w.setAsideUntil.Format(time.RFC3339), "it failed several tasks in a row")
	}
	if e.State == StateCancelling || e.Failures >= maxFailures {
		c.ended(e, triggerFail, "the task failed on its worker")
		return
	}
	c.release(e)
	c.giveBack(e)
}

// stopped takes a start that the worker ended because it was told to, or
// because its lease lapsed.
func (c *Cell) stopped(e *tracked, t TaskReport) {
	if e.State == StateCancelling {
		c.ended(e, triggerStop, "cancelled")
		return
	}
	if e.State == StateEvicting {
		e.Evictions++
		c.Counts.Evicted++
	}
	if t.Checkpoint != "" {
		e.Checkpoint = t.Checkpoint
	}
	c.release(e)
	c.giveBack(e)
}
