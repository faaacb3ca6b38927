package scheduler

import (
	"maps"
	"slices"
	"time"
)

const (
	// longWait is how long a task may wait until it is counted and logged.
	longWait = 2 * time.Second
	// waitSweepInterval is the time between two looks at the same task, unless
	// there are so many that a sweep takes longer. Waits are understated by at
	// most that.
	waitSweepInterval = 500 * time.Millisecond
	// tasksPerPart is about how many tasks and occurrences one part of a sweep
	// looks at.
	tasksPerPart = 2000
	// runnersPerSweep bounds the runners that are examined in a sweep, over all
	// steps. reexamineInterval is the time between two examinations for a step.
	runnersPerSweep   = 4000
	reexamineInterval = time.Second
	// waitLogInterval is the time between two lines for one step and cause,
	// waitLinesPerSecond the limit for the cell.
	waitLogInterval    = 10 * time.Second
	waitLinesPerSecond = 10
)

// waitMonitor finds out why tasks that should run do not. It looks at all tasks
// in turn, a few at a time, and relies on no event to be told of one that waits.
type waitMonitor struct {
	// jobs are the jobs of the sweep in progress, next is the next one to look
	// at.
	jobs    []*job
	next    int
	sweep   uint64
	sweptAt time.Time
	// steps holds the steps with tasks that wait for longer than longWait.
	steps map[waitingStep]*stepWait
	// byCause sorts the waiting tasks of one step.
	byCause [causeCount]waitTally
	// runnersLeft is how many runners may still be examined in this sweep.
	// unexamined counts the steps whose runners were never examined.
	runnersLeft    int
	unexamined     int
	lastUnexamined int
	// lines counts the lines of the second that began at linesFrom.
	lines     int
	linesFrom time.Time
	// counting are the counts of the sweep in progress, counted those of the
	// last one that is complete.
	counting Waits
	counted  Waits
}

// waitingStep identifies a step of an occurrence.
type waitingStep struct {
	occurrence *occurrence
	step       int
}

// stepWait is what is known of a step with tasks that wait.
type stepWait struct {
	// sweep is the last sweep in which such a task was found.
	sweep uint64
	// unplaced is why the tasks without a runner wait, as of examinedAt.
	unplaced   waitCause
	examinedAt time.Time
	// refusals counts the runners of the service by why they refuse the tasks.
	refusals [refusalCount]int
	// causes is what is known of each cause.
	causes [causeCount]causeWait
}

// causeWait is the last sweep in which tasks of a step waited for a cause, and
// when the last line about that was logged.
type causeWait struct {
	sweep    uint64
	loggedAt time.Time
}

// waitTally are the tasks of a step that wait for the same cause.
type waitTally struct {
	count  int
	oldest *task
}

func (w *waitTally) add(t *task) {
	w.count++
	if w.oldest == nil || t.waitingSince.Before(w.oldest.waitingSince) {
		w.oldest = t
	}
}

func newWaitMonitor() *waitMonitor {
	return &waitMonitor{
		steps: map[waitingStep]*stepWait{},
	}
}

// Waits returns the counts of the last complete sweep.
func (c *Cell) Waits() Waits {
	return c.waits.counted
}

// watchWaits looks at some of the tasks. It continues the sweep in progress, or
// begins the next one if it is due.
func (c *Cell) watchWaits(now time.Time) {
	m := c.waits
	if m.next == len(m.jobs) {
		if now.Sub(m.sweptAt) < waitSweepInterval {
			return
		}
		m.begin(now, c.jobs)
	}
	for tasks := 0; m.next < len(m.jobs) && tasks < tasksPerPart; m.next++ {
		tasks += c.watchJob(now, m.jobs[m.next])
	}
	if m.next == len(m.jobs) {
		m.end()
	}
}

// begin begins a sweep over the jobs.
func (m *waitMonitor) begin(now time.Time, jobs map[string]*job) {
	m.sweptAt = now
	m.sweep++
	m.next = 0
	for _, j := range jobs {
		m.jobs = append(m.jobs, j)
	}
	m.runnersLeft = runnersPerSweep
	m.lastUnexamined = m.unexamined
	m.unexamined = 0
	m.counting = Waits{}
}

// end publishes the counts of a sweep, and drops the steps that no longer wait.
func (m *waitMonitor) end() {
	m.counted = m.counting
	clear(m.jobs)
	m.jobs = m.jobs[:0]
	m.next = 0
	if len(m.steps) > 0 {
		maps.DeleteFunc(m.steps, func(_ waitingStep, w *stepWait) bool { return w.sweep != m.sweep })
	}
}

// watchJob looks at the tasks of a job, and returns roughly how many there are.
func (c *Cell) watchJob(now time.Time, j *job) int {
	if j.state.Final() {
		return 1
	}
	j.addDue(now)
	tasks := len(j.occurrences)
	for _, r := range j.occurrences {
		for number := range r.steps {
			if r.unfinished[number] > 0 && r.ready(now, j.spec.Steps, number) {
				tasks += len(r.steps[number])
				c.watchStep(now, r, number)
			}
		}
	}
	return tasks
}

// watchStep looks at the tasks of a step that should run.
func (c *Cell) watchStep(now time.Time, r *occurrence, number int) {
	m := c.waits
	waits := false
	for _, t := range r.steps[number] {
		if t.done {
			continue
		}
		cause := t.waitCause(now)
		if t.copy != nil && t.copy.waitCause(now) == causeNone {
			cause = causeNone
		}
		switch {
		case cause == causeNone:
			if !t.waitingSince.IsZero() {
				t.waitingSince = time.Time{}
			}
		case t.waitingSince.IsZero():
			t.waitingSince = now
		case now.Sub(t.waitingSince) >= longWait:
			m.byCause[cause].add(t)
			waits = true
		}
	}
	if waits {
		c.recordWaits(now, r, number)
		clear(m.byCause[:])
	}
}

// recordWaits counts the waiting tasks of a step that are in byCause, and logs
// them if that is due.
func (c *Cell) recordWaits(now time.Time, r *occurrence, number int) {
	m := c.waits
	key := waitingStep{
		occurrence: r,
		step:       number,
	}
	w := m.steps[key]
	if w == nil {
		w = &stepWait{
			unplaced: causeNotExamined,
		}
		m.steps[key] = w
	}
	w.sweep = m.sweep
	if unplaced := m.byCause[causeUnplaced]; unplaced.count > 0 {
		c.examine(now, w, unplaced.oldest)
		m.byCause[causeUnplaced] = waitTally{}
		m.byCause[w.unplaced] = unplaced
	}
	for cause := range m.byCause {
		if m.byCause[cause].count > 0 {
			m.count(now, waitCause(cause))
			c.logWait(now, w, waitCause(cause))
		}
	}
}

// count counts the tasks that wait for one cause.
func (m *waitMonitor) count(now time.Time, cause waitCause) {
	tasks := m.byCause[cause]
	m.counting.Tasks += int64(tasks.count)
	m.counting.ByCause[cause] += int64(tasks.count)
	m.counting.OldestMillis = max(m.counting.OldestMillis, now.Sub(tasks.oldest.waitingSince).Milliseconds())
}

// logWait logs that tasks of a step wait for a cause, unless such a line was
// logged within waitLogInterval or there are too many lines. The cause must have
// been the same in the last sweep, since a task that is about to run passes
// through several.
func (c *Cell) logWait(now time.Time, w *stepWait, cause waitCause) {
	m := c.waits
	known := &w.causes[cause]
	lasts := known.sweep+1 == m.sweep
	known.sweep = m.sweep
	if !cause.logged() || !lasts || !known.loggedAt.IsZero() && now.Sub(known.loggedAt) < waitLogInterval {
		return
	}
	if !m.takeLine(now) {
		m.counting.LinesSuppressed++
		return
	}
	known.loggedAt = now
	c.cfg.LogEvent("task waits", c.waitPairs(now, w, cause)...)
}

// takeLine reports whether one more line may be logged now.
func (m *waitMonitor) takeLine(now time.Time) bool {
	if now.Sub(m.linesFrom) >= time.Second {
		m.linesFrom = now
		m.lines = 0
	}
	if m.lines >= waitLinesPerSecond {
		return false
	}
	m.lines++
	return true
}

// waitPairs returns the content of a line.
func (c *Cell) waitPairs(now time.Time, w *stepWait, cause waitCause) []any {
	tasks := c.waits.byCause[cause]
	t := tasks.oldest
	pairs := []any{
		"job", t.job.spec.ID, "occurrence", t.occurrence.index, "step", t.step, "service", c.service(t.job),
		"waiting", tasks.count, "waited-millis", now.Sub(t.waitingSince).Milliseconds(), "cause", cause.String(), "oldest", t.name(),
	}
	if s := t.runner; s != nil {
		pairs = append(pairs, "run", t.run, "runner", s.key.ID, "born-millis", s.key.StartedAtMillis,
			"report-age-millis", now.Sub(s.listedAt).Milliseconds(), "lease-end-millis", s.leaseEnd.Sub(now).Milliseconds())
	} else {
		for reason, count := range w.refusals {
			if count > 0 {
				pairs = append(pairs, refusalNames[reason], count)
			}
		}
	}
	if held := c.reservationFor(t); held != nil {
		pairs = append(pairs, "reserved-runner", held.Parts[0].Runner.ID, "reserved-runners", len(held.Parts),
			"reserved-in-millis", held.StartsAt.Sub(now).Milliseconds())
	}
	if suppressed := c.waits.counted.LinesSuppressed; suppressed > 0 {
		pairs = append(pairs, "suppressed", suppressed)
	}
	return pairs
}

// examine finds out why a task without a runner waits, unless that is known
// already or too many runners were examined in this sweep. Steps that were never
// examined precede the others.
func (c *Cell) examine(now time.Time, w *stepWait, t *task) {
	m := c.waits
	first := w.examinedAt.IsZero()
	known := !first && (m.lastUnexamined > 0 || now.Sub(w.examinedAt) < reexamineInterval)
	switch {
	case known:
	case m.runnersLeft <= 0 && first:
		m.unexamined++
	case m.runnersLeft > 0:
		m.runnersLeft -= max(1, len(c.runners))
		w.examinedAt = now
		acceptedBefore := w.refusals[accepted] > 0
		w.refusals = c.refusals(now, t)
		w.unplaced = c.unplacedCause(now, t, &w.refusals, acceptedBefore)
	}
}

// refusals counts the runners of a task's service by why they refuse it. It
// looks at the runners themselves, since the index may be what is at fault.
func (c *Cell) refusals(now time.Time, t *task) (counts [refusalCount]int) {
	service := c.service(t.job)
	w := candidate{
		job:        t.job,
		occurrence: t.occurrence,
		step:       t.step,
		starved:    c.keepsRunning(t.job),
		urgency:    c.terms(t.job).Urgency,
	}
	for _, s := range c.runners {
		if s.info.Service != service {
			continue
		}
		reason := c.answer(now, s, &w, t)
		if reason == accepted && s.position.mayHoldMore {
			reason = acceptedLately
		}
		counts[reason]++
	}
	return counts
}

// unplacedCause returns why a task without a runner waits. acceptedBefore is set
// if a runner also accepted it at the last examination; otherwise, the next
// placement may choose that runner.
func (c *Cell) unplacedCause(now time.Time, t *task, refusals *[refusalCount]int, acceptedBefore bool) waitCause {
	gang := t.spec().Gang
	memberPlaced := func(member *task) bool { return !member.pending(now) }
	switch {
	case t.awaitsProof():
		return causeCrashUnproven
	case !t.pending(now):
		return causeRestartDelay
	case !t.job.unplaced:
		return causeNotQueued
	case gang && slices.ContainsFunc(t.occurrence.steps[t.step], memberPlaced):
		return causeGangIncomplete
	case c.reservationFor(t) != nil:
		return causeRunnerReserved
	case refusals[accepted]+refusals[acceptedLately] == 0:
		return refusedBy(refusals)
	case now.Sub(c.placedAt) > placementPause:
		return causePlacementPaused
	case gang:
		return causeNoRoomForGang
	case refusals[accepted] == 0 || !acceptedBefore:
		return causePlacementDue
	default:
		return causeNotChosen
	}
}
