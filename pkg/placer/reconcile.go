package placer

import (
	"time"
)

// HandleReport applies a worker's report. The worker's clock was read before now.
func (c *Cell) HandleReport(now time.Time, address string, r Report) {
	c.now = now
	w := c.workers[address]
	if w == nil {
		return
	}
	if w.registered && w.incarnation != r.Incarnation {
		c.loseAllTasks(w, "the worker was replaced")
		w.expiry = expiry{}
		w.leaseUntilMillis = 0
	}
	if !w.registered || w.incarnation != r.Incarnation {
		c.registerIncarnation(w, r)
	}
	w.allocations.SetCapacity(r.Capacity)
	w.reachable = true
	w.clockMillis = r.ClockMillis
	w.clockAt = now
	w.proveExpiry(r.ClockMillis)
	c.explainLapses(address, r.Incarnation)
	c.reconcile(w, r)
	c.processSlowdowns(w, r)
}

// MarkUnreachable records that a call to a worker returned no report.
func (c *Cell) MarkUnreachable(now time.Time, address string) {
	c.now = now
	if w := c.workers[address]; w != nil {
		w.reachable = false
	}
}

// registerIncarnation records the capacity of a worker's new incarnation,
// allocates the needs of the tasks placed on it, and requeues the tasks of
// earlier incarnations.
func (c *Cell) registerIncarnation(w *worker, r Report) {
	w.registered = true
	w.incarnation = r.Incarnation
	w.failureDomain = r.FailureDomain
	w.rack = r.Rack
	w.allocations = NewAllocations(c.assert, r.Capacity)
	w.failedTasks = nil
	for _, e := range w.placed() {
		if e.WorkerIncarnation == r.Incarnation {
			w.allocations.Adopt(e.Spec.ID, e.Spec.Needs)
			continue
		}
		c.loseWithWorker(e, "the worker was replaced")
	}
}

// loseAllTasks loses all tasks of a worker that can no longer be running any of them.
func (c *Cell) loseAllTasks(w *worker, why string) {
	for _, e := range w.placed() {
		c.loseWithWorker(e, why)
	}
}

// loseLapsedTasks loses all tasks of a worker whose lease has expired by the owner's clock.
func (c *Cell) loseLapsedTasks(w *worker) {
	for _, e := range w.placed() {
		w.requireExpiry(c.now)
		e.recordReleased()
		c.lapseTask(e)
	}
}

// loseTask requeues a task whose start is lost; the task resumes from its
// checkpoint. A task that was being cancelled is cancelled instead.
func (c *Cell) loseTask(e *trackedTask, why string) {
	c.Counts.Lost++
	c.release(e)
	e.Reason = why
	if e.State == StateCancelling {
		c.fire(e, triggerStop)
		return
	}
	c.requeue(e)
}

// loseWithWorker is like loseTask, for a task whose worker was replaced. The task is given up
// if too many workers in a row were under it.
func (c *Cell) loseWithWorker(e *trackedTask, why string) {
	e.Crashes++
	e.lastFailedWorker = e.Worker
	if e.Crashes >= maxCrashes && e.State != StateCancelling {
		c.Counts.Lost++
		c.release(e)
		c.giveUp(e, why)
		return
	}
	c.loseTask(e, why)
}

// giveUp fails a task without a worker because too many of them crashed under it.
func (c *Cell) giveUp(e *trackedTask, why string) {
	e.Reason = "its workers were lost again and again: " + why
	c.fire(e, triggerFail)
}

// requeue puts a task back in the queue for its next start.
func (c *Cell) requeue(e *trackedTask) {
	c.fire(e, triggerReturn)
	e.Worker = ""
	e.WorkerIncarnation = 0
	c.enqueue(e)
}

// reconcile compares a worker's report with the tasks placed on it.
func (c *Cell) reconcile(w *worker, r Report) {
	listed := map[*trackedTask]bool{}
	for _, t := range r.Tasks {
		e := c.tasks[t.ID]
		if e == nil || e.Worker != w.address || e.Start != t.Start || e.State.Final() {
			c.requireFor(w, t)
			continue
		}
		listed[e] = true
		e.confirmed = true
		e.reportedThrottled = t.Throttled
		switch t.State {
		case RunRunning:
			w.recordRunning(c.now, e)
			e.recordRunning(c.now)
			c.handleRunning(e)
		case RunDone:
			w.recordSuccess()
			c.finish(e, triggerDone, "")
		case RunFailed:
			c.handleFailed(w, e)
		case RunStopped:
			c.handleStopped(w, e, t)
		}
	}
	for _, e := range w.tasks {
		e.recordListing(c.now, listed[e])
	}
}

// recordListing records whether a report of its worker lists the task. A start that
// was sent and is not listed for maxUnlisted is withdrawn: the worker is told to
// stop it, which forbids a late start, and the task is placed again once the worker
// reports that.
func (e *trackedTask) recordListing(now time.Time, listed bool) {
	mayRun := e.sent || e.confirmed || e.State != StatePlaced
	switch {
	case listed || !mayRun:
		e.unlistedSince = time.Time{}
	case e.unlistedSince.IsZero():
		e.unlistedSince = now
	case now.Sub(e.unlistedSince) >= maxUnlisted:
		e.withdrawn = true
	}
}

// recordRunning records that the worker reports the task as running. One that has run
// for trialDuration does not crash its workers by its start.
func (e *trackedTask) recordRunning(now time.Time) {
	switch {
	case e.runsSince.IsZero():
		e.runsSince = now
	case now.Sub(e.runsSince) >= trialDuration:
		e.Crashes = 0
		e.Lapses = nil
	}
}

func (c *Cell) handleRunning(e *trackedTask) {
	if e.State == StatePlaced {
		// The row only has to record that the task is placed.
		_, wasChanged := c.changed[e.Spec.ID]
		c.fire(e, triggerRun)
		if !wasChanged {
			delete(c.changed, e.Spec.ID)
		}
	}
}

func (c *Cell) finish(e *trackedTask, t trigger, reason string) {
	c.release(e)
	e.Reason = reason
	c.fire(e, t)
}

func (c *Cell) handleFailed(w *worker, e *trackedTask) {
	e.Failures++
	e.lastFailedWorker = w.address
	c.recordFailure(w, e)
	if e.State == StateCancelling || e.Failures >= maxFailures {
		c.finish(e, triggerFail, "the task failed on its worker")
		return
	}
	c.release(e)
	c.requeue(e)
}

// recordFailure records that a worker failed a task or did not run it.
func (c *Cell) recordFailure(w *worker, e *trackedTask) {
	if w.recordFailure(c.now, e.Spec.ID) {
		c.recordAudit("worker set aside", e, w.address, w.quarantineUntil.Format(time.RFC3339), "it failed several tasks in a row")
	}
}

// handleStopped handles a start that the worker stopped, either on command or
// because its lease expired.
func (c *Cell) handleStopped(w *worker, e *trackedTask, t TaskReport) {
	if e.State == StateCancelling {
		c.finish(e, triggerStop, "cancelled")
		return
	}
	if e.State == StateEvicting {
		e.Evictions++
		c.Counts.Evicted++
	}
	if t.Checkpoint != "" {
		e.Checkpoint = t.Checkpoint
	}
	if e.withdrawn && !e.unlistedSince.IsZero() && c.now.Sub(e.unlistedSince) >= maxUnlisted {
		e.lastFailedWorker = w.address
		c.recordFailure(w, e)
	}
	c.release(e)
	c.requeue(e)
}
