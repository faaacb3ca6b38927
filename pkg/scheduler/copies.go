package scheduler

import (
	"net"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/speculator"
)

const (
	// copyInterval is the shortest time between two decisions about copies.
	copyInterval = 50 * time.Millisecond
	// copyCandidates is how many running tasks one decision looks at; the next one
	// continues with the others. That bounds its cost: each of 3,000 running tasks is
	// looked at every 0.5 s.
	copyCandidates = 300
)

// copies is what the cell knows of copies of tasks.
type copies struct {
	// tasks lists the running tasks that may get a copy, next is the one at which the
	// next decision begins.
	tasks []*taskState
	next  int
	// decidedAt is when the last decision was made.
	decidedAt time.Time
	// candidates is scratch space.
	candidates []speculator.Candidate[*task]
	// millis are the processors that copies take of each service.
	millis map[string]int64
	// errors has the errors of the estimates of each queue.
	errors map[string]*speculator.Errors
}

func newCopies() *copies {
	return &copies{
		millis: map[string]int64{},
		errors: map[string]*speculator.Errors{},
	}
}

// mayHaveCopies reports whether tasks of the step may get copies. A member of a gang runs
// only with all others; long-running tasks never end by themselves, so none is late; and a
// best-effort task is slow because it leaves processors to others.
func (s *Step) mayHaveCopies() bool {
	return s.Speculative && !s.Gang && !s.LongRunning && !s.BestEffort
}

// watchForCopies adds a running task to those that may get a copy.
func (c *Cell) watchForCopies(t *task) {
	if t.spec().mayHaveCopies() && !t.copyable && !t.done {
		t.copyable = true
		c.copies.tasks = append(c.copies.tasks, t.taskState)
	}
}

// startCopies starts the copies that are due. It follows the placement of first runs, so
// that it takes only what none of them can use.
func (c *Cell) startCopies(now time.Time) {
	if len(c.copies.tasks) == 0 || now.Sub(c.copies.decidedAt) < copyInterval {
		return
	}
	c.copies.decidedAt = now
	c.index.refresh()
	planner := speculator.Planner[*task]{
		Usage: func(service string) speculator.Usage {
			return speculator.Usage{
				CapacityMillis: c.index.service(service).capacityMillis,
				CopiesMillis:   c.copies.millis[service],
			}
		},
		Compare: compareTasks,
		Group: func(t *task) any {
			return waitingStep{
				occurrence: t.occurrence,
				step:       t.step,
			}
		},
		Start:   func(t *task) bool { return c.startCopy(now, t) },
		Refused: c.recordRefusedCopy,
	}
	planner.Plan(c.copyCandidates(now))
}

// copyCandidates returns some of the running tasks that may get a copy, and drops those that
// may not any more. A run gets one copy at most.
func (c *Cell) copyCandidates(now time.Time) []speculator.Candidate[*task] {
	k := c.copies
	clear(k.candidates)
	list := k.candidates[:0]
	for range min(len(k.tasks), copyCandidates) {
		if k.next >= len(k.tasks) {
			k.next = 0
		}
		state := k.tasks[k.next]
		t := state.current
		if t.runner == nil || t.done || t.lastRun != t.run || t.job.state.Final() {
			state.copyable = false
			last := len(k.tasks) - 1
			k.tasks[k.next] = k.tasks[last]
			k.tasks[last] = nil
			k.tasks = k.tasks[:last]
			continue
		}
		k.next++
		if c.mayHaveCopy(t) {
			list = append(list, c.copyCandidate(now, t))
		}
	}
	k.candidates = list
	return list
}

// mayHaveCopy reports whether a running task may get a copy. The failure of a copy must not
// be the last one that the queue allows: the first run may have failed as well, which this
// owner may not know yet. A suspect is tried alone. While rows can't be written, a copy
// could not start either.
func (c *Cell) mayHaveCopy(t *task) bool {
	return t.failures+1 < c.terms(t.job).MaxFailures && !t.suspect() && t.committedRun == t.run && c.rowRoom(t.job) >= copyRowRoom
}

func (c *Cell) copyCandidate(now time.Time, t *task) speculator.Candidate[*task] {
	step := t.spec()
	estimate := time.Duration(step.EstimateMillis) * time.Millisecond
	run := speculator.Run{
		Elapsed: now.Sub(t.placedAt),
		Usual:   speculator.Usual(t.occurrence.durations[t.step], c.copies.errors[t.job.spec.Queue], estimate),
	}
	if t.listed && t.progressRun == t.run {
		run.Percent = t.percent
		run.ReportedAfter = t.listedAt.Sub(t.placedAt)
	}
	return speculator.Candidate[*task]{
		Task:    t,
		Run:     run,
		Urgency: c.terms(t.job).Urgency,
		Service: c.service(t.job),
		Millis:  step.Needs.ProcessorMillis,
	}
}

// startCopy starts a copy of a task's run, and reports whether a runner can hold it.
func (c *Cell) startCopy(now time.Time, t *task) bool {
	// Other copies of the same decision take room in the row as well.
	if c.rowRoom(t.job) < copyRowRoom {
		return false
	}
	second := &task{
		taskState:   t.taskState,
		copyOf:      t.run,
		copyService: c.service(t.job),
	}
	s := c.chooseForCopy(now, t, second)
	if s == nil {
		return false
	}
	t.copy = second
	c.start(now, s, t.copy)
	s.recordPlacement(now)
	c.copies.millis[t.copy.copyService] += t.spec().Needs.ProcessorMillis
	c.listCopy(t.taskState)
	c.Counts.CopiesStarted++
	c.cfg.LogEvent("copy placed", "task", t.name(), "run", t.copy.run, "runner", s.key.ID, "of-run", t.run, "of-runner", t.runner.key.ID,
		"elapsed-millis", now.Sub(t.placedAt).Milliseconds(), "percent", t.percent)
	return true
}

// chooseForCopy returns the runner for a copy of a task's run, or nil: one on another
// instance, if possible in another failure domain, with nothing that speaks against it.
func (c *Cell) chooseForCopy(now time.Time, t, second *task) *runnerState {
	c.index.refresh()
	w := candidate{
		job:        t.job,
		occurrence: t.occurrence,
		step:       t.step,
		urgency:    c.terms(t.job).Urgency,
	}
	order := c.index.service(c.service(t.job)).orderFor(t.spec())
	var best *runnerState
	var leastPenalty int
	for _, s := range order.runners {
		if order.value(&s.position) < t.spec().Needs.ProcessorMillis {
			break
		}
		if s.stalled || sameInstance(s, t.runner) || !c.mayPlace(now, s, &w, second) {
			continue
		}
		penalty := penaltyOf(now, s, second, nil)
		if penalty > penaltyOtherRack {
			continue
		}
		if domain := s.info.FailureDomain; domain != "" && domain == t.runner.info.FailureDomain {
			penalty += 2 * penaltyOtherRack
		}
		if penalty == 0 {
			return s
		}
		if best == nil || penalty < leastPenalty {
			best = s
			leastPenalty = penalty
		}
	}
	return best
}

// sameInstance reports whether two runners may be on one instance.
func sameInstance(a, b *runnerState) bool {
	return a.key.ID == b.key.ID || a.info.Address != "" && host(a.info.Address) == host(b.info.Address)
}

func host(address string) string {
	if name, _, err := net.SplitHostPort(address); err == nil {
		return name
	}
	return address
}

func (c *Cell) recordRefusedCopy(t *task) {
	if t.refusedRun == t.run {
		return
	}
	t.refusedRun = t.run
	c.Counts.CopiesRefused++
	c.cfg.LogEvent("copy refused for the budget", "task", t.name(), "run", t.run, "runner", t.runner.key.ID)
}

// forgetCopy removes a run that ended from the accounts of copies.
func (c *Cell) forgetCopy(t *task) {
	if t.copyOf > 0 {
		c.Counts.CopiesLost++
		c.cfg.LogEvent("copy lost", "task", t.name(), "run", t.run, "done", t.done)
	}
	t.copyOf = 0
	c.freeBudget(t)
}

func (c *Cell) freeBudget(t *task) {
	if t.copyService != "" {
		c.copies.millis[t.copyService] -= t.spec().Needs.ProcessorMillis
		t.copyService = ""
	}
}

// recordWin counts a copy that is the first run of its task to be done.
func (c *Cell) recordWin(t *task) {
	if t.copyOf == 0 {
		return
	}
	c.Counts.CopiesWon++
	c.cfg.LogEvent("copy won", "task", t.name(), "run", t.run, "of-run", t.copyOf)
	t.copyOf = 0
}

// recordDuration records the duration of a run that is done.
func (c *Cell) recordDuration(now time.Time, t *task) {
	step := t.spec()
	if !step.mayHaveCopies() || !t.placedHere {
		return
	}
	d := now.Sub(t.placedAt)
	t.occurrence.recordDuration(t.step, d)
	e := c.copies.errors[t.job.spec.Queue]
	if e == nil {
		e = &speculator.Errors{}
		c.copies.errors[t.job.spec.Queue] = e
	}
	e.Add(d, time.Duration(step.EstimateMillis)*time.Millisecond)
}

// recordDuration records the duration of a run of a step.
func (r *occurrence) recordDuration(step int, d time.Duration) {
	if r.durations == nil {
		r.durations = map[int]*speculator.History{}
	}
	if r.durations[step] == nil {
		r.durations[step] = &speculator.History{}
	}
	r.durations[step].Add(d)
}
