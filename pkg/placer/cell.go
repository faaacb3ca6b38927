package placer

import (
	"slices"
	"time"

	"github.com/qmuntal/stateless"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/leaser"
	"github.com/bilberrywalk/bilberrywalk/pkg/publisher"
)

const (
	// maxFailures is the number of failed starts after which a task fails.
	maxFailures = 3
	// maxCrashes is the number of workers in a row that may crash under a task, with none
	// of its starts running for trialDuration, until the task fails.
	maxCrashes = 5
	// clockMargin allows for clocks that run at different rates.
	clockMargin = 500 * time.Millisecond
	// maxFailedPlacements bounds the number of dissimilar tasks that one pass over
	// the queue fails to place from its head, and again from where the last pass
	// ended.
	maxFailedPlacements = 100
	// maxCommitRows bounds the task rows of one transaction.
	maxCommitRows = 500
)

// Cell makes the scheduling decisions for the workers and tasks of one cell, on
// behalf of its owner. It is not safe for concurrent use.
type Cell struct {
	name    string
	epoch   uint64
	assert  *asserter.Asserter
	now     time.Time
	workers map[string]*worker
	// lapsed lists the tasks with lapses by the address of the worker.
	lapsed map[string][]*trackedTask
	// addresses are the workers' addresses, sorted.
	addresses []string
	// removed are the addresses of workers that the cell no longer has, with tasks
	// that an earlier owner placed there.
	removed []string
	tasks   map[string]*trackedTask
	// changed holds the tasks whose row must be written.
	changed map[string]*trackedTask
	queue   []*trackedTask
	// resumeAt is the first task that the last pass over the queue did not try.
	resumeAt *trackedTask
	// cancels are the cancellations whose rows the next commit deletes, and
	// cancelsInFlight those of the commit that is being written.
	cancels         []string
	cancelsInFlight []string
	audit           []publisher.AuditRow
	quotas          map[string]publisher.Resources
	used            map[string]publisher.Resources
	// replicas holds the replicas of each latency-critical service.
	replicas       map[string]*replicaSet
	serial         int
	evictionBudget evictionBudget
	stateMachine   *stateless.StateMachine
	current        *trackedTask

	// Choose picks a worker for a batch task from a non-empty list of those with
	// enough free capacity.
	Choose func(task *Task, fitting []Candidate) Candidate
	// Colocation is the policy for batch tasks that share a worker with services.
	Colocation Colocation
	// Interference is the learned model of how kinds of batch tasks slow services.
	Interference *InterferenceModel
	// Counts are totals since the cell was acquired.
	Counts Counts
}

// Candidate is a worker with enough free capacity for a task.
type Candidate struct {
	Address       string
	FailureDomain string
	Rack          string
	Free          publisher.Resources
	Capacity      publisher.Resources
}

// NewCell returns a cell without tasks for its new owner; Load adds the tasks of
// the table.
func NewCell(now time.Time, name string, epoch uint64, workers []string, assert *asserter.Asserter) *Cell {
	c := &Cell{
		name:      name,
		epoch:     epoch,
		assert:    assert,
		now:       now,
		workers:   map[string]*worker{},
		lapsed:    map[string][]*trackedTask{},
		addresses: slices.Sorted(slices.Values(workers)),
		tasks:     map[string]*trackedTask{},
		changed:   map[string]*trackedTask{},
		quotas:    map[string]publisher.Resources{},
		used:      map[string]publisher.Resources{},

		replicas: map[string]*replicaSet{},
		Choose:   bestFit,
		Colocation: Colocation{
			Avoid:          true,
			Throttle:       true,
			Evict:          true,
			LimitEvictions: true,
		},
		Interference: NewInterferenceModel(),
	}
	c.stateMachine = newLifeCycle(func() *Task { return &c.current.Task })
	for _, address := range workers {
		c.addWorker(address)
	}
	return c
}

// addWorker adds a worker that has not reported yet.
func (c *Cell) addWorker(address string) {
	c.workers[address] = &worker{
		address: address,
		tasks:   map[string]*trackedTask{},
		// An earlier owner may have renewed leases up to this time.
		leaseEnd: c.now.Add(leaser.OrphanHorizon + TaskLease),
	}
}

// Load adds a task from its row, as read on takeover.
func (c *Cell) Load(t Task, version uint64) {
	e := &trackedTask{
		Task:           t,
		seenAt:         c.now,
		version:        version,
		committed:      t.State,
		committedStart: t.Start,
	}
	if t.State == StateRunning || t.State == StateEvicting {
		e.committed = StatePlaced
	}
	switch {
	case t.State.Final():
		return
	case t.State == StateAccepted:
		c.enqueue(e)
	default:
		if c.workers[t.Worker] == nil {
			// The worker was removed. It is never called, so its leases end.
			c.addWorker(t.Worker)
			c.removed = append(c.removed, t.Worker)
		}
		c.bind(e)
	}
	c.tasks[t.Spec.ID] = e
	c.watchLapses(e)
	c.registerReplica(e)
}

// SetQuota bounds the resources that a team's batch tasks may use in this cell.
// A quota that is zero in all resources means no bound.
func (c *Cell) SetQuota(team string, quota publisher.Resources) {
	c.quotas[team] = quota
}

// Accept adds a task from the inbox.
func (c *Cell) Accept(now time.Time, spec Spec, acceptedAt time.Time) {
	c.now = now
	if c.tasks[spec.ID] != nil {
		return
	}
	e := &trackedTask{
		Task: Task{
			Spec:       spec,
			State:      StateAccepted,
			AcceptedAt: acceptedAt,
		},
		seenAt:    now,
		fromInbox: true,
	}
	c.tasks[spec.ID] = e
	if c.failUnfit(e) {
		return
	}
	c.enqueue(e)
}

// CommitWaiting makes the next commits write the waiting tasks of the inbox as rows
// of tasks, which removes them from the inbox. Otherwise a task is first written
// when it is placed.
func (c *Cell) CommitWaiting() {
	for _, e := range c.queue {
		if e.fromInbox && !e.inFlight {
			c.changed[e.Spec.ID] = e
		}
	}
}

// Cancel applies a cancellation from the inbox. The next commit deletes its row.
func (c *Cell) Cancel(now time.Time, id string) {
	c.now = now
	// The inbox may be read again while the deletion is in flight. A second deletion
	// would be a conflict, which ends the ownership.
	if !slices.Contains(c.cancels, id) && !slices.Contains(c.cancelsInFlight, id) {
		c.cancels = append(c.cancels, id)
	}
	c.cancel(id)
}

// cancel stops a task permanently, or prevents it from starting.
func (c *Cell) cancel(id string) {
	e := c.tasks[id]
	if e == nil || e.State.Final() || e.State == StateCancelling {
		return
	}
	if e.State == StateAccepted {
		c.dequeue(e)
	}
	c.fire(e, triggerCancel)
}

// Evict requests that a running task be checkpointed and stopped.
func (c *Cell) Evict(now time.Time, id, why string) {
	c.now = now
	e := c.tasks[id]
	if e == nil || e.State != StateRunning {
		return
	}
	c.recordAudit("eviction", e, e.Worker, "", why)
	c.fire(e, triggerEvict)
}

// Tick requeues the tasks of unreachable workers whose leases have expired, keeps
// the replicas of each service complete, and places queued tasks.
func (c *Cell) Tick(now time.Time) {
	c.now = now
	for _, address := range slices.Concat(c.addresses, c.removed) {
		w := c.workers[address]
		if !w.reachable && now.After(w.leaseEnd.Add(clockMargin)) {
			c.loseLapsedTasks(w)
		}
	}
	c.expireLapses()
	c.reconcileReplicas()
	c.place()
}

// fire applies a trigger to the state of a task and marks its row for the next
// commit.
func (c *Cell) fire(e *trackedTask, t trigger) {
	c.current = e
	err := c.stateMachine.Fire(t)
	c.assert.Check(err == nil, "task-life-cycle", "task", e.Spec.ID, "state", e.State, "trigger", t)
	c.changed[e.Spec.ID] = e
	if e.State.Final() {
		e.EndedAt = c.now
	}
	switch e.State {
	case StateDone:
		c.Counts.Done++
	case StateFailed:
		c.Counts.Failed++
	case StateCancelled:
		c.Counts.Cancelled++
	default:
	}
}

func (c *Cell) recordAudit(what string, e *trackedTask, from, to, why string) {
	c.audit = append(c.audit, publisher.AuditRow{
		At:      c.now,
		Who:     c.name,
		What:    what,
		Subject: e.Spec.ID,
		From:    from,
		To:      to,
		Why:     why,
	})
}
