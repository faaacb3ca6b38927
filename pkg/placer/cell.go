package placer

import (
	"cmp"
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

// entry is a task with what its owner knows beyond the row.
type entry struct {
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
	takenAt time.Time
	workers map[string]*worker
	// order holds the workers' addresses, sorted.
	order []string
	tasks map[string]*entry
	// changed holds the tasks whose row is to be written.
	changed map[string]*entry
	queue   []*entry
	cancels []string
	audit   []publisher.AuditRow
	quotas  map[string]publisher.Resources
	used    map[string]publisher.Resources
	// replicas holds the need of each latency-critical service.
	replicas map[string]*replicaSet
	serial   int
	ration   ration
	machine  *stateless.StateMachine
	current  *entry

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
		takenAt: now,
		workers: map[string]*worker{},
		order:   slices.Sorted(slices.Values(workers)),
		tasks:   map[string]*entry{},
		changed: map[string]*entry{},
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
			tasks:   map[string]*entry{},
			// Any earlier owner may have renewed leases up to here.
			leaseEnd: now.Add(leaser.OrphanHorizon + TaskLease),
		}
	}
	return c
}

// Load takes a task's row as read on takeover.
func (c *Cell) Load(t Task, version uint64) {
	e := &entry{
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
	e := &entry{
		Task: Task{
			Spec:       spec,
			State:      StateAccepted,
			AcceptedAt: acceptedAt,
		},
		fromInbox: true,
	}
	c.tasks[spec.ID] = e
	if resource := c.unfit(spec.Needs); resource != "" {
		e.Reason = "fits no worker of the cell: " + resource
		c.fire(e, triggerFail)
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
func (c *Cell) lose(e *entry, why string) {
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
func (c *Cell) giveBack(e *entry) {
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

func (c *Cell) running(e *entry) {
	if e.State == StatePlaced {
		// The row need not say more than that the task is placed.
		_, wasChanged := c.changed[e.Spec.ID]
		c.fire(e, triggerRun)
		if !wasChanged {
			delete(c.changed, e.Spec.ID)
		}
	}
}

func (c *Cell) ended(e *entry, t trigger, reason string) {
	c.release(e)
	e.Reason = reason
	c.fire(e, t)
}

func (c *Cell) failed(w *worker, e *entry) {
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
func (c *Cell) stopped(e *entry, t TaskReport) {
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

// place binds waiting tasks to workers, most urgent first, then oldest.
func (c *Cell) place() {
	waiting := c.queue[:0]
	var misses misses
	for _, e := range c.queue {
		if misses.covers(e) || !c.withinQuota(e) {
			waiting = append(waiting, e)
			continue
		}
		if !c.placeOne(e) {
			misses.add(e)
			waiting = append(waiting, e)
		}
	}
	clear(c.queue[len(waiting):])
	c.queue = waiting
}

// misses are tasks that fitted nowhere, so that a long queue of tasks like
// them costs little.
type misses struct {
	tasks []*entry
}

func (m *misses) add(e *entry) {
	m.tasks = append(m.tasks, e)
}

// covers tells whether a task needs no less than one that fitted nowhere, or
// whether too many were tried in vain.
func (m *misses) covers(e *entry) bool {
	if len(m.tasks) >= maxMisses {
		return true
	}
	for _, missed := range m.tasks {
		if missed.AcceptedAt.After(e.AcceptedAt) {
			// An older task may have run out of patience.
			continue
		}
		if missed.Spec.Class == e.Spec.Class && missed.Spec.Kind == e.Spec.Kind && within(missed.Spec.Needs, e.Spec.Needs) {
			return true
		}
	}
	return false
}

func (c *Cell) placeOne(e *entry) bool {
	fitting := c.withinLimits(e, c.fitting(e))
	if len(fitting) == 0 {
		return false
	}
	w := c.workers[c.choose(e, withoutAvoided(fitting, e.avoid)).Address]
	if len(w.failedTasks) >= failuresToSetAside {
		w.onTrial = true
	}
	e.Worker = w.address
	e.WorkerIncarnation = w.incarnation
	e.Start++
	e.confirmed = false
	e.throttled = false
	w.ledger.Commit(e.Spec.ID, e.Spec.Needs)
	c.bind(e)
	c.fire(e, triggerPlace)
	c.Counts.Starts++
	return true
}

func (c *Cell) choose(e *entry, fitting []Candidate) Candidate {
	if e.Spec.Class == ClassLatencyCritical {
		return c.spreadOf(e.Spec.Service).leastShared(fitting)
	}
	return c.Choose(&e.Task, fitting)
}

func (c *Cell) fitting(e *entry) []Candidate {
	var list []Candidate
	for _, address := range c.order {
		w := c.workers[address]
		if !w.usable(c.now) || !w.ledger.Fits(e.Spec.Needs) {
			continue
		}
		list = append(list, Candidate{
			Address:       address,
			FailureDomain: w.failureDomain,
			Rack:          w.rack,
			Free:          subtract(w.ledger.Capacity(), w.ledger.Sum()),
			Capacity:      w.ledger.Capacity(),
		})
	}
	return list
}

// withinQuota tells whether a team may hold one more batch task.
func (c *Cell) withinQuota(e *entry) bool {
	quota := c.quotas[e.Spec.Team]
	if e.Spec.Class != ClassBatch || quota == (publisher.Resources{}) {
		return true
	}
	return within(add(c.used[e.Spec.Team], e.Spec.Needs), quota)
}

// bind counts a task as held by its worker and its team.
func (c *Cell) bind(e *entry) {
	if w := c.workers[e.Worker]; w != nil {
		w.tasks[e.Spec.ID] = e
		w.changed(c.now)
	}
	if e.Spec.Class == ClassBatch && !e.counted {
		e.counted = true
		c.used[e.Spec.Team] = add(c.used[e.Spec.Team], e.Spec.Needs)
	}
}

// release undoes bind once a start provably is over.
func (c *Cell) release(e *entry) {
	if w := c.workers[e.Worker]; w != nil {
		delete(w.tasks, e.Spec.ID)
		w.changed(c.now)
		if w.ledger != nil {
			w.ledger.Release(e.Spec.ID)
		}
	}
	if e.counted {
		e.counted = false
		c.used[e.Spec.Team] = subtract(c.used[e.Spec.Team], e.Spec.Needs)
	}
}

// unfit names the resource for which a task fits no worker that is known.
func (c *Cell) unfit(needs publisher.Resources) string {
	reason := ""
	for _, address := range c.order {
		w := c.workers[address]
		if !w.known {
			return ""
		}
		resource := lacking(needs, w.ledger.Capacity())
		if resource == "" {
			return ""
		}
		reason = resource
	}
	return reason
}

// fire moves a task and marks its row for the next commit.
func (c *Cell) fire(e *entry, t trigger) {
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

func (c *Cell) note(what string, e *entry, from, to, why string) {
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

func (c *Cell) enqueue(e *entry) {
	at, _ := slices.BinarySearchFunc(c.queue, e, compareTurn)
	c.queue = slices.Insert(c.queue, at, e)
}

func (c *Cell) unqueue(e *entry) {
	c.queue = slices.DeleteFunc(c.queue, func(other *entry) bool { return other == e })
}

func compareTurn(a, b *entry) int {
	return cmp.Or(
		cmp.Compare(b.Spec.Urgency, a.Spec.Urgency),
		a.AcceptedAt.Compare(b.AcceptedAt),
		cmp.Compare(a.Spec.ID, b.Spec.ID),
	)
}

// withoutAvoided leaves a worker out unless it is the only one.
func withoutAvoided(fitting []Candidate, avoid string) []Candidate {
	if avoid == "" || len(fitting) == 1 {
		return fitting
	}
	return slices.DeleteFunc(fitting, func(c Candidate) bool { return c.Address == avoid })
}

// bestFit takes the worker that is left with the least free processors, which
// keeps large gaps for large tasks.
func bestFit(_ *Task, fitting []Candidate) Candidate {
	return slices.MinFunc(fitting, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(a.Free.ProcessorMillis, b.Free.ProcessorMillis),
			cmp.Compare(a.Address, b.Address),
		)
	})
}
