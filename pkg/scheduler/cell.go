package scheduler

import (
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/asserter"
	"github.com/bilberrywalk/bilberrywalk/pkg/framer"
)

const (
	// defaultMaxFailures stands in for a queue that is not known any more.
	defaultMaxFailures = 2
	// longRunningRestartDelay keeps a task that lasts from starting over and over.
	longRunningRestartDelay = 200 * time.Millisecond
)

// Config shapes a cell.
type Config struct {
	Epoch  uint64
	Assert *asserter.Asserter
	// Lease is how long a runner's lease lasts after its clock was read.
	Lease time.Duration
	// FormerLeasesEnd is when the last lease that a former owner could have
	// granted is over.
	FormerLeasesEnd time.Time
	// Log logs a decision; it may be nil.
	Log func(message string, pairs ...any)
}

// Cell decides for all jobs and runners of one cell, on behalf of its owner.
// It belongs to one goroutine.
type Cell struct {
	cfg     Config
	queues  *Queues
	jobs    map[string]*job
	runners map[framer.RunnerKey]*runnerState
	// agents holds the site that each agent reports, by the agent's address.
	agents  map[string]*runnerState
	changed map[*job]struct{}
	// change numbers the changes to rows; committed is the number up to
	// which all are on record.
	change    uint64
	committed uint64
	// interference is what was learnt of tasks side by side.
	interference *interference

	// Counts are totals since the cell was taken.
	Counts Counts
}

// Counts are totals of a cell.
type Counts struct {
	Starts       int64 `json:"starts"`
	Done         int64 `json:"done"`
	Failed       int64 `json:"failed"`
	Lost         int64 `json:"lost"`
	Stopped      int64 `json:"stopped"`
	NeverStarted int64 `json:"never-started"`
	Preempted    int64 `json:"preempted"`
	Jobs         int64 `json:"jobs-ended"`
}

// NewCell returns a cell without jobs.
func NewCell(cfg Config) *Cell {
	if cfg.Log == nil {
		cfg.Log = func(string, ...any) {}
	}
	return &Cell{
		cfg:     cfg,
		queues:  &Queues{},
		jobs:    map[string]*job{},
		runners: map[framer.RunnerKey]*runnerState{},
		agents:  map[string]*runnerState{},
		changed: map[*job]struct{}{},

		interference: newInterference(),
	}
}

// Epoch returns the epoch under which the cell is owned.
func (c *Cell) Epoch() uint64 {
	return c.cfg.Epoch
}

// SetQueues puts a newer configuration in force.
func (c *Cell) SetQueues(q *Queues) {
	if q != nil && q.Version >= c.queues.Version {
		c.queues = q
	}
}

// LearnedModels returns what the next owner need not learn anew.
func (c *Cell) LearnedModels() LearnedModels {
	return c.interference.snapshot()
}

// LoadModels takes what a former owner learnt.
func (c *Cell) LoadModels(l LearnedModels) {
	c.interference.restore(l)
}

// Knows tells whether a job is live here.
func (c *Cell) Knows(id string) bool {
	return c.jobs[id] != nil
}

// Add takes a job that is on record and has no progress yet.
func (c *Cell) Add(spec Spec) {
	if spec.Tombstone || c.jobs[spec.ID] != nil {
		return
	}
	c.jobs[spec.ID] = newJob(spec)
}

// Load takes a job with its progress as read on takeover.
func (c *Cell) Load(spec Spec, p Progress) {
	if p.State.Final() && len(p.Tasks) == 0 {
		return
	}
	j := newJob(spec)
	j.state = p.State
	j.begun = p.Begun
	if p.EndedAtMillis > 0 {
		j.endedAt = time.UnixMilli(p.EndedAtMillis)
	}
	c.jobs[spec.ID] = j
	tasks := j.tasks()
	if !c.cfg.Assert.Holds(len(tasks) == len(p.Tasks), "progress-fits-job", "job", spec.ID) {
		return
	}
	for i, t := range tasks {
		row := p.Tasks[i]
		t.run = row.Run
		t.committedRun = row.Run
		t.failures = row.Failures
		t.checkpoint = row.Checkpoint
		if row.Done {
			t.done = true
			j.unfinished--
			t.occurrence.unfinished[t.step]--
		}
		if row.RunnerID == "" {
			continue
		}
		t.startSent = true
		t.stopping = j.state.Final()
		j.placed++
		s := c.runner(framer.RunnerKey{
			ID:              row.RunnerID,
			StartedAtMillis: row.RunnerStartedAtMillis,
		})
		s.info.Address = row.Address
		s.bind(t)
	}
}

// runner returns the runner of one life of a runner.
func (c *Cell) runner(key framer.RunnerKey) *runnerState {
	s := c.runners[key]
	if s == nil {
		s = newRunnerState(key, c.cfg.FormerLeasesEnd)
		c.runners[key] = s
	}
	return s
}

// Cancel takes a cancellation that is on record.
func (c *Cell) Cancel(now time.Time, id string) {
	j := c.jobs[id]
	if j == nil || j.state.Final() {
		return
	}
	j.cancelled = true
	c.endJob(now, j, StateCancelled)
}

// endJob brings a job to a final state and stops what still runs of it.
func (c *Cell) endJob(now time.Time, j *job, state State) {
	j.state = state
	j.endedAt = now
	c.Counts.Jobs++
	c.cfg.Log("job ended", "job", j.spec.ID, "state", state)
	c.markChanged(j)
	for _, t := range j.tasks() {
		c.stop(t)
	}
}

// stop asks for the end of a task's run. A run that no agent heard of is over
// at once.
func (c *Cell) stop(t *task) {
	if t.runner == nil || t.stopping {
		return
	}
	if !t.startSent {
		c.release(t)
		return
	}
	t.stopping = true
	t.runner.dirty = true
}

// markChanged notes that a job's row must be written.
func (c *Cell) markChanged(j *job) {
	c.change++
	c.changed[j] = struct{}{}
}

func (c *Cell) bind(s *runnerState, t *task) {
	s.bind(t)
	t.job.placed++
	t.job.idleSince = time.Time{}
}

// release takes a task off its site once its run provably is over.
func (c *Cell) release(t *task) {
	t.runner.dirty = true
	t.runner.release(t)
	t.job.placed--
	t.startSent = false
	t.confirmed = false
	t.listed = false
	t.percent = 0
	t.stalledFor = 0
	t.stopping = false
	c.markChanged(t.job)
}

// queue returns the queue of a job, or nil when it is configured no more.
func (c *Cell) queue(j *job) *Queue {
	return c.queues.Named(j.spec.Queue)
}

func (c *Cell) service(j *job) string {
	if q := c.queue(j); q != nil {
		return q.Service
	}
	return j.spec.Service
}

// Tick gives up runs whose leases have lapsed, and places what waits. With
// mayPlace false nothing new is placed.
func (c *Cell) Tick(now time.Time, mayPlace bool) {
	for key, s := range c.runners {
		if len(s.tasks) > 0 && now.After(s.leaseEnd) {
			c.loseRuns(s, "lease lapsed")
		}
		if len(s.tasks) == 0 && s.agent == "" && now.After(s.leaseEnd) {
			delete(c.runners, key)
		}
	}
	if mayPlace {
		c.place(now)
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
