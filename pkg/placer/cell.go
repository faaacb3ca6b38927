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
	// maxFailures is how many starts of a task may fail.
	maxFailures = 3
	// clockMargin is allowed for clocks that run at different rates.
	clockMargin = 500 * time.Millisecond
	// maxMisses bounds the tasks unlike each other that are tried in vain.
	maxMisses = 100
	// maxCommitRows bounds one transaction.
	maxCommitRows = 500
)

// tracked is a task with what its owner knows beyond the row.
type tracked struct {
	Task
	// version is the row's version; nought means that it is not written yet.
	version uint64
	// committed is the state in the row, with the start it was written for.
	committed      State
	committedStart int
	// inFlight is set while the row is being written.
	inFlight  bool
	fromInbox bool
	// throttled is set while the worker is to hold the task back.
	throttled bool
	// saidThrottled is what the worker last reported of that.
	saidThrottled bool
	// counted is set while the task counts against its team's quota.
	counted bool
	// avoid is the worker on which the task failed last.
	avoid string
	// confirmed is set once the worker reported this start.
	confirmed bool
}

// Cell decides for the workers and tasks of one cell, on behalf of its owner.
// It belongs to one goroutine.
type Cell struct {
	name    string
	epoch   uint64
	assert  *asserter.Asserter
	now     time.Time
	workers map[string]*worker
	// order holds the workers' addresses, sorted.
	order []string
	tasks map[string]*tracked
	// changed holds the tasks whose row is to be written.
	changed map[string]*tracked
	queue   []*tracked
	cancels []string
	audit   []publisher.AuditRow
	quotas  map[string]publisher.Resources
	used    map[string]publisher.Resources
	// replicas holds the need of each latency-critical service.
	replicas map[string]*replicaSet
	serial   int
	ration   ration
	machine  *stateless.StateMachine
	current  *tracked

	// Choose picks a worker for a batch task among those that fit; never empty.
	Choose func(task *Task, fitting []Candidate) Candidate
	// Colocation is the policy for batch tasks beside services.
	Colocation Colocation
	// Interference is what was learnt of pairs of services and kinds.
	Interference *Interference
	// Counts are totals since the cell was taken.
	Counts Counts
}

// Counts are totals of a cell.
type Counts struct {
	Starts    int64 `json:"starts"`
	Done      int64 `json:"done"`
	Failed    int64 `json:"failed"`
	Cancelled int64 `json:"cancelled"`
	Evicted   int64 `json:"evicted"`
	Lost      int64 `json:"lost"`
	Throttled int64 `json:"throttled"`
}

// Candidate is a worker that a task fits on.
type Candidate struct {
	Address       string
	FailureDomain string
	Rack          string
	Free          publisher.Resources
	Capacity      publisher.Resources
}

// NewCell returns the cell as its new owner finds it in the table.
func NewCell(now time.Time, name string, epoch uint64, workers []string, assert *asserter.Asserter) *Cell {
	c := &Cell{
		name:    name,
		epoch:   epoch,
		assert:  assert,
		now:     now,
		workers: map[string]*worker{},
		order:   slices.Sorted(slices.Values(workers)),
		tasks:   map[string]*tracked{},
		changed: map[string]*tracked{},
		quotas:  map[string]publisher.Resources{},
		used:    map[string]publisher.Resources{},

		replicas: map[string]*replicaSet{},
		Choose:   bestFit,
		Colocation: Colocation{
			Avoid:    true,
			Throttle: true,
			Evict:    true,
			Ration:   true,
		},
		Interference: NewInterference(),
	}
	c.machine = newLifeCycle(func() *Task { return &c.current.Task })
	for _, address := range workers {
		c.workers[address] = &worker{
			address: address,
			tasks:   map[string]*tracked{},
			// Any earlier owner may have renewed leases up to here.
			leaseEnd: now.Add(leaser.OrphanHorizon + TaskLease),
		}
	}
	return c
}

// Load takes a task's row as read on takeover.
func (c *Cell) Load(t Task, version uint64) {
	e := &tracked{
		Task:           t,
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
		c.bind(e)
	}
	c.tasks[t.Spec.ID] = e
	c.adopt(e)
}

// SetQuota bounds what a team's batch tasks may hold in this cell; an amount
// of nought in all resources means no bound.
func (c *Cell) SetQuota(team string, quota publisher.Resources) {
	c.quotas[team] = quota
}

// Accept takes a task from the inbox.
func (c *Cell) Accept(now time.Time, spec Spec, acceptedAt time.Time) {
	c.now = now
	if c.tasks[spec.ID] != nil {
		return
	}
	e := &tracked{
		Task: Task{
			Spec:       spec,
			State:      StateAccepted,
			AcceptedAt: acceptedAt,
		},
		fromInbox: true,
	}
	c.tasks[spec.ID] = e
	if c.failUnfit(e) {
		return
	}
	c.enqueue(e)
}

// Cancel takes a cancellation from the inbox. Its row goes with the next commit.
func (c *Cell) Cancel(now time.Time, id string) {
	c.now = now
	if !slices.Contains(c.cancels, id) {
		c.cancels = append(c.cancels, id)
	}
	c.cancel(id)
}

// cancel stops a task for good, or keeps it from starting.
func (c *Cell) cancel(id string) {
	e := c.tasks[id]
	if e == nil || e.State.Final() || e.State == StateCancelling {
		return
	}
	if e.State == StateAccepted {
		c.unqueue(e)
	}
	c.fire(e, triggerCancel)
}

// Evict asks for a running task to be checkpointed and stopped.
func (c *Cell) Evict(now time.Time, id, why string) {
	c.now = now
	e := c.tasks[id]
	if e == nil || e.State != StateRunning {
		return
	}
	c.note("eviction", e, e.Worker, "", why)
	c.fire(e, triggerEvict)
}

// Tick gives up workers whose leases have lapsed, and places what waits.
func (c *Cell) Tick(now time.Time) {
	c.now = now
	for _, address := range c.order {
		w := c.workers[address]
		if !w.reachable && now.After(w.leaseEnd.Add(clockMargin)) {
			c.emptied(w, "the worker's lease lapsed")
		}
	}
	c.keepReplicas()
	c.place()
}

// fire moves a task and marks its row for the next commit.
func (c *Cell) fire(e *tracked, t trigger) {
	c.current = e
	err := c.machine.Fire(t)
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

func (c *Cell) note(what string, e *tracked, from, to, why string) {
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
