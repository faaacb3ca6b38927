package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minSurvival is how long after its start was requested a run must still be
	// listed to have survived its start. A listing may fall into the moment between a
	// start and the crash that it causes.
	minSurvival = 250 * time.Millisecond
	// maxCrashes is the number of crashes of runners under a task, without a run that
	// proves it sound, at which it is given up, whatever the evidence.
	maxCrashes = 5
	// maxSuspicion is the suspicion at which a task is given up. A crash right after
	// its start adds sharedSuspicion, soleSuspicion if no other start can have caused
	// it and the task was a suspect already, and doubtfulSuspicion if it may never have
	// started, if the same runner has crashed under it before, or if the runner may
	// have crashed much later. So that is after two crashes at the earliest.
	maxSuspicion      = 5
	doubtfulSuspicion = 1
	sharedSuspicion   = 2
	soleSuspicion     = 3
	// maxCrashDelay is how soon after a start its runner must be reported not to answer
	// for the start to have caused that. A runner that ends refuses calls at once; one
	// that is cut off lets several time out.
	maxCrashDelay = 800 * time.Millisecond
	// suspectCrashes is the number of crashes at which a task is a suspect although
	// its runs survived their starts, or may have.
	suspectCrashes = 2
	// suspectDelay is how long the restart of a suspect waits, so that the other
	// tasks that were lost with it are at work again and not suspected next time.
	suspectDelay = 500 * time.Millisecond
	// maxTrial is how long a runner that starts a suspect gets no other task, unless
	// the suspect survives its start before that.
	maxTrial = time.Second
)

// crashRecord is what speaks for that a task crashes its runners.
type crashRecord struct {
	// crashes counts the runners that crashed under the task.
	crashes int
	// suspicion is the evidence that its start crashes them; a run that survives its
	// start refutes it.
	suspicion int
}

// suspect reports whether the task may crash its runners.
func (r crashRecord) suspect() bool {
	return r.suspicion >= sharedSuspicion || r.crashes >= suspectCrashes
}

// guilty reports whether the task is to be given up.
func (r crashRecord) guilty() bool {
	return r.suspicion >= maxSuspicion || r.crashes >= maxCrashes
}

// survivedStart reports whether the task's run has survived its start.
func (t *task) survivedStart() bool {
	return t.listed && t.listedAt.Sub(t.startSentAt) >= minSurvival
}

// recordCrash records that a runner was replaced by a later incarnation, or by
// another runner at its address, although it had not announced its end.
func (c *Cell) recordCrash(now time.Time, s *runnerState) {
	s.lapses = nil
	if s.info.Draining || s.info.Left {
		return
	}
	// A run that is stopped in a later incarnation was counted with the first one.
	runs := slices.DeleteFunc(s.placed(), func(t *task) bool { return !t.startSent || t.crashedRun == t.run })
	if len(runs) == 0 {
		return
	}
	n := s.suspects()
	c.Counts.Crashes++
	c.cfg.LogEvent("runner crashed", "runner", s.key.ID, "born-millis", s.key.StartedAtMillis, "runs", len(runs),
		"unproven", n.unproven, "explaining", n.explaining, "known", s.reported)
	var next *task
	for _, t := range runs {
		c.blame(now, t, n)
		if t.record.suspect() && (next == nil || t.record.suspicion > next.record.suspicion) {
			next = t
		}
	}
	if next != nil {
		c.reserveRunner(now, next)
	}
}

// lapse is a run that ended with the lease of its runner, and what that added to the
// record of its task.
type lapse struct {
	task  *task
	added crashRecord
}

// recordLapse counts the end of a runner's lease as a crash, until the runner turns out
// to live: it may be back too late for the crash to be counted before the next start.
func (c *Cell) recordLapse(now time.Time, s *runnerState, lost []*task) {
	n := s.suspects()
	for _, t := range lost {
		if t.startSent && t.crashedRun != t.run {
			before := t.record
			c.blame(now, t, n)
			s.lapses = append(s.lapses, lapse{
				task: t,
				added: crashRecord{
					crashes:   t.record.crashes - before.crashes,
					suspicion: t.record.suspicion - before.suspicion,
				},
			})
		}
	}
}

// refuteLapses withdraws what the end of the runner's lease added, since the runner has
// listed its runs after that.
func (c *Cell) refuteLapses(s *runnerState) {
	for _, l := range s.lapses {
		r := &l.task.record
		r.crashes = max(0, r.crashes-l.added.crashes)
		r.suspicion = max(0, r.suspicion-l.added.suspicion)
		c.markChanged(l.task.job)
	}
	s.lapses = nil
}

// mayCrashByStart reports whether the task's run may have started and has not survived
// its start.
func (t *task) mayCrashByStart() bool {
	return t.startSent && !t.survivedStart()
}

// explainsCrash reports whether the start of the task's run is likely to have crashed
// its runner: the run was accepted, and soon after that the runner was gone.
func (t *task) explainsCrash() bool {
	goneAt := t.runner.unansweredAt
	return t.mayCrashByStart() && t.confirmed && !goneAt.IsZero() && goneAt.Sub(t.startSentAt) <= maxCrashDelay
}

// suspects are the runs of a runner that may have crashed it.
type suspects struct {
	// unproven counts the runs that have not survived their start, and explaining
	// those of them that explain a crash.
	unproven   int
	explaining int
}

// suspects counts the runs that may have crashed the runner.
func (s *runnerState) suspects() (n suspects) {
	for t := range s.tasks {
		if t.mayCrashByStart() {
			n.unproven++
		}
		if t.explainsCrash() {
			n.explaining++
		}
	}
	return n
}

// blame counts the crash of its runner against a task, and gives the task up if enough
// speaks for that it crashes its runners. A run that has survived its start is not to
// blame if the start of another one explains the crash.
func (c *Cell) blame(now time.Time, t *task, n suspects) {
	s := t.runner
	t.crashedRun = t.run
	if s.reported && t.survivedStart() && n.explaining > 0 {
		return
	}
	again := s.info.Address != "" && slices.Contains(t.crashedAt, s.info.Address)
	if !again {
		t.crashedAt = append(t.crashedAt, s.info.Address)
	}
	switch {
	case !s.reported || !t.mayCrashByStart():
	case again || !t.explainsCrash():
		t.record.suspicion += doubtfulSuspicion
	case n.unproven == 1 && t.record.suspect():
		t.record.suspicion += soleSuspicion
	default:
		t.record.suspicion += sharedSuspicion
	}
	t.record.crashes++
	if t.record.suspect() && len(s.tasks) > 1 {
		t.notBefore = now.Add(suspectDelay)
	}
	c.markChanged(t.job)
	if !t.record.guilty() || t.job.state.Final() {
		return
	}
	c.Counts.GivenUp++
	c.cfg.LogEvent("task given up", "task", t.name(), "run", t.run, "runner", s.key.ID,
		"crashes", t.record.crashes, "suspicion", t.record.suspicion)
	c.endJob(now, t.job, StateFailed)
}

// clearRecord drops what the present run of a task refutes: that its start crashes
// runners once it has survived that, and everything once a long-running task has
// been at work for long.
func (c *Cell) clearRecord(now time.Time, t *task) {
	before := t.record
	if before == (crashRecord{}) {
		return
	}
	if t.survivedStart() {
		t.record.suspicion = 0
	}
	if t.provesRunner(now) {
		t.record = crashRecord{}
	}
	if t.record != before {
		c.markChanged(t.job)
	}
}

// reserveRunner keeps other tasks off the runner whose crash would cost least, so
// that the runs there have survived their starts once a suspect starts.
func (c *Cell) reserveRunner(now time.Time, t *task) {
	if t.job.state.Final() {
		return
	}
	w := candidate{
		job:        t.job,
		occurrence: t.occurrence,
		step:       t.step,
	}
	if q := c.queue(t.job); q != nil {
		w.urgency = q.Urgency
	}
	var best *runnerState
	var least exposure
	for _, s := range c.runners {
		if s.info.Service != c.service(t.job) || !s.schedulable(now) || !c.fits(s, &w, t) {
			continue
		}
		e := s.exposureTo(now, t)
		e.unproven = 0
		if best == nil || cmp.Or(e.compare(least), compareKeys(s.key, best.key)) < 0 {
			best, least = s, e
		}
	}
	if best != nil {
		best.beginTrial(now.Add(suspectDelay), t)
	}
}

// beginTrial keeps other tasks off a runner until a suspect has survived its start
// there, which may still wait. It ends the suspect's trial on another runner.
func (s *runnerState) beginTrial(now time.Time, t *task) {
	if other := t.trialRunner; other != nil && other != s && other.trial == t {
		other.trial = nil
		other.index.improved(other)
	}
	t.trialRunner = s
	s.trial = t
	s.trialUntil = now.Add(maxTrial)
}

// onTrial reports whether the runner is kept free for the trial of a suspect.
func (s *runnerState) onTrial(now time.Time) bool {
	t := s.trial
	if t == nil || !now.Before(s.trialUntil) || t.done || t.job.state.Final() {
		return false
	}
	return t.runner == nil || !t.survivedStart()
}

// exposure is what a crash of a runner would cost beside the task that causes it;
// the zero value is the least.
type exposure struct {
	// restarted is 1 if the task would wait for long if the runner was lost.
	restarted int
	// crashedBefore is 1 if the runner has crashed under the task before, which would
	// say little about the task.
	crashedBefore int
	// unproven counts the runs that would be suspected too.
	unproven    int
	longRunning int
	tasks       int
}

func (e exposure) compare(other exposure) int {
	return cmp.Or(
		cmp.Compare(e.restarted, other.restarted),
		cmp.Compare(e.crashedBefore, other.crashedBefore),
		cmp.Compare(e.unproven, other.unproven),
		cmp.Compare(e.longRunning, other.longRunning),
		cmp.Compare(e.tasks, other.tasks),
	)
}

// exposureTo returns what a crash of the runner by a task would cost.
func (s *runnerState) exposureTo(now time.Time, t *task) exposure {
	e := exposure{
		unproven:    s.suspects().unproven,
		longRunning: len(s.tasks) - s.finiteTasks(),
		tasks:       len(s.tasks),
	}
	if s.delaysRestart(now, t.spec()) {
		e.restarted = 1
	}
	if slices.Contains(t.crashedAt, s.info.Address) {
		e.crashedBefore = 1
	}
	return e
}

// recordCrashes stores the crash record of the task at an index.
func (p *Progress) recordCrashes(index, tasks int, r crashRecord) {
	if p.Crashes == nil {
		p.Crashes = make([]byte, tasks)
		p.Suspicions = make([]byte, tasks)
	}
	p.Crashes[index] = byte(min(r.crashes, maxCrashes))
	p.Suspicions[index] = byte(min(r.suspicion, maxSuspicion))
}

// crashRecord returns the crash record of the task at an index.
func (p *Progress) crashRecord(index int) (r crashRecord) {
	if index < len(p.Crashes) && index < len(p.Suspicions) {
		r.crashes = int(p.Crashes[index])
		r.suspicion = int(p.Suspicions[index])
	}
	return r
}
