package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

// place binds queued tasks to workers: the most urgent first, then the oldest.
func (c *Cell) place() {
	waiting := c.queue[:0]
	failed := failedPlacements{
		resumeAt: c.resumeAt,
	}
	for _, e := range c.queue {
		if e.awaitsProof() || failed.skips(e) || failed.covers(e) || !c.withinQuota(e) {
			waiting = append(waiting, e)
			continue
		}
		if c.placeOne(e) || c.failUnfit(e) {
			continue
		}
		failed.add(e)
		waiting = append(waiting, e)
	}
	clear(c.queue[len(waiting):])
	c.queue = waiting
	c.resumeAt = failed.next
}

func (c *Cell) placeOne(e *trackedTask) bool {
	fitting := c.withinSlowdownLimit(e, c.fitting(e))
	if len(fitting) == 0 {
		return false
	}
	w := c.workers[c.choose(e, excludeWorker(fitting, e.lastFailedWorker)).Address]
	if len(w.failedTasks) >= quarantineThreshold {
		w.beginTrial(e)
	}
	e.Worker = w.address
	e.WorkerIncarnation = w.incarnation
	e.Start++
	e.sent = false
	e.confirmed = false
	e.runsSince = time.Time{}
	e.unlistedSince = time.Time{}
	e.withdrawn = false
	e.throttled = false
	w.allocations.Allocate(e.Spec.ID, e.Spec.Needs)
	c.bind(e)
	c.fire(e, triggerPlace)
	c.Counts.Starts++
	return true
}

func (c *Cell) choose(e *trackedTask, fitting []Candidate) Candidate {
	if e.Spec.Class == ClassLatencyCritical {
		return c.spreadOf(e.Spec.Service).fewestReplicas(fitting)
	}
	return c.Choose(&e.Task, fitting)
}

func (c *Cell) fitting(e *trackedTask) []Candidate {
	var list []Candidate
	for _, address := range c.addresses {
		w := c.workers[address]
		if !w.usable(c.now) || !w.allocations.Fits(e.Spec.Needs) {
			continue
		}
		list = append(list, Candidate{
			Address:       address,
			FailureDomain: w.failureDomain,
			Rack:          w.rack,
			Free:          publisher.Subtract(w.allocations.Capacity(), w.allocations.Sum()),
			Capacity:      w.allocations.Capacity(),
		})
	}
	return list
}

// withinQuota reports whether the team's quota allows one more batch task.
func (c *Cell) withinQuota(e *trackedTask) bool {
	quota := c.quotas[e.Spec.Team]
	if e.Spec.Class != ClassBatch || quota == (publisher.Resources{}) {
		return true
	}
	return publisher.Within(publisher.Add(c.used[e.Spec.Team], e.Spec.Needs), quota)
}

// bind assigns a task to its worker and counts it against the quota of its team.
func (c *Cell) bind(e *trackedTask) {
	if w := c.workers[e.Worker]; w != nil {
		w.tasks[e.Spec.ID] = e
		w.recordChange(c.now)
	}
	if e.Spec.Class == ClassBatch && !e.countedInQuota {
		e.countedInQuota = true
		c.used[e.Spec.Team] = publisher.Add(c.used[e.Spec.Team], e.Spec.Needs)
	}
}

// release undoes bind once the start is known to be over.
func (c *Cell) release(e *trackedTask) {
	if w := c.workers[e.Worker]; w != nil {
		delete(w.tasks, e.Spec.ID)
		w.recordChange(c.now)
		if w.allocations != nil {
			w.allocations.Release(e.Spec.ID)
		}
	}
	if e.countedInQuota {
		e.countedInQuota = false
		c.used[e.Spec.Team] = publisher.Subtract(c.used[e.Spec.Team], e.Spec.Needs)
	}
}

// failUnfit fails a task that fits no worker, once all workers have reported.
func (c *Cell) failUnfit(e *trackedTask) bool {
	resource := c.unfitResource(e.Spec.Needs)
	if resource == "" {
		return false
	}
	e.Reason = "fits no worker of the cell: " + resource
	c.fire(e, triggerFail)
	return true
}

// unfitResource names the resource for which a task fits no worker. It returns an
// empty string if a worker was large enough once or has not reported yet.
func (c *Cell) unfitResource(needs publisher.Resources) string {
	reason := ""
	for _, address := range c.addresses {
		w := c.workers[address]
		if !w.registered {
			return ""
		}
		resource := insufficientResource(needs, w.allocations.Largest())
		if resource == "" {
			return ""
		}
		reason = resource
	}
	return reason
}

// excludeWorker leaves one worker out unless it is the only candidate.
func excludeWorker(fitting []Candidate, address string) []Candidate {
	if address == "" || len(fitting) == 1 {
		return fitting
	}
	return slices.DeleteFunc(fitting, func(c Candidate) bool { return c.Address == address })
}

// bestFit picks the worker with the fewest free processors, which keeps large
// gaps free for large tasks.
func bestFit(_ *Task, fitting []Candidate) Candidate {
	return slices.MinFunc(fitting, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Free.ProcessorMillis, b.Free.ProcessorMillis),
			cmp.Compare(a.Address, b.Address),
		)
	})
}

func (c *Cell) enqueue(e *trackedTask) {
	at, _ := slices.BinarySearchFunc(c.queue, e, compareQueueOrder)
	c.queue = slices.Insert(c.queue, at, e)
}

func (c *Cell) dequeue(e *trackedTask) {
	c.queue = slices.DeleteFunc(c.queue, func(other *trackedTask) bool { return other == e })
}

func compareQueueOrder(a, b *trackedTask) int {
	return cmp.Or(
		cmp.Compare(b.Spec.Urgency, a.Spec.Urgency),
		a.AcceptedAt.Compare(b.AcceptedAt),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

// failedPlacements holds the tasks that one pass over the queue could not place.
// Similar tasks are then not tried, so that a long queue of them costs little.
type failedPlacements struct {
	tasks []*trackedTask
	// resumeAt is the first task that the last pass did not try, or nil, and next
	// the first that this pass does not try.
	resumeAt, next *trackedTask
}

func (p *failedPlacements) add(e *trackedTask) {
	p.tasks = append(p.tasks, e)
}

// skips reports whether a task is left to a later pass, since too many placements
// have failed in this one. Each pass tries tasks from the head of the queue, and
// then tasks from where the last pass ended, so that each task is tried in time.
func (p *failedPlacements) skips(e *trackedTask) bool {
	switch {
	case len(p.tasks) < maxFailedPlacements:
		return false
	case p.resumeAt != nil && compareQueueOrder(e, p.resumeAt) < 0:
		return true
	case len(p.tasks) < 2*maxFailedPlacements:
		return false
	}
	if p.next == nil {
		p.next = e
	}
	return true
}

// covers reports whether a task needs at least as much as one that could not be
// placed.
func (p *failedPlacements) covers(e *trackedTask) bool {
	for _, failed := range p.tasks {
		if failed.seenAt.After(e.seenAt) {
			// This task was seen earlier, so it may already be past maxInterferenceWait
			// and fit where the other one did not.
			continue
		}
		if failed.Spec.Class == e.Spec.Class && failed.Spec.Kind == e.Spec.Kind && publisher.Within(failed.Spec.Needs, e.Spec.Needs) {
			return true
		}
	}
	return false
}
