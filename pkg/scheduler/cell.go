package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/drainer"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
	"github.com/bilberrywalk/bilberrywalk/pkg/reserver"
)

const (
	// longRunningRestartDelay keeps a long-running task that exits at once from
	// being restarted in a tight loop.
	longRunningRestartDelay = 200 * time.Millisecond
	// placementInterval is the longest time between two placements; without a
	// change, only the passage of time lets another task start.
	placementInterval = 50 * time.Millisecond
	// expiryInterval is the time between two checks for expired leases, and
	// between two parts of a sweep over the tasks that wait.
	expiryInterval = 50 * time.Millisecond
	// leaseRenewals is how many times a runner's lease is renewed while it lasts.
	leaseRenewals = 8
)

// Config holds the settings and dependencies of a cell.
type Config struct {
	Epoch  uint64
	Assert *asserter.Asserter
	// Lease is how long a runner's lease lasts from the time at which its clock
	// was read.
	Lease time.Duration
	// LongestLease is the maximum duration of a lease that a runner grants.
	LongestLease time.Duration
	// FormerLeasesEnd is when the last lease that a former owner could have
	// granted expires.
	FormerLeasesEnd time.Time
	// DelayedLeases holds when the last lease expires that a delayed call can
	// have granted a runner before the cell was acquired, by the runner's id.
	DelayedLeases map[string]time.Time
	// DrainWithin is the time from the confirmation of an order to drain a failure
	// domain until no task may start there; zero sets no bound.
	DrainWithin time.Duration
	// MaxReservations is the largest number of reservations for large tasks at a time;
	// zero means none.
	MaxReservations int
	// ColdRuns is how many tasks a cold runner takes in any case; beyond them, its load
	// grows in steps until it is warm. Zero: cold runners are used like warm ones.
	ColdRuns int
	// LogEvent logs a scheduling decision as a constant message with key/value
	// pairs. It may be nil.
	LogEvent func(message string, pairs ...any)
}

// Cell schedules all jobs on all runners of one cell, on behalf of its owner.
// It is not safe for concurrent use.
type Cell struct {
	cfg     Config
	queues  *Queues
	jobs    map[string]*job
	runners map[framer.RunnerKey]*runnerState
	// incarnations finds runners by id and by address, index the runners that
	// can hold a task.
	incarnations *incarnations
	index        *runnerIndex
	syncs        *syncQueue
	lapses       *lapses
	// agents holds the runner that each agent reports, by the agent's address.
	agents map[string]*runnerState
	// unplaced lists the jobs with tasks that are neither done nor placed.
	unplaced []*job
	// changed holds the jobs whose rows must be written, each with the number of
	// its first change since its row was last written.
	changed map[*job]uint64
	// change is the number of the last change to a job row; all changes up to
	// committed are persisted.
	change    uint64
	committed uint64
	// requiredEpoch is the epoch to which the owner must raise its own.
	requiredEpoch uint64
	// succeeds is set if the cell had an owner before.
	succeeds bool
	// commitLimit is the largest number of rows in the next commit; rejected
	// lists the jobs whose rows the store rejected.
	commitLimit int
	rejected    []*job
	// interference is the learned model of how co-located tasks slow one
	// another.
	interference *interference
	rejections   *rejections
	waits        *waitMonitor
	// domains has the state of the failure domains. The orders are complete as of
	// ordersReadAt.
	domains      *drainer.Drainer
	ordersReadAt time.Time
	// reservations is nil if there are none.
	reservations *reservations
	copies       *copies
	// domainsWatchedAt is when watchDomains last looked at the failure domains, and
	// movedAt when moveIfDue last moved tasks out of them. nextMove counts the steps that
	// were considered for a move. holders lists the runners that hold room for a task on
	// its way.
	domainsWatchedAt time.Time
	movedAt          time.Time
	nextMove         int
	holders          []*runnerState
	ordering         *ordering
	demand           *demand
	// placementDue is set if a job or a runner changed since the last placement,
	// which was at placedAt. expiryCheckedAt is when the leases were last checked.
	placementDue    bool
	placedAt        time.Time
	expiryCheckedAt time.Time
	// waiting and finishTimes are scratch space.
	waiting     []candidate
	finishTimes []time.Duration

	// Counts are totals since this owner acquired the cell.
	Counts Counts
}

// Counts are a cell's totals since its owner acquired it.
type Counts struct {
	Starts       int64 `json:"starts"`
	Done         int64 `json:"done"`
	Failed       int64 `json:"failed"`
	Lost         int64 `json:"lost"`
	Stopped      int64 `json:"stopped"`
	NeverStarted int64 `json:"never-started"`
	Preempted    int64 `json:"preempted"`
	JobsEnded    int64 `json:"jobs-ended"`
	// Crashes counts the runners that crashed with runs on them, and GivenUp the
	// tasks that were given up because of that.
	Crashes int64 `json:"crashes"`
	GivenUp int64 `json:"given-up"`
	// Reservations counts the reservations for large tasks.
	Reservations reserver.Counts `json:"reservations"`
	// CopiesStarted counts the copies of late tasks, CopiesWon those that were the first
	// to be done, and CopiesLost those that ended otherwise. CopiesRefused counts the
	// late runs that got no copy when they were first looked at because of the budget.
	CopiesStarted int64 `json:"copies-started"`
	CopiesWon     int64 `json:"copies-won"`
	CopiesLost    int64 `json:"copies-lost"`
	CopiesRefused int64 `json:"copies-refused"`
	// Moved counts the long-running tasks that were moved out of a failure domain, and
	// Withdrawn the unconfirmed starts that were taken back because the runner shrank or
	// its failure domain was drained.
	Moved     int64 `json:"moved"`
	Withdrawn int64 `json:"withdrawn"`
}

// NewCell returns a cell without jobs or runners.
func NewCell(cfg Config) *Cell {
	if cfg.LogEvent == nil {
		cfg.LogEvent = func(string, ...any) {}
	}
	cfg.LongestLease = max(cfg.LongestLease, cfg.Lease)
	models := newInterference()
	return &Cell{
		cfg:          cfg,
		succeeds:     cfg.Epoch > 1,
		queues:       &Queues{},
		jobs:         map[string]*job{},
		runners:      map[framer.RunnerKey]*runnerState{},
		incarnations: newIncarnations(),
		index:        newRunnerIndex(),
		syncs:        &syncQueue{},
		lapses:       newLapses(),
		agents:       map[string]*runnerState{},
		changed:      map[*job]uint64{},
		commitLimit:  maxCommitRows,
		interference: models,
		rejections:   newRejections(models),
		waits:        newWaitMonitor(),
		domains: drainer.New(drainer.Config{
			LogEvent: cfg.LogEvent,
		}),
		reservations: newReservations(cfg.MaxReservations),
		copies:       newCopies(),
		ordering:     newOrdering(),
		demand:       newDemand(),
		placementDue: true,
	}
}

// Epoch returns the epoch under which the cell is owned.
func (c *Cell) Epoch() uint64 {
	return c.cfg.Epoch
}

// SetQueues replaces the queue configuration unless q is nil or older than the
// current version.
func (c *Cell) SetQueues(q *Queues) {
	if q != nil && q.Version >= c.queues.Version {
		c.queues = q
		c.placementDue = true
	}
}

// LearnedModels returns the interference models in a form that the next owner
// can load, so that it need not learn them again.
func (c *Cell) LearnedModels() LearnedModels {
	return c.interference.snapshot()
}

// LoadModels restores the interference models of a former owner.
func (c *Cell) LoadModels(l LearnedModels) {
	c.interference.restore(l)
}

// HasJob reports whether the cell has a job with this id. Finished jobs are
// dropped once their final row is committed and none of their runs remains.
func (c *Cell) HasJob(id string) bool {
	return c.jobs[id] != nil
}

// runner returns the state of one runner incarnation and creates it if it is
// missing. A former owner may have granted the runner a lease, so a new state
// starts with a lease until FormerLeasesEnd.
func (c *Cell) runner(key framer.RunnerKey) *runnerState {
	s := c.runners[key]
	if s == nil {
		s = newRunnerState(key, c.cfg.FormerLeasesEnd, c.index, c.syncs)
		if end, ok := c.cfg.DelayedLeases[key.ID]; ok {
			// Once the runner has listed its runs under this owner's epoch, it
			// rejects the calls of earlier ones.
			s.delayedLeaseEnd = end
			s.delayedUntilMillis = unknownLease
			s.delayedCallsEnd = end
			s.fenceEpoch = c.cfg.Epoch
		}
		c.runners[key] = s
		c.incarnations.add(s)
		c.index.improved(s)
	}
	return s
}

// removeRunner drops a runner that has no tasks.
func (c *Cell) removeRunner(s *runnerState) {
	delete(c.runners, s.key)
	c.incarnations.remove(s)
	c.index.remove(s)
}

func (c *Cell) setAddress(s *runnerState, address string) {
	before := s.info.Address
	s.info.Address = address
	c.incarnations.moved(s, before)
}

// Tick releases the runs of runners whose leases have expired and, if mayPlace
// is true, places waiting tasks.
func (c *Cell) Tick(now time.Time, mayPlace bool) {
	if now.Sub(c.expiryCheckedAt) >= expiryInterval {
		c.expiryCheckedAt = now
		c.expireLeases(now)
		c.expireLapses(now)
		c.watchWaits(now)
		c.watchDomains(now)
		c.retryRejected(now)
		c.observeLoad(now)
	}
	if !mayPlace || !c.ordersKnown(now) {
		return
	}
	c.moveIfDue(now)
	if c.placementDue || now.Sub(c.placedAt) >= placementInterval {
		c.placementDue = false
		c.placedAt = now
		c.place(now)
		// What no first run takes now is left to copies.
		c.startCopies(now)
	}
}
