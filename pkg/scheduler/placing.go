package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrywalk/bilberrywalk/pkg/ranker"
)

const (
	// maxIdleWait is how long a job waits, with nothing running, for a runner
	// whose latency-critical tasks tolerate its best-effort tasks.
	maxIdleWait = time.Second
	// minRunning is how many tasks of a job that exceeded maxIdleWait are kept
	// running from then on, while there is free capacity.
	minRunning = 2
	// idlePercent is the allocated share of a service's processors, in percent,
	// below which no job may wait with nothing running.
	idlePercent = 65
)

// candidate is a step of an occurrence with tasks that may start now.
type candidate struct {
	ranker.Entry
	job        *job
	occurrence *occurrence
	step       int
	urgency    int
	dueBy      time.Time
	// starved is set if the job waited longer than maxIdleWait with nothing
	// running while there is free capacity.
	starved bool
}

// place assigns waiting tasks to runners.
func (c *Cell) place(now time.Time) {
	c.index.unblock(now)
	c.index.refresh()
	c.rejections.reset()
	c.collectWaiting(now)
	c.planReservations(now)
	for i := range c.waiting {
		w := &c.waiting[i]
		if w.job.spec.Steps[w.step].Gang {
			c.placeGang(now, w)
		} else {
			c.placeStep(now, w)
		}
	}
}

// placeStep places as many waiting tasks of a step as possible.
func (c *Cell) placeStep(now time.Time, w *candidate) {
	mayBeRefused := false
	for _, t := range heldRoomFirst(w.occurrence.steps[w.step]) {
		if !t.pending(now) {
			continue
		}
		if c.rowRoom(w.job) < 1 {
			return
		}
		s := c.chooseRunner(now, w, t, nil)
		if s == nil {
			c.recordFullRunners(w)
			w.recordWaiting(now, true)
			return
		}
		c.start(now, s, t)
		s.recordPlacement(now)
		mayBeRefused = mayBeRefused || s.startRefusals.recent(now)
		w.starved = w.starved && w.job.placed < minRunning
	}
	w.recordWaiting(now, mayBeRefused)
}

// heldRoomFirst returns the tasks of a step with those first for which room is held: the
// others of the step cannot use it, and the first one without a runner ends the placement.
func heldRoomFirst(tasks []*task) []*task {
	if !slices.ContainsFunc(tasks, func(t *task) bool { return t.roomOn != nil }) {
		return tasks
	}
	tasks = slices.Clone(tasks)
	slices.SortStableFunc(tasks, func(a, b *task) int { return compareBools(a.roomOn == nil, b.roomOn == nil) })
	return tasks
}

// fullRunners records that no runner could hold a step's tasks. Only those that
// improved after change may hold them now, as long as queues is in force, and unless
// the job has become starved since. The zero value records nothing.
type fullRunners struct {
	change  uint64
	queues  *Queues
	starved bool
	// noRunnerSince is since when the step has had tasks that no runner could
	// hold, or only one that recently refused a start; it is zero if there are
	// none.
	noRunnerSince time.Time
}

func (c *Cell) recordFullRunners(w *candidate) {
	c.index.refresh()
	full := &w.occurrence.full[w.step]
	full.change = c.index.change
	full.queues = c.queues
	full.starved = w.starved
}

// fullUpTo returns the change up to which no runner can hold a step's tasks; 0
// if that is not known. Whether a best-effort task fits also depends on models
// that are updated all the time.
func (c *Cell) fullUpTo(w *candidate) uint64 {
	full := w.occurrence.full[w.step]
	if full.queues != c.queues || w.starved && !full.starved || w.job.spec.Steps[w.step].BestEffort {
		return 0
	}
	return full.change
}

// pending reports whether a task may be placed now.
func (t *task) pending(now time.Time) bool {
	return !t.done && t.runner == nil && !now.Before(t.notBefore) && !t.awaitsProof()
}

// collectWaiting sets c.waiting to the steps with tasks that may start now, in
// the order of their placement.
func (c *Cell) collectWaiting(now time.Time) {
	clear(c.waiting)
	c.waiting = c.waiting[:0]
	unplaced := c.unplaced[:0]
	for _, j := range c.unplaced {
		j.addDue(now)
		if j.state.Final() || j.unfinished == j.placed {
			j.unplaced = false
			continue
		}
		unplaced = append(unplaced, j)
		if j.placed == 0 && j.idleSince.IsZero() {
			j.idleSince = now
		}
		for _, r := range j.occurrences {
			for number := range r.steps {
				if r.unfinished[number] > 0 && r.ready(now, j.spec.Steps, number) && anyPending(now, r.steps[number]) {
					c.waiting = append(c.waiting, c.candidate(now, j, r, number))
				}
			}
		}
	}
	clear(c.unplaced[len(unplaced):])
	c.unplaced = unplaced
	c.applyFloors(now)
	slices.SortFunc(c.waiting, compareCandidates)
}

func anyPending(now time.Time, tasks []*task) bool {
	for _, t := range tasks {
		if t.pending(now) {
			return true
		}
	}
	return false
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		a.Key.Compare(&b.Key),
		a.dueBy.Compare(b.dueBy),
		cmp.Compare(a.job.spec.ID, b.job.spec.ID),
		cmp.Compare(a.occurrence.index, b.occurrence.index),
		cmp.Compare(a.step, b.step),
	)
}

// starved reports whether a job waited longer than maxIdleWait with nothing
// running while there is free capacity. From then on, minRunning tasks of the
// job are kept running.
func (c *Cell) starved(now time.Time, j *job) bool {
	if j.placed == 0 && now.Sub(j.idleSince) > maxIdleWait {
		j.waitedLong = true
	}
	return c.keepsRunning(j)
}

// keepsRunning reports whether a job that has waited for long has fewer than
// minRunning tasks running while there is free capacity.
func (c *Cell) keepsRunning(j *job) bool {
	return j.waitedLong && j.placed < minRunning && c.mostlyIdle(c.service(j))
}

// mostlyIdle reports whether less than idlePercent of a service's processors is
// allocated.
func (c *Cell) mostlyIdle(service string) bool {
	v := c.index.service(service)
	return 100*v.allocatedMillis < idlePercent*v.capacityMillis
}

// start assigns a task to a runner under a new run number.
func (c *Cell) start(now time.Time, s *runnerState, t *task) {
	t.lastRun = max(t.lastRun, t.run) + 1
	t.run = t.lastRun
	t.placedAt = now
	t.placedHere = true
	t.job.state = StateRunning
	c.Counts.Starts++
	c.cfg.LogEvent("run placed", "task", t.name(), "run", t.run, "runner", s.key.ID, "born-millis", s.key.StartedAtMillis,
		"free-millis", s.free().ProcessorMillis, "report-age-millis", now.Sub(s.listedAt).Milliseconds(), "queues-version", c.queues.Version)
	if t.copyOf == 0 {
		c.recordStart(now, t)
	}
	c.bind(s, t)
	c.startReserved(now, s, t)
	c.watchForCopies(t)
	if t.suspect() {
		s.beginTrial(now, t)
	}
	// The start is granted in the runner's clock as last read. A longer wait
	// would delay the restart of its tasks if the runner is lost already.
	s.leaseEnd = maxTime(s.leaseEnd, s.clockAt.Add(c.maxLease()))
	c.markChanged(t.job)
}

// placeGang places all tasks of a gang or none.
func (c *Cell) placeGang(now time.Time, w *candidate) {
	members := w.occurrence.steps[w.step]
	run := 0
	for _, t := range members {
		if !t.pending(now) {
			return
		}
		run = max(run, t.run)
	}
	if c.rowRoom(w.job) < len(members) {
		return
	}
	if change := c.fullUpTo(w); change > 0 && change == c.index.change && !c.anyProbe(now, w) {
		return
	}
	var bound []*runnerState
	for _, t := range members {
		s := c.chooseRunner(now, w, t, bound)
		if s == nil {
			break
		}
		s.bind(t)
		bound = append(bound, s)
	}
	for i, s := range bound {
		s.release(members[i])
	}
	if len(bound) < len(members) {
		c.recordFullRunners(w)
		w.recordWaiting(now, true)
		return
	}
	w.recordWaiting(now, slices.ContainsFunc(bound, func(s *runnerState) bool { return s.startRefusals.recent(now) }))
	for i, t := range members {
		t.run = run
		t.checkpoint = members[0].checkpoint
		c.start(now, bound[i], t)
		bound[i].recordPlacement(now)
	}
}
